// What a control host knows of targets, and which updates other hosts have not been sent yet.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "damasklink/coordination/DepartedTargets.h"
#include "damasklink/coordination/RateLimitAllocator.h"
#include "damasklink/coordination/ServingConfig.h"
#include "damasklink/coordination/ServingMessages.h"
#include "damasklink/coordination/SoftwareVersionHistory.h"
#include "damasklink/coordination/TargetRegistry.h"

namespace damasklink {

// Merges the records of targets, received from the targets or relayed by other control hosts, and
// collects the updates for entry hosts and for other control hosts. Not thread-safe.
//
//   TargetTracker tracker(clock, silence);
//   tracker.OnHeartbeat(record);      // From the target.
//   tracker.OnRelayedRecord(record);  // From another control host.
//   tracker.TakeChanges();            // For entry hosts.
//   tracker.TakeChangedDirectUpdates();  // For other control hosts.
//   tracker.TakeDirectUpdates();         // The same, less often.
class TargetTracker
{
public:
  // A target without a heartbeat for aSilence counts as silent.
  TargetTracker(const Clock& aClock, Duration aSilence);

  // Returns false and ignores the record if the configuration does not have the target's service:
  // the sender is not a target of the deployment, though it may use the id of one.
  bool OnHeartbeat(const TargetRecord& aRecord);
  void OnRelayedRecord(const TargetRecord& aRecord);

  // The target signed off. aIncarnation is zero if the target did not name it; a departure of an
  // earlier incarnation is ignored.
  void OnDeparture(const TargetId& aTarget, Incarnation aIncarnation = Incarnation());

  // Sets the departures that are in the replicated log, which this object consults from now on. A
  // heartbeat of such a target does not bring it back. aDeparted must outlive this object.
  void SetCommittedDepartures(const DepartedTargets& aDeparted) { this->departed = &aDeparted; }

  // Departures were committed. To be called for each, since the targets may be known as usable.
  void OnDepartureCommitted(const DepartedTarget& aDeparture);

  // Sets the services of the configuration. Before the first call every service is accepted.
  void SetServices(std::set<ServiceName> aServices) { this->services = std::move(aServices); }

  // Sets the services whose targets take only a limited rate of requests while they are cold.
  void SetColdStartSpecs(std::map<ServiceName, ColdStartSpec> aSpecs)
  {
    this->coldStartSpecs = std::move(aSpecs);
  }

  // Marks the targets of a zone as cold when its evacuation has ended: they may have become cold
  // meanwhile and not reported it yet.
  void OnZoneReturned(const ZoneId& aZone);

  // Returns the targets that were found to be cold since the last call.
  std::vector<ColdTarget> TakeColdTargets() { return std::exchange(this->cold, {}); }

  // Returns the updates that differ from what TakeChanges() returned before. Must be called
  // regularly, since a target that becomes silent is a change, too. Cheap if nothing has changed.
  std::vector<TargetUpdate> TakeChanges();

  // Returns updates for the records that were received from the targets themselves, and not
  // returned before, that changed something. TakeChanges() must be called first.
  std::vector<TargetUpdate> TakeChangedDirectUpdates();

  // Returns updates for all records that were received from the targets themselves and not returned
  // before. Most only show that the target is alive.
  std::vector<TargetUpdate> TakeDirectUpdates();

  // Returns the updates for all targets for which aWanted returns true.
  std::vector<TargetUpdate> AllOf(const std::function<bool(const TargetRecord&)>& aWanted) const;

  // Returns the number of targets of each service that have not left.
  const std::map<ServiceName, std::size_t>& TargetCounts() const { return this->targetCounts; }

  // Returns a counter that rises with each change that TakeChanges() returns.
  std::uint64_t ChangeCount();

  // Returns the engines that may get new work now, with the newest known version of their weights.
  // Sequence and load of the records may be older.
  const std::vector<TargetRecord>& UsableEngines();

  // Returns the usable engines and the silent ones, which may come back.
  const std::vector<TargetRecord>& RemainingEngines();

  // Sets the targets that get no new work; all others get work again.
  void SetPaused(std::set<TargetId> aTargets);

  // Sets the versions of weights that engines have reported; they may be newer than those of their
  // heartbeats.
  void SetReportedWeights(const std::map<std::pair<TargetId, ModelName>, std::uint64_t>& aReported);

  const TargetRegistry& Registry() const { return this->registry; }

  SoftwareVersionHistory& Versions() { return this->versions; }

private:
  TargetUpdate MakeTargetUpdate(const TargetRecord& aRecord) const;
  bool Merge(TargetRecord aRecord);
  void AddColdTarget(const TargetRecord& aRecord, Duration aColdFor);
  void FindChanges();
  void CountTarget(const TargetUpdate& aBefore, const TargetUpdate& aNow);
  void ListEngines();

  TargetRegistry registry;
  // Null until SetCommittedDepartures() is called.
  const DepartedTargets* departed = nullptr;
  SoftwareVersionHistory versions;
  std::optional<std::set<ServiceName>> services;
  std::map<ServiceName, ColdStartSpec> coldStartSpecs;
  std::vector<ColdTarget> cold;
  std::set<TargetId> paused;
  std::map<std::pair<TargetId, ModelName>, std::uint64_t> reported;
  // Targets that may have changed since the last FindChanges(), which looks at these only, so that
  // its cost does not grow with the number of all targets.
  std::set<TargetId> touched;
  // The updates as of the last FindChanges().
  std::map<TargetId, TargetUpdate> published;
  // The number of targets in `published` that have not left, by service.
  std::map<ServiceName, std::size_t> targetCounts;
  std::uint64_t changeCount = 0;
  // Targets whose change TakeChanges() has not returned yet.
  std::set<TargetId> unpublished;
  // Records received from the targets themselves that are not relayed to other control hosts yet.
  std::map<TargetId, TargetRecord> directRecords;
  // Those of them that changed something.
  std::set<TargetId> changedDirect;
  // Both lists are derived from `published` and made again after a change.
  bool enginesListed = false;
  std::vector<TargetRecord> usableEngines;
  std::vector<TargetRecord> remainingEngines;
};

} // namespace damasklink
