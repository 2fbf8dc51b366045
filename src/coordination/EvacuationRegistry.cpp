#include "damasklink/coordination/EvacuationRegistry.h"

namespace damasklink {

EvacuationResult
EvacuationRegistry::Apply(const SetEvacuation& aOrder)
{
  const auto found = this->zones.find(aOrder.zone);
  const ZoneEvacuation held = found == this->zones.end() ? ZoneEvacuation() : found->second;
  if (held.evacuated == aOrder.evacuated) {
    return EvacuationResult::NoChange;
  }
  if (aOrder.seenChanges < held.changes) {
    return EvacuationResult::Superseded;
  }
  this->zones[aOrder.zone] = ZoneEvacuation{ aOrder.evacuated, held.changes + 1, aOrder.since };
  return EvacuationResult::Applied;
}

std::uint64_t
EvacuationRegistry::ChangesOf(const ZoneId& aZone) const
{
  const auto found = this->zones.find(aZone);
  return found == this->zones.end() ? 0 : found->second.changes;
}

EvacuatedZones
EvacuationRegistry::Current() const
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
