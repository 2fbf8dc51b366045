// Determines, for each model, the weight version that all engines have reached for some time.
// Cached parts made by lower versions are then of no use any more.
//
//   StableWeightVersions settled(clock, std::chrono::seconds(3));
//   settled.Update(engines);      // All engines that have not left, including silent ones.
//   settled.MinimumVersions();    // By model.
//
// An engine refuses calls that expect weights it no longer has, and a transfer takes at most two
// seconds. After that time no engine can be reading parts that older weights made. Not thread-safe.
#pragma once

#include <map>
#include <vector>

#include "damasklink/coordination/Target.h"
#include "damasklink/state/Clock.h"

namespace damasklink {

class StableWeightVersions
{
public:
  StableWeightVersions(const Clock& aClock, Duration aSettlingTime)
    : clock(aClock)
    , settlingTime(aSettlingTime)
  {
  }

  // Records the weight versions of all engines.
  void Update(const std::vector<TargetRecord>& aEngines);

  // Returns the lowest version of any engine for each model whose lowest version has not changed
  // for the settling time.
  std::map<ModelName, std::uint64_t> MinimumVersions() const;

private:
  struct LowestVersion
  {
    std::uint64_t version = 0;
    MonotonicTime since;
  };

  const Clock& clock;
  Duration settlingTime;
  std::map<ModelName, LowestVersion> lowestVersions;
};

} // namespace damasklink
