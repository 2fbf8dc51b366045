// What a control host tells entry hosts and other control hosts: targets as it heard them.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "damasklink/coordination/RateLimitAllocator.h"
#include "damasklink/coordination/ServingConfig.h"
#include "damasklink/coordination/ServingMessages.h"
#include "damasklink/coordination/TargetRegistry.h"

namespace damasklink {

// Hears the targets, directly or through other control hosts, and finds what has changed for entry
// hosts. Not thread-safe.
//
//   TargetTracker tracker(clock, silence);
//   tracker.OnHeartbeat(record);                  // From the target.
//   tracker.OnRelayedRecord(record);        // From another control host.
//   tracker.TakeChanges();                 // For entry hosts.
//   tracker.TakeDirectUpdates();                    // For other control hosts.
class TargetTracker
{
public:
  TargetTracker(const Clock& aClock, Duration aSilence);

  // Returns false, and takes no note, when the target names a service that the configuration does
  // not: the writer is not one of the deployment's targets, and may bear the id of one.
  bool OnHeartbeat(const TargetRecord& aRecord);
  void OnRelayedRecord(const TargetRecord& aRecord);

  // The target signed off; which start of it, where it said so. The word of an earlier start
  // changes nothing.
  void OnDeparture(const TargetId& aTarget, Incarnation aIncarnation = Incarnation());

  // Takes the services that the configuration names. Before the first call all are known.
  void SetServices(std::set<ServiceName> aServices) { this->services = std::move(aServices); }

  // Takes the services whose targets bear only a few requests while they are cold.
  void SetColdStartSpecs(std::map<ServiceName, ColdStartSpec> aSpecs)
  {
    this->coldStartSpecs = std::move(aSpecs);
  }

  // The zone was evacuated and is not any more: its targets may have become cold meanwhile without
  // having said so yet.
  void OnZoneReturned(const ZoneId& aZone);

  // Returns the targets that were heard to be cold since the last call.
  std::vector<ColdTarget> TakeColdTargets() { return std::exchange(this->cold, {}); }

  // Returns the statements that differ from what TakeChanges() returned before. Requires to be
  // called now and then, since silence is a change too. Costs little where nothing has changed.
  std::vector<TargetUpdate> TakeChanges();

  // Returns the records that were heard directly since the last call.
  std::vector<TargetUpdate> TakeDirectUpdates();

  // Returns the statements on all targets.
  std::vector<TargetUpdate> All() const;

  // Rises whenever anything has changed that TakeChanges() tells.
  std::uint64_t ChangeCount();

  // Returns the engines that may get new work, with the newest weights that are known of them, as
  // of now. Their sequence and load may be older.
  const std::vector<TargetRecord>& UsableEngines();

  // As above, with those that are silent and may come back.
  const std::vector<TargetRecord>& RemainingEngines();

  // Takes targets out of use for new work, and back.
  void SetPaused(std::set<TargetId> aTargets);

  // Takes the weights that engines reported, which are newer than what their heartbeats said.
  void SetReportedWeights(const std::map<std::pair<TargetId, ModelName>, std::uint64_t>& aReported);

  const TargetRegistry& Registry() const { return this->registry; }

private:
  TargetUpdate MakeTargetUpdate(const TargetRecord& aRecord) const;
  bool Merge(const TargetRecord& aRecord);
  void AddColdTarget(const TargetRecord& aRecord, Duration aColdFor);
  void FindChanges();
  void ListEngines();

  TargetRegistry registry;
  std::optional<std::set<ServiceName>> services;
  std::map<ServiceName, ColdStartSpec> coldStartSpecs;
  std::vector<ColdTarget> cold;
  std::set<TargetId> paused;
  std::map<std::pair<TargetId, ModelName>, std::uint64_t> reported;
  // Targets of which something was heard or decided since the last look for changes: a step costs
  // what these do, not what all targets would.
  std::set<TargetId> touched;
  // As of the last look for changes.
  std::map<TargetId, TargetUpdate> published;
  std::uint64_t changeCount = 0;
  // Those that have changed since they were told.
  std::set<TargetId> unpublished;
  std::map<TargetId, TargetRecord> news;
  // Made of what is published; made anew after a change.
  bool enginesListed = false;
  std::vector<TargetRecord> usableEngines;
  std::vector<TargetRecord> remainingEngines;
};

} // namespace damasklink
