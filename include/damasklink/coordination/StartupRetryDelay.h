// Retry-After for callers that are refused while an entry host has no configuration yet.
//
//   StartupRetryDelay retryDelay(seed);
//   retryDelay.DelayDuringStartup(clock.MonotonicNow() - started);
//
// Callers retry once or twice at most. A delay that is too short wastes their last retry: it is
// refused again for the same reason. Not thread-safe.
#pragma once

#include <random>

#include "damasklink/state/Clock.h"

namespace damasklink {

class StartupRetryDelay
{
public:
  // Time from the start of an entry host to its first configuration when all hosts start together
  // and one control host is missing: the others read their logs, wait until the lease of the
  // previous leader has expired, elect a leader and publish the configuration immediately.
  static constexpr Duration kStartTakes = std::chrono::milliseconds(1300);
  // Retries are spread over this time. All at once, they would bring 1.3 s of traffic to the
  // engines at one moment.
  static constexpr Duration kRetrySpread = std::chrono::milliseconds(500);
  // Delay when startup takes longer than kStartTakes, because fewer control hosts are running.
  static constexpr Duration kLateStartupDelay = std::chrono::milliseconds(500);

  explicit StartupRetryDelay(std::uint64_t aSeed)
    : random(aSeed)
  {
  }

  // Returns the delay after which a caller should retry. aSinceStart is the time since the start of
  // the entry host.
  Duration DelayDuringStartup(Duration aSinceStart);

private:
  std::minstd_rand random;
};

} // namespace damasklink
