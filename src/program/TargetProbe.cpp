#include "TargetProbe.h"

#include <utility>

#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);

// A listener that drops unwanted connections does so at once.
constexpr Duration kDropTimeout = std::chrono::milliseconds(50);

// Number of consecutive connections that must be dropped, and the interval between them: a
// target with too many connections drops only some new ones, and sends bytes of its responses in
// between.
constexpr int kRequiredDrops = 3;
constexpr Duration kDropCheckInterval = std::chrono::milliseconds(100);

} // namespace

void
TargetProbe::Run(const TargetRecord& aTarget, TerminationHandler aOnTerminated)
{
  if (this->waiting.empty()) {
    this->alive.clear();
  }
  std::vector<TerminationHandler>& waiters = this->waiting[{ aTarget.id, aTarget.incarnation }];
  waiters.push_back(std::move(aOnTerminated));
  if (waiters.size() == 1) {
    this->alive.erase(aTarget.id);
    asio::co_spawn(this->loop, this->Check(aTarget), asio::detached);
  }
}

Awaitable<void>
TargetProbe::Check(TargetRecord aTarget)
{
  const std::optional<TerminationEvidence> evidence = co_await this->FindEvidence(aTarget);
  const auto found = this->waiting.find({ aTarget.id, aTarget.incarnation });
  const std::vector<TerminationHandler> waiters = std::move(found->second);
  this->waiting.erase(found);
  LogEvent(LogLevel::Info, "target_checked")
    .With("target", aTarget.id)
    .With("incarnation", aTarget.incarnation)
    .With("ended", evidence.has_value())
    .With("dropped", evidence == TerminationEvidence::Dropped)
    .With("broken_attempts", waiters.size());
  if (evidence) {
    for (const TerminationHandler& waiter : waiters) {
      waiter(*evidence);
    }
  }
}

Awaitable<std::optional<TerminationEvidence>>
TargetProbe::FindEvidence(TargetRecord aTarget)
{
  asio::steady_timer pause(this->loop);
  for (int drops = 0; drops < kRequiredDrops; ++drops) {
    if (drops > 0) {
      pause.expires_after(kDropCheckInterval);
      co_await pause.async_wait(kAsValue);
    }
    const ConnectResult result = co_await this->Connect(aTarget.endpoint);
    if (result == ConnectResult::Refused) {
      co_return TerminationEvidence::Refused;
    }
    if (result != ConnectResult::Dropped) {
      co_return std::nullopt;
    }
  }
  const bool alive = this->alive.contains(aTarget.id);
  co_return alive ? std::nullopt : std::optional(TerminationEvidence::Dropped);
}

Awaitable<TargetProbe::ConnectResult>
TargetProbe::Connect(Endpoint aAddress)
{
  TargetConnection channel(this->loop.get_executor(), this->clock);
  const auto connected = co_await channel.Connect(aAddress, kConnectTimeout);
  if (!connected) {
    const bool refused = connected.error().kind == ErrorKind::NotFound;
    co_return refused ? ConnectResult::Refused : ConnectResult::Nothing;
  }
  const bool open = co_await channel.StaysOpen(kDropTimeout);
  co_return open ? ConnectResult::Open : ConnectResult::Dropped;
}

} // namespace damasklink
