// How an entry host stops. The rest of the class is in EntryHost.cpp and EntryHostUpdates.cpp.
#include <algorithm>

#include "ClockTimer.h"
#include "EntryHostImpl.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

// Calls that still run are ended this long before the end of stopWithin, and the host ends after
// kStopWriteTime more, so that the last responses still leave it.
constexpr Duration kStopMargin = std::chrono::milliseconds(400);
constexpr Duration kStopWriteTime = std::chrono::milliseconds(150);

// How long connections are still accepted after the signal to stop. The load balancer probes once a
// second and stops sending after two failed probes.
constexpr Duration kAcceptAfterStop = std::chrono::milliseconds(2600);

// How often a stopping host checks whether all calls have ended.
constexpr Duration kStopCheckInterval = std::chrono::milliseconds(100);

} // namespace

// Readiness already fails when this begins. New connections are served as long as the load balancer
// may still open some (kAcceptAfterStop). Then idle connections are closed, and the loop stops with
// the last call. A connection whose response began before the signal was promised to stay open and
// may bring another request until then; StopAdmission decides whether it is still taken.
Awaitable<void>
EntryHost::Impl::Stop()
{
  const MonotonicTime start = this->clock.MonotonicNow();
  const MonotonicTime cutOff =
    start + std::max(this->settings.stopWithin, kStopMargin) - kStopMargin;
  this->stopAdmission.BeginStop(cutOff);
  asio::steady_timer timer(this->loop);
  ExpireAt(timer, this->clock, std::min(start + kAcceptAfterStop, cutOff));
  co_await timer.async_wait(kAsValue);
  this->callers.Close();
  if (!co_await this->AwaitCallsEnd(cutOff)) {
    this->EndCalls();
    co_await this->AwaitCallsEnd(cutOff + kStopWriteTime);
  }
  for (const Exchange* exchange : this->context.inProgress) {
    exchange->LogCutAtStop("not_sent");
  }
  LogEvent(LogLevel::Info, "stop_ends")
    .With("open", this->open.size())
    .With("busy", this->BusyConnections())
    .With("lingering", this->lingering.Count());
  this->forwarder.Stop();
  this->mesh.Stop();
  this->loop.stop();
}

Awaitable<bool>
EntryHost::Impl::AwaitCallsEnd(MonotonicTime aUntil)
{
  asio::steady_timer timer(this->loop);
  while (true) {
    // A request on an idle connection might not end before the process does.
    for (const std::shared_ptr<CallerConnection>& channel : this->open) {
      channel->CloseIfIdle();
    }
    const bool busy =
      this->BusyConnections() > 0 || this->lingering.Count() > 0 || this->refuser.Pending() > 0;
    if (!busy && this->forwarder.IsFinished()) {
      co_return true;
    }
    const MonotonicTime now = this->clock.MonotonicNow();
    if (now >= aUntil) {
      co_return false;
    }
    ExpireAt(timer, this->clock, std::min(now + kStopCheckInterval, aUntil));
    co_await timer.async_wait(kAsValue);
  }
}

void
EntryHost::Impl::EndCalls()
{
  const std::set<Exchange*> inProgress = this->context.inProgress;
  for (Exchange* exchange : inProgress) {
    exchange->OnStopLimit();
  }
}

std::size_t
EntryHost::Impl::BusyConnections() const
{
  const auto busy = std::count_if(
    this->open.begin(), this->open.end(), [](const auto& aChannel) { return !aChannel->IsIdle(); });
  return static_cast<std::size_t>(busy);
}

} // namespace damasklink
