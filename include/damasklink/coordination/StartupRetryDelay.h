// When a caller that is refused should come again.
//
//   StartupRetryDelay comeBack(seed);
//   comeBack.DelayDuringStartup(clock.MonotonicNow() - started);
//
// A caller comes back once or twice at most, so a time that is too short costs it its last try: it
// is refused again for the same reason. Not thread-safe.
#pragma once

#include <random>

#include "damasklink/state/Clock.h"

namespace damasklink {

class StartupRetryDelay
{
public:
  // From the start of an entry host until it has its first configuration when all hosts start
  // together and one control host is missing: the others read their logs, wait until the lease of
  // the leader before must have ended, elect one and tell the picture at once.
  static constexpr Duration kStartupDuration = std::chrono::milliseconds(1300);
  // Those who were refused meanwhile return over this time: all at once they would find engines
  // with 1.3 s of traffic waiting.
  static constexpr Duration kRetrySpread = std::chrono::milliseconds(500);
  // When a start takes longer than that, because fewer control hosts came back.
  static constexpr Duration kLateStartupDelay = std::chrono::milliseconds(500);

  explicit StartupRetryDelay(std::uint64_t aSeed)
    : random(aSeed)
  {
  }

  // Returns after how long to come back to a host that has no configuration yet.
  Duration DelayDuringStartup(Duration aSinceStart);

private:
  std::minstd_rand random;
};

} // namespace damasklink
