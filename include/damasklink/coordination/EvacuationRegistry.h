// Availability zones that operators have evacuated: their targets get no work.
//
//   EvacuationRegistry evacuations;
//   evacuations.Apply(SetEvacuation{ zone, true, evacuations.ChangesOf(zone), now });
//   evacuations.Current();     // For entry hosts.
//
// An order may be sent again to another host while the first copy is still on its way. Each order
// therefore carries how many changes of the zone its receiver had seen: a copy that is committed
// after a later order has changed the zone again does nothing.
#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "damasklink/state/Clock.h"
#include "damasklink/state/Ids.h"

namespace damasklink {

// An order for one availability zone.
struct SetEvacuation
{
  ZoneId zone;
  bool evacuated = false;
  // Changes of the zone that the host which took the order had seen.
  std::uint64_t seenChanges = 0;
  // When the order was taken, to the millisecond; for people.
  WallTime since;
};

enum class EvacuationResult
{
  Applied,
  NoChange,
  // The zone has changed since the order was taken, and the order wants it otherwise.
  Superseded,
};

struct ZoneEvacuation
{
  bool evacuated = false;
  // Rises by one with each change.
  std::uint64_t changes = 0;
  WallTime since;

  bool operator==(const ZoneEvacuation&) const = default;
};

// The evacuated zones as of one moment.
struct EvacuatedZones
{
  // Of two, the one with the higher revision is newer.
  std::uint64_t revision = 0;
  std::set<ZoneId> zones;

  bool operator==(const EvacuatedZones&) const = default;
};

// Replicated: the result depends on the orders alone. Not thread-safe.
class EvacuationRegistry
{
public:
  EvacuationResult Apply(const SetEvacuation& aOrder);

  // Returns how often the zone has changed; zero for one that no order has named.
  std::uint64_t ChangesOf(const ZoneId& aZone) const;

  EvacuatedZones Current() const;

  // All zones that an order has ever changed.
  const std::map<ZoneId, ZoneEvacuation>& All() const { return this->zones; }
  void Restore(std::map<ZoneId, ZoneEvacuation> aZones) { this->zones = std::move(aZones); }

private:
  std::map<ZoneId, ZoneEvacuation> zones;
};

} // namespace damasklink
