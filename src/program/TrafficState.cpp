#include "TrafficState.h"

#include <absl/time/time.h>

namespace damasklink {

bool
TrafficState::Begin()
{
  absl::MutexLock lock(&this->mutex);
  if (this->closed) {
    return false;
  }
  ++this->running;
  this->retries.OnRequest();
  return true;
}

void
TrafficState::End()
{
  absl::MutexLock lock(&this->mutex);
  --this->running;
}

bool
TrafficState::TryTakeRetry()
{
  absl::MutexLock lock(&this->mutex);
  return this->retries.TryTake();
}

void
TrafficState::Close()
{
  absl::MutexLock lock(&this->mutex);
  this->closed = true;
}

void
TrafficState::StopNow()
{
  absl::MutexLock lock(&this->mutex);
  this->stopNow = true;
}

bool
TrafficState::MustStop() const
{
  absl::MutexLock lock(&this->mutex);
  return this->stopNow;
}

bool
TrafficState::WaitUntilIdle(Duration aTimeout)
{
  absl::MutexLock lock(&this->mutex);
  const auto over = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex) {
    return this->running == 0 || this->stopNow;
  };
  this->mutex.AwaitWithTimeout(absl::Condition(&over), absl::FromChrono(aTimeout));
  return this->running == 0;
}

bool
TrafficState::WaitUntilEnded(Duration aTimeout)
{
  absl::MutexLock lock(&this->mutex);
  const auto ended = [this]()
                       ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex) { return this->running == 0; };
  return this->mutex.AwaitWithTimeout(absl::Condition(&ended), absl::FromChrono(aTimeout));
}

} // namespace damasklink
