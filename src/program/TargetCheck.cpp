#include "TargetCheck.h"

#include <utility>

#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

constexpr Duration kConnectPatience = std::chrono::milliseconds(300);

} // namespace

void
TargetCheck::Run(const TargetRecord& aTarget, OnEnded aOnEnded)
{
  std::vector<OnEnded>& waiters = this->waiting[{ aTarget.id, aTarget.incarnation }];
  waiters.push_back(std::move(aOnEnded));
  if (waiters.size() == 1) {
    asio::co_spawn(this->loop, this->Connect(aTarget), asio::detached);
  }
}

Awaitable<void>
TargetCheck::Connect(TargetRecord aTarget)
{
  TargetChannel channel(this->loop.get_executor(), this->clock);
  const auto connected = co_await channel.Connect(aTarget.endpoint, kConnectPatience);
  const bool ended = !connected && connected.error().kind == ErrorKind::NotFound;
  const auto found = this->waiting.find({ aTarget.id, aTarget.incarnation });
  const std::vector<OnEnded> waiters = std::move(found->second);
  this->waiting.erase(found);
  LogEvent(LogLevel::Info, "target_checked")
    .With("target", aTarget.id)
    .With("incarnation", aTarget.incarnation)
    .With("ended", ended)
    .With("broken_attempts", waiters.size())
    .With("error", connected ? Error{} : connected.error());
  if (ended) {
    for (const OnEnded& waiter : waiters) {
      waiter();
    }
  }
}

} // namespace damasklink
