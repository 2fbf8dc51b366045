// Limits which calls may wait for the first configuration of an entry host that has just started.
//
//   StartupWaitLimiter wait;
//   const Duration longest = wait.Begin(patience, body.size());
//   if (longest > Duration::zero()) { ... wait for up to that time; wait.End(body.size()); }
//
// After an outage of all hosts, callers that found no host for a second call again at once, some
// tenths of a second before the control hosts have elected a leader and distributed the
// configuration. Each caller retries at most once more. If these calls were refused, most retries
// would arrive together; after a short wait they are served in time instead. The wait is bounded by
// time, number of calls and bytes, and calls beyond these limits are refused at once. Not
// thread-safe.
#pragma once

#include <cstddef>

#include "damasklink/state/Clock.h"

namespace damasklink {

class StartupWaitLimiter
{
public:
  // The time from the start of all hosts until a leader has configured them, provided that all
  // voters are up, with a margin.
  static constexpr Duration kLongestWait = std::chrono::milliseconds(400);
  // The maximum share of the time that the caller waits; the rest is left for the target.
  static constexpr double kShareOfPatience = 0.25;
  static constexpr std::size_t kMostCalls = 512;
  static constexpr std::size_t kMostBytes = std::size_t{ 16 } * 1024 * 1024;

  // Returns how long the call may wait, or zero if it must be refused. aPatience is how long the
  // caller waits for its answer, aBytes the memory that the call takes. For each call that may
  // wait, End() must be called exactly once, with the same aBytes.
  Duration Begin(Duration aPatience, std::size_t aBytes);
  void End(std::size_t aBytes);

private:
  std::size_t calls = 0;
  std::size_t bytes = 0;
};

} // namespace damasklink
