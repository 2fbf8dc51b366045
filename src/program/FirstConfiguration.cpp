#include "FirstConfiguration.h"

namespace damasklink {

Awaitable<void>
FirstConfiguration::Wait(Duration aPatience, std::size_t aBytes)
{
  const Duration timeout = this->waits.Begin(aPatience, aBytes);
  if (timeout <= Duration::zero()) {
    co_return;
  }
  asio::steady_timer timer(this->loop, timeout);
  this->waiting.insert(&timer);
  co_await timer.async_wait(kAsValue);
  this->waiting.erase(&timer);
  this->waits.End(aBytes);
}

void
FirstConfiguration::OnInForce()
{
  for (asio::steady_timer* timer : this->waiting) {
    timer->cancel();
  }
}

} // namespace damasklink
