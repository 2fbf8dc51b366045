// What an entry host routes calls by: the newest configuration, targets and weights that control
// hosts reported.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

#include "damasklink/coordination/RouteTable.h"
#include "damasklink/coordination/ServingMessages.h"
#include "damasklink/coordination/StoredPartIndex.h"
#include "damasklink/coordination/TargetDirectory.h"
#include "damasklink/coordination/WeightVersionAges.h"
#include "damasklink/protocol/ServingDialect.h"
#include "damasklink/state/ServingSettings.h"

namespace damasklink {

using RoutesPtr = std::shared_ptr<const RouteTable>;

// Parses a configuration document and builds the index of its routes. Fails with InvalidArgument.
// Takes about 25 ms of a full core for 4,000 routes, so the thread that serves calls must not run
// it.
Result<RoutesPtr>
ReadRoutes(const ControlDialect& aDialect, std::string_view aDocument);

// Merges the updates of several control hosts.
//
//   EntryHostState state(clock, ownHost);
//   state.OnConnection(host, true);
//   state.Apply(host, update);               // For each update of a connected control host.
//   state.InstallRoutes(routes);             // Read by ReadRoutes() on another thread.
//   state.Targets().Usable(service);
//
// The configuration, versions of weights and evacuations only ever move to newer revisions,
// whichever control host reports them. Not thread-safe.
class EntryHostState
{
public:
  // Calls begin on older weights for at most aWeightsWithin.
  explicit EntryHostState(const Clock& aClock,
                          const HostId& aSelf = HostId(),
                          Duration aWeightsWithin = ServingSettings().weightsWithin)
    : clock(aClock)
    , targets(aSelf)
    , weights(aClock, aWeightsWithin)
    , healthyAt(aClock.MonotonicNow())
  {
  }

  // Applies an update of a control host.
  void Apply(const HostId& aFrom, const ServingUpdate& aUpdate);

  // Installs the configuration unless the installed one is as new or newer.
  void InstallRoutes(RoutesPtr aRoutes);

  // To be called when a connection to a control host was made or lost.
  void OnConnection(const HostId& aHost, bool aUp);

  // Returns the routes of the installed configuration; null before the first one.
  const RoutesPtr& Routes() const { return this->routes; }

  TargetDirectory& Targets() { return this->targets; }

  // Returns the version of weights that calls for the model should begin on; 0 if none was
  // announced.
  std::uint64_t WeightVersionOf(const ModelName& aModel) const;

  // Returns the newest version that was acknowledged at least aAge ago, as far as control hosts
  // know; 0 for none. The age of a version isn't reset by later versions.
  std::uint64_t WeightVersionOfAge(const ModelName& aModel, Duration aAge) const;

  // Selects the control host whose reports of stored parts are used, and drops what an earlier one
  // reported.
  void SelectStoreSource(const std::optional<HostId>& aHub);

  // Returns the index of stored parts; null while no control host is selected for it.
  const StoredPartIndex* Stored() const;

  // Returns whether the control host is connected and has sent an update on this connection. A
  // suspended process accepts connections too, but sends nothing.
  bool HasReported(const HostId& aHost) const { return this->reported.contains(aHost); }

  // Returns whether any control host is connected.
  bool HasControlHost() const { return !this->connected.empty(); }

  // Returns whether the control host has reported on this connection and is in contact with a
  // leader.
  bool IsHealthy(const HostId& aHost) const;

  // Returns whether any control host is healthy, or was so within aTime. A host counts as healthy
  // when it starts.
  bool HadHealthyControlHost(Duration aTime) const;

  // Returns the number of entry hosts: the largest count that a connected control host reports.
  std::uint64_t EntryHosts() const;

  // Returns the control hosts that updates named since the last call.
  ControlHostZones TakeDiscoveredControlHosts();

  // Returns the zones that were evacuated, or returned to service, since the last call.
  std::set<ZoneId> TakeEvacuated() { return std::exchange(this->pendingEvacuated, {}); }
  std::set<ZoneId> TakeReturned() { return std::exchange(this->pendingReturned, {}); }

private:
  void ApplyWeights(const HostId& aFrom, const std::vector<AnnouncedWeights>& aAnnounced);
  void ApplyEvacuations(const HostId& aFrom, const EvacuatedZones& aEvacuations);
  bool HasHealthyControlHost() const;
  // Must be called before the health of a control host changes.
  void KeepHealthyTime();

  const Clock& clock;
  RoutesPtr routes;
  TargetDirectory targets;
  WeightVersionAges weights;
  // When a control host was last healthy, if none is now.
  MonotonicTime healthyAt;
  std::map<HostId, std::uint64_t> entryHosts;
  // The control host whose reports of stored parts are used, and what it reported.
  std::optional<HostId> hub;
  StoredPartIndex stored;
  std::set<HostId> connected;
  // The connected hosts that have sent an update on their connection.
  std::set<HostId> reported;
  // The connected hosts that reported to be without contact to a leader.
  std::set<HostId> isolated;
  ControlHostZones discoveredControlHosts;
  // The newest revision seen. A control host that lags behind must not restore an earlier state.
  std::uint64_t evacuationRevision = 0;
  std::set<ZoneId> pendingEvacuated;
  std::set<ZoneId> pendingReturned;
};

} // namespace damasklink
