// What an entry host relays by: the newest configuration, targets and weights that it was told.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

#include "damasklink/coordination/RouteTable.h"
#include "damasklink/coordination/ServingPicture.h"
#include "damasklink/coordination/StoredParts.h"
#include "damasklink/coordination/TargetBoard.h"
#include "damasklink/protocol/ServingDialect.h"

namespace damasklink {

using RoutesPtr = std::shared_ptr<const RouteTable>;

// Reads a configuration document and makes the index of its routes. Fails with InvalidArgument.
// Takes some 25 ms of a whole core for 4,000 routes: not for the thread that serves calls.
Result<RoutesPtr>
ReadRoutes(const ControlDialect& aDialect, std::string_view aDocument);

// Merges the pictures of several control hosts. The configuration never goes back in one life of
// the process, whoever tells it. Not thread-safe.
class EntryPicture
{
public:
  explicit EntryPicture(const Clock& aClock)
    : clock(aClock)
  {
  }

  // Takes what a control host told.
  void Take(const HostId& aFrom, const Picture& aPicture);

  // Puts the configuration in force unless a newer one is.
  void PutInForce(RoutesPtr aRoutes);

  // Tells whether the control host is connected.
  void OnLink(const HostId& aHost, bool aUp);

  // Null before the first configuration came.
  const RoutesPtr& Routes() const { return this->routes; }

  TargetBoard& Targets() { return this->targets; }

  // Returns the version of weights that calls for the model should begin on; 0 when none is named.
  std::uint64_t WeightsOf(const ModelName& aModel) const;

  // Returns the newest version that this host has known for so long; 0 for none. A version counts
  // from when it was named, whatever was named after it.
  std::uint64_t WeightsKnownFor(const ModelName& aModel, Duration aAge) const;

  // Names the control host that tells of stored parts; what another one told before counts no more.
  void ListenForStores(const std::optional<HostId>& aHub);

  // Returns what is known of stored parts. Null when no control host tells of them.
  const StoredParts* Stored() const;

  // Returns whether the control host is connected and has told a picture since. One that is
  // suspended accepts connections too, and says nothing on them.
  bool HasSpoken(const HostId& aHost) const { return this->spoken.contains(aHost); }

  // Returns whether any control host is connected.
  bool HasControlHost() const { return !this->connected.empty(); }

  // Returns whether the control host has spoken on this connection and hears a leader.
  bool IsGood(const HostId& aHost) const;

  // The most entry hosts that a connected control host counts.
  std::uint64_t EntryHosts() const;

  // Control hosts that were named so far and not yet taken from here.
  ControlHostZones TakeNewControlHosts();

  // Zones that were evacuated, or are not any more, since the last call.
  std::set<ZoneId> TakeEvacuated() { return std::exchange(this->newlyEvacuated, {}); }
  std::set<ZoneId> TakeReturned() { return std::exchange(this->newlyReturned, {}); }

private:
  void TakeEvacuated(const HostId& aFrom, const EvacuatedZones& aTold);

  const Clock& clock;
  RoutesPtr routes;
  TargetBoard targets;
  std::map<ModelName, std::uint64_t> weights;
  // When each version was heard of, by model; a few a day.
  std::map<ModelName, std::map<std::uint64_t, MonotonicTime>> weightsHeardAt;
  std::map<HostId, std::uint64_t> entryHosts;
  // The control host that tells of stored parts, and what it told.
  std::optional<HostId> hub;
  StoredParts stored;
  std::set<HostId> connected;
  // Those of them that have told a picture on this connection.
  std::set<HostId> spoken;
  std::set<HostId> isolated;
  ControlHostZones controlHosts;
  // The newest that any control host told: one that is behind must not bring an earlier state back.
  std::uint64_t evacuationRevision = 0;
  std::set<ZoneId> newlyEvacuated;
  std::set<ZoneId> newlyReturned;
};

} // namespace damasklink
