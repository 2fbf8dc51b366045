#include "FirstConfiguration.h"

namespace damasklink {

Awaitable<void>
FirstConfiguration::Wait(Duration aPatience, std::size_t aBytes)
{
  const Duration most = this->waits.Begin(aPatience, aBytes);
  if (most <= Duration::zero()) {
    co_return;
  }
  asio::steady_timer timer(this->loop, most);
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
