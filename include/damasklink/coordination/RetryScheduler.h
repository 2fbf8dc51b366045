// When callers that are refused because all targets are full should come again: one after the
// other, as places that the others leave are given to them.
//
//   RetryScheduler queue(clock, seed);
//   queue.OnAdmitted();                       // A call was sent to a target.
//   Duration after = queue.NextRetryDelay();            // One was refused: what to tell its
//   caller.
//
// After an outage all who waited ask at once, several times what targets can take. Told one short
// time, all come back together and are refused for good. A queue that gives them a share of what is
// admitted brings each back when it has room, and leaves the rest to those that come for the first
// time. Under a lasting overload few are in the queue at a time, and each comes back soon.
// Not thread-safe.
#pragma once

#include <random>

#include "damasklink/state/Clock.h"

namespace damasklink {

class RetryScheduler
{
public:
  // Share of the calls that are admitted which may be returning ones.
  static constexpr double kRetryRatio = 0.25;
  // Nobody returns sooner: queues at targets that are full empty in about this time.
  static constexpr Duration kMinRetryDelay = std::chrono::milliseconds(300);
  // Nor later: callers do not wait for longer, and an overload that lasts for longer is none of
  // those that a queue helps over.
  static constexpr Duration kMaxRetryDelay = std::chrono::seconds(2);

  RetryScheduler(const Clock& aClock, std::uint64_t aSeed)
    : clock(aClock)
    , random(aSeed)
  {
  }

  // A call was admitted, whether it was refused before or not.
  void OnAdmitted();

  // A caller is refused. Returns after how long it should come back.
  Duration NextRetryDelay();

private:
  void Decay();

  const Clock& clock;
  std::minstd_rand random;
  // Calls admitted a second, of the last second or two.
  double admitted = 0;
  MonotonicTime decayedAt;
  // The turn of the last caller that joined.
  MonotonicTime lastRetry;
};

} // namespace damasklink
