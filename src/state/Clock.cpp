#include "damasklink/state/Clock.h"

#include <ctime>

namespace damasklink {

MonotonicTime
SystemClock::MonotonicNow() const
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return MonotonicTime(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace damasklink
