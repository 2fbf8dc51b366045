#include "damasklink/coordination/RefusalLimiter.h"

#include <algorithm>

namespace damasklink {

bool
RefusalLimiter::TryBegin()
{
  this->Refill();
  if (this->count >= kMostAtOnce || this->tokens < 1) {
    return false;
  }
  this->tokens -= 1;
  ++this->count;
  return true;
}

void
RefusalLimiter::End()
{
  --this->count;
}

void
RefusalLimiter::Refill()
{
  const MonotonicTime now = this->clock.MonotonicNow();
  const double seconds = std::chrono::duration<double>(now - this->refilledAt).count();
  this->tokens = std::min(this->tokens + seconds * kPerSecond, kBurst);
  this->refilledAt = now;
}

} // namespace damasklink
