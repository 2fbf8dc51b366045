#include "damasklink/coordination/StableWeightVersions.h"

#include <algorithm>

namespace damasklink {

void
StableWeightVersions::Update(const std::vector<TargetRecord>& aEngines)
{
  std::map<ModelName, std::uint64_t> least;
  for (const TargetRecord& engine : aEngines) {
    for (const ServedModel& served : engine.models) {
      const std::uint64_t version = WeightNumber(served.version);
      const auto [position, isNew] = least.emplace(served.model, version);
      position->second = std::min(position->second, version);
    }
  }
  for (const auto& [model, version] : least) {
    Level& level = this->levels[model];
    if (level.version != version) {
      level = Level{ version, this->clock.MonotonicNow() };
    }
  }
}

std::map<ModelName, std::uint64_t>
StableWeightVersions::MinimumVersions() const
{
  std::map<ModelName, std::uint64_t> settled;
  for (const auto& [model, level] : this->levels) {
    if (this->clock.MonotonicNow() - level.since >= this->settling) {
      settled[model] = level.version;
    }
  }
  return settled;
}

} // namespace damasklink
