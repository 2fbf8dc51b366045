#include "damasklink/coordination/StableWeightVersions.h"

#include <algorithm>

namespace damasklink {

void
StableWeightVersions::Update(const std::vector<TargetRecord>& aEngines)
{
  std::map<ModelName, std::uint64_t> lowestOfEngines;
  for (const TargetRecord& engine : aEngines) {
    for (const ServedModel& served : engine.models) {
      const std::uint64_t version = WeightNumber(served.version);
      const auto [position, isNew] = lowestOfEngines.emplace(served.model, version);
      position->second = std::min(position->second, version);
    }
  }
  for (const auto& [model, version] : lowestOfEngines) {
    LowestVersion& lowest = this->lowestVersions[model];
    if (lowest.version != version) {
      lowest = LowestVersion{ version, this->clock.MonotonicNow() };
    }
  }
}

std::map<ModelName, std::uint64_t>
StableWeightVersions::MinimumVersions() const
{
  std::map<ModelName, std::uint64_t> settled;
  for (const auto& [model, lowest] : this->lowestVersions) {
    if (this->clock.MonotonicNow() - lowest.since >= this->settlingTime) {
      settled[model] = lowest.version;
    }
  }
  return settled;
}

} // namespace damasklink
