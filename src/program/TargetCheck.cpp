#include "TargetCheck.h"

#include <utility>

#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

constexpr Duration kConnectPatience = std::chrono::milliseconds(300);

// Whoever ends connections that it does not want does so at once.
constexpr Duration kStaysOpen = std::chrono::milliseconds(50);

// Connections in a row that must be dropped, so far apart: a target that has too many connections
// drops some of the new ones, and goes on with its answers meanwhile.
constexpr int kDropsToBelieve = 3;
constexpr Duration kBetweenDrops = std::chrono::milliseconds(100);

} // namespace

void
TargetCheck::Run(const TargetRecord& aTarget, OnEnded aOnEnded)
{
  if (this->waiting.empty()) {
    this->alive.clear();
  }
  std::vector<OnEnded>& waiters = this->waiting[{ aTarget.id, aTarget.incarnation }];
  waiters.push_back(std::move(aOnEnded));
  if (waiters.size() == 1) {
    this->alive.erase(aTarget.id);
    asio::co_spawn(this->loop, this->Check(aTarget), asio::detached);
  }
}

Awaitable<void>
TargetCheck::Check(TargetRecord aTarget)
{
  const std::optional<EndProof> proof = co_await this->FindProof(aTarget);
  const auto found = this->waiting.find({ aTarget.id, aTarget.incarnation });
  const std::vector<OnEnded> waiters = std::move(found->second);
  this->waiting.erase(found);
  LogEvent(LogLevel::Info, "target_checked")
    .With("target", aTarget.id)
    .With("incarnation", aTarget.incarnation)
    .With("ended", proof.has_value())
    .With("dropped", proof == EndProof::Dropped)
    .With("broken_attempts", waiters.size());
  if (proof) {
    for (const OnEnded& waiter : waiters) {
      waiter(*proof);
    }
  }
}

Awaitable<std::optional<EndProof>>
TargetCheck::FindProof(TargetRecord aTarget)
{
  asio::steady_timer pause(this->loop);
  for (int drops = 0; drops < kDropsToBelieve; ++drops) {
    if (drops > 0) {
      pause.expires_after(kBetweenDrops);
      co_await pause.async_wait(kAsValue);
    }
    const Finding finding = co_await this->Connect(aTarget.endpoint);
    if (finding == Finding::Refused) {
      co_return EndProof::Refused;
    }
    if (finding != Finding::Dropped) {
      co_return std::nullopt;
    }
  }
  const bool lives = this->alive.contains(aTarget.id);
  co_return lives ? std::nullopt : std::optional(EndProof::Dropped);
}

Awaitable<TargetCheck::Finding>
TargetCheck::Connect(Endpoint aAddress)
{
  TargetChannel channel(this->loop.get_executor(), this->clock);
  const auto connected = co_await channel.Connect(aAddress, kConnectPatience);
  if (!connected) {
    const bool refused = connected.error().kind == ErrorKind::NotFound;
    co_return refused ? Finding::Refused : Finding::Nothing;
  }
  const bool open = co_await channel.StaysOpen(kStaysOpen);
  co_return open ? Finding::Open : Finding::Dropped;
}

} // namespace damasklink
