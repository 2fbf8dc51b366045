// Which weights all engines have had for a while, so that what older ones made is of no use any
// more.
//
//   StableWeightVersions settled(clock, std::chrono::seconds(3));
//   settled.Update(engines);      // All that have not left, silent ones too.
//   settled.MinimumVersions();            // By model.
//
// An engine refuses calls that expect weights it has given up, and a transfer ends within two
// seconds: after that nobody can be reading parts that older weights made. Not thread-safe.
#pragma once

#include <map>
#include <vector>

#include "damasklink/coordination/Target.h"
#include "damasklink/state/Clock.h"

namespace damasklink {

class StableWeightVersions
{
public:
  StableWeightVersions(const Clock& aClock, Duration aSettling)
    : clock(aClock)
    , settling(aSettling)
  {
  }

  void Update(const std::vector<TargetRecord>& aEngines);

  // Returns, by model, the least version of any engine, where no engine had a lower one for the
  // time of settling.
  std::map<ModelName, std::uint64_t> MinimumVersions() const;

private:
  struct Level
  {
    std::uint64_t version = 0;
    MonotonicTime since;
  };

  const Clock& clock;
  Duration settling;
  std::map<ModelName, Level> levels;
};

} // namespace damasklink
