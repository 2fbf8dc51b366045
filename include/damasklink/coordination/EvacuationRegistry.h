// The availability zones that operators have evacuated. Targets in these zones get no work.
//
//   EvacuationRegistry evacuations;
//   evacuations.Apply(SetEvacuation{ zone, true, evacuations.ChangesOf(zone), now });
//   evacuations.Current();     // Sent to entry hosts.
//
// An operator may resend an order to another host while the first copy is still being committed.
// Each order therefore contains the number of changes of the zone that the receiving host had seen.
// A copy that is committed after a later order has changed the zone again has no effect.
#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "damasklink/state/Clock.h"
#include "damasklink/state/Ids.h"

namespace damasklink {

// An order to evacuate an availability zone, or to withdraw its evacuation.
struct SetEvacuation
{
  ZoneId zone;
  bool evacuated = false;
  // The number of changes of the zone that the host which received the order had seen.
  std::uint64_t seenChanges = 0;
  // When the order was received, in milliseconds; informational only.
  WallTime since;
};

enum class EvacuationResult
{
  Applied,
  // The zone was in the ordered state already.
  NoChange,
  // The order differs from the state of the zone, which has changed since the order was received.
  Superseded,
};

// The state of one zone.
struct ZoneEvacuation
{
  bool evacuated = false;
  // Incremented with each change.
  std::uint64_t changes = 0;
  WallTime since;

  bool operator==(const ZoneEvacuation&) const = default;
};

// The evacuated zones at one point in time.
struct EvacuatedZones
{
  // Increases with each change of any zone.
  std::uint64_t revision = 0;
  std::set<ZoneId> zones;

  bool operator==(const EvacuatedZones&) const = default;
};

// Part of the replicated state: the result depends only on the sequence of orders. Not thread-safe.
class EvacuationRegistry
{
public:
  EvacuationResult Apply(const SetEvacuation& aOrder);

  // Returns the number of changes of the zone; zero if there was no order for it.
  std::uint64_t ChangesOf(const ZoneId& aZone) const;

  EvacuatedZones Current() const;

  // Returns all zones that an order has changed, also those that are not evacuated now.
  const std::map<ZoneId, ZoneEvacuation>& All() const { return this->zones; }
  // Replaces the state by that of a snapshot.
  void Restore(std::map<ZoneId, ZoneEvacuation> aZones) { this->zones = std::move(aZones); }

private:
  std::map<ZoneId, ZoneEvacuation> zones;
};

} // namespace damasklink
