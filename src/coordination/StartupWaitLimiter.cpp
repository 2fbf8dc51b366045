#include "damasklink/coordination/StartupWaitLimiter.h"

#include <algorithm>

namespace damasklink {

Duration
StartupWaitLimiter::Begin(Duration aPatience, std::size_t aBytes)
{
  if (this->calls >= kMostCalls || this->bytes + aBytes > kMostBytes) {
    return Duration::zero();
  }
  const auto share = std::chrono::duration_cast<Duration>(aPatience * kShareOfPatience);
  const Duration longest = std::clamp(share, Duration::zero(), kLongestWait);
  if (longest > Duration::zero()) {
    ++this->calls;
    this->bytes += aBytes;
  }
  return longest;
}

void
StartupWaitLimiter::End(std::size_t aBytes)
{
  --this->calls;
  this->bytes -= aBytes;
}

} // namespace damasklink
