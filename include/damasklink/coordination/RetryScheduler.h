// Spreads the retries of callers that were refused because all targets are full.
//
//   RetryScheduler scheduler(clock, seed);
//   scheduler.OnAdmitted();                            // A call was sent to a target.
//   Duration delay = scheduler.NextRetryDelay();       // A call was refused: for its Retry-After.
//
// After an outage all waiting callers call at once, several times what the targets can take. If all
// were given the same short delay, they would return together and be refused for good. Instead,
// retries are scheduled one after the other at a fraction of the rate of admitted calls: each
// caller returns when there is capacity, and the rest of it is left to new calls. Under a lasting
// overload few callers are scheduled at a time, and each gets a short delay.
//
// Not thread-safe.
#pragma once

#include <random>

#include "damasklink/state/Clock.h"

namespace damasklink {

class RetryScheduler
{
public:
  // Scheduled retries per admitted call.
  static constexpr double kRetryRatio = 0.25;
  // Queues at full targets drain in about this time.
  static constexpr Duration kMinRetryDelay = std::chrono::milliseconds(300);
  // Callers do not wait longer, and scheduling retries does not help with a longer overload.
  static constexpr Duration kMaxRetryDelay = std::chrono::seconds(2);

  RetryScheduler(const Clock& aClock, std::uint64_t aSeed)
    : clock(aClock)
    , random(aSeed)
  {
  }

  // Called when a call is admitted, whether it was refused before or not.
  void OnAdmitted();

  // Called when a call is refused. Returns the delay after which its caller should retry, between
  // kMinRetryDelay and kMaxRetryDelay.
  Duration NextRetryDelay();

private:
  void Decay();

  const Clock& clock;
  std::minstd_rand random;
  // Calls admitted per second, averaged over the last second or two.
  double admitted = 0;
  MonotonicTime decayedAt;
  // Time of the last scheduled retry.
  MonotonicTime lastRetry;
};

} // namespace damasklink
