#include "damasklink/coordination/RetryScheduler.h"

#include <algorithm>
#include <cmath>

namespace damasklink {

// What was admitted counts by half as much after 0.7 s.
void
RetryScheduler::Decay()
{
  const MonotonicTime now = this->clock.MonotonicNow();
  const double seconds = std::chrono::duration<double>(now - this->decayedAt).count();
  this->admitted *= std::exp(-seconds);
  this->decayedAt = now;
}

void
RetryScheduler::OnAdmitted()
{
  this->Decay();
  this->admitted += 1;
}

Duration
RetryScheduler::NextRetryDelay()
{
  this->Decay();
  const MonotonicTime now = this->clock.MonotonicNow();
  const double turnsASecond = std::max(kRetryRatio * this->admitted, 1.0);
  const auto gap =
    std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / turnsASecond));
  const MonotonicTime turn = std::max(now + kMinRetryDelay, this->lastRetry + gap);
  if (turn <= now + kMaxRetryDelay) {
    this->lastRetry = turn;
    return turn - now;
  }
  // The queue is full: no turn is better than another.
  std::uniform_int_distribution<Duration::rep> any(kMinRetryDelay.count(), kMaxRetryDelay.count());
  return Duration(any(this->random));
}

} // namespace damasklink
