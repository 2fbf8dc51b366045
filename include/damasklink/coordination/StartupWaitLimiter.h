// Which calls may wait for the first configuration of an entry host that has just started.
//
//   StartupWaitLimiter waits;
//   const Duration most = waits.Begin(patience, body.size());
//   if (most > Duration::zero()) { ... wait for that long; waits.End(body.size()); }
//
// The pattern: all hosts were down and come back together; callers that had nobody to call for a
// second call at once, some tenths of a second before control hosts have a leader and tell what to
// relay by. Each of them has one more try at most. Refused, most would meet the others on their
// return; after a short wait they are served in time. What the wait costs is bounded by time, count
// and bytes; what goes beyond is refused at once. Not thread-safe.
#pragma once

#include <cstddef>

#include "damasklink/state/Clock.h"

namespace damasklink {

class StartupWaitLimiter
{
public:
  // From the start of all hosts until a leader has told them all, where no voter is missing, with a
  // margin.
  static constexpr Duration kLongestWait = std::chrono::milliseconds(400);
  // The rest of what a caller waits is for its target.
  static constexpr double kShareOfPatience = 0.25;
  static constexpr std::size_t kMostCalls = 512;
  static constexpr std::size_t kMostBytes = std::size_t{ 16 } * 1024 * 1024;

  // Returns how long the call may wait, zero when it is to be refused. Each call that may wait ends
  // its wait once.
  Duration Begin(Duration aPatience, std::size_t aBytes);
  void End(std::size_t aBytes);

private:
  std::size_t calls = 0;
  std::size_t bytes = 0;
};

} // namespace damasklink
