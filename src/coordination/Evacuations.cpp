#include "damasklink/coordination/Evacuations.h"

namespace damasklink {

EvacuationResult
Evacuations::Apply(const SetEvacuation& aOrder)
{
  const auto found = this->zones.find(aOrder.zone);
  const ZoneEvacuation held = found == this->zones.end() ? ZoneEvacuation() : found->second;
  if (held.evacuated == aOrder.evacuated) {
    return EvacuationResult::AlreadySo;
  }
  if (aOrder.seenChanges < held.changes) {
    return EvacuationResult::Superseded;
  }
  this->zones[aOrder.zone] = ZoneEvacuation{ aOrder.evacuated, held.changes + 1, aOrder.since };
  return EvacuationResult::Applied;
}

std::uint64_t
Evacuations::ChangesOf(const ZoneId& aZone) const
{
  const auto found = this->zones.find(aZone);
  return found == this->zones.end() ? 0 : found->second.changes;
}

EvacuatedZones
Evacuations::Current() const
{
  EvacuatedZones current;
  for (const auto& [zone, state] : this->zones) {
    current.revision += state.changes;
    if (state.evacuated) {
      current.zones.insert(zone);
    }
  }
  return current;
}

} // namespace damasklink
