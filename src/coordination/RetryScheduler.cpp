#include "damasklink/coordination/RetryScheduler.h"

#include <algorithm>
#include <cmath>

namespace damasklink {

// Exponential decay with a time constant of one second, a half-life of 0.7 s.
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
  const double retriesPerSecond = std::max(kRetryRatio * this->admitted, 1.0);
  const auto interval =
    std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / retriesPerSecond));
  const MonotonicTime retry = std::max(now + kMinRetryDelay, this->lastRetry + interval);
  if (retry <= now + kMaxRetryDelay) {
    this->lastRetry = retry;
    return retry - now;
  }
  // The schedule is full up to the maximum delay, so any delay is as good as another.
  std::uniform_int_distribution<Duration::rep> any(kMinRetryDelay.count(), kMaxRetryDelay.count());
  return Duration(any(this->random));
}

} // namespace damasklink
