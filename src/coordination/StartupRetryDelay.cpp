#include "damasklink/coordination/StartupRetryDelay.h"

namespace damasklink {

Duration
StartupRetryDelay::DelayDuringStartup(Duration aSinceStart)
{
  if (aSinceStart >= kStartTakes) {
    return kLateStartupDelay;
  }
  std::uniform_int_distribution<Duration::rep> spread(0, kRetrySpread.count());
  return kStartTakes - aSinceStart + Duration(spread(this->random));
}

} // namespace damasklink
