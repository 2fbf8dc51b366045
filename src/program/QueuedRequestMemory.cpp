#include "QueuedRequestMemory.h"

#include <algorithm>
#include <utility>

#include "damasklink/state/Units.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

// The memory counts as full until nothing has waited or was refused for this long.
constexpr Duration kFullTime = std::chrono::seconds(2);

} // namespace

QueuedRequestMemory::QueuedRequestMemory(asio::io_context& aLoop,
                                         const Clock& aClock,
                                         MemoryBudget& aBudget,
                                         Metrics& aMetrics,
                                         Describe aDescribe,
                                         MakeRoom aMakeRoom,
                                         std::uint64_t aSeed)
  : loop(aLoop)
  , clock(aClock)
  , budget(aBudget)
  , metrics(aMetrics)
  , describe(std::move(aDescribe))
  , makeRoom(std::move(aMakeRoom))
  , queue(aClock, aBudget)
  , scheduler(aClock, aSeed)
{
  aBudget.OnRelease([this](MemoryUse aUse, std::size_t aBytes) { this->OnReleased(aUse, aBytes); });
}

QueuedRequestMemory::~QueuedRequestMemory()
{
  this->budget.OnRelease(nullptr);
}

Awaitable<Result<MemoryReservation>>
QueuedRequestMemory::Reserve(const HttpRequestHead& aHead, std::size_t aBytes)
{
  if (auto reserved = this->TryReserve(aBytes)) {
    co_return std::move(*reserved);
  }
  this->NoteFull();
  this->makeRoom(this->budget.Missing(aBytes));
  if (auto reserved = this->TryReserve(aBytes)) {
    co_return std::move(*reserved);
  }
  const RequestUrgency urgency = this->describe(aHead);
  if (aBytes <= MemoryBudget::kSmallBytes) {
    co_return Fail(this->Refuse(urgency, aBytes, "full"));
  }
  co_return co_await this->AwaitMemory(urgency, aBytes);
}

std::optional<MemoryReservation>
QueuedRequestMemory::TryReserve(std::size_t aBytes)
{
  if (aBytes > MemoryBudget::kSmallBytes && this->queue.Size() > 0) {
    return std::nullopt;
  }
  auto reserved = this->budget.TryReserve(MemoryUse::RequestBodies, aBytes);
  if (reserved) {
    this->scheduler.OnAdmitted();
  }
  return reserved;
}

Awaitable<Result<MemoryReservation>>
QueuedRequestMemory::AwaitMemory(const RequestUrgency& aUrgency, std::size_t aBytes)
{
  const auto share = std::chrono::duration_cast<Duration>(aUrgency.patience * kShareOfPatience);
  const Duration longest = std::min(share, kMaxWait);
  const auto ticket = this->queue.Add(MemoryRequest{ aUrgency.priority, aBytes, longest });
  for (const MemoryTicket displaced : this->queue.TakeDisplaced()) {
    Waiter& waiter = *this->waiters.at(displaced);
    waiter.displaced = true;
    waiter.timer.cancel();
  }
  if (!ticket) {
    co_return Fail(this->Refuse(aUrgency, aBytes, "not_in_time"));
  }
  ++this->waited;
  asio::steady_timer timer(this->loop, longest);
  Waiter waiter{ timer, {} };
  this->waiters.emplace(*ticket, &waiter);
  co_await timer.async_wait(kAsValue);
  this->waiters.erase(*ticket);
  if (waiter.done) {
    this->scheduler.OnAdmitted();
    co_return std::move(waiter.granted);
  }
  if (!waiter.displaced) {
    this->queue.OnExpired(*ticket);
  }
  this->NoteFull();
  co_return Fail(this->Refuse(aUrgency, aBytes, waiter.displaced ? "displaced" : "waited"));
}

Error
QueuedRequestMemory::Refuse(const RequestUrgency& aUrgency,
                            std::size_t aBytes,
                            std::string_view aReason)
{
  ++this->refused;
  this->metrics.Add(Counter::MemoryRefusals, MetricKey{ WorkspaceId(), std::string(aReason) }, 1);
  LogEvent(LogLevel::Info, "refused_for_memory")
    .With("request", aUrgency.request)
    .With("priority", aUrgency.priority)
    .With("bytes", aBytes)
    .With("held", this->budget.Held())
    .With("limit", this->budget.Limit())
    .With("waiting", this->queue.Size())
    .With("reason", aReason);
  return NoMemoryError();
}

void
QueuedRequestMemory::OnReleased(MemoryUse aUse, std::size_t aBytes)
{
  // The messages between hosts go on when all requests are stuck.
  if (aUse != MemoryUse::PeerQueues && aUse != MemoryUse::PeerFrames) {
    this->queue.OnReleased(aBytes);
  }
  if (this->queue.Size() > 0 && !std::exchange(this->giving, true)) {
    asio::post(this->loop, [this] {
      this->giving = false;
      this->GiveToWaiting();
    });
  }
}

void
QueuedRequestMemory::GiveToWaiting()
{
  while (const auto next = this->queue.NextThatFits()) {
    Waiter& waiter = *this->waiters.at(*next);
    waiter.granted = *this->budget.TryReserve(MemoryUse::RequestBodies, this->queue.BytesOf(*next));
    waiter.done = true;
    this->queue.Remove(*next);
    waiter.timer.cancel();
  }
}

void
QueuedRequestMemory::NoteFull()
{
  this->fullAt = this->clock.MonotonicNow();
  if (std::exchange(this->full, true)) {
    return;
  }
  LogEvent event(LogLevel::Warning, "memory_full");
  event.With("held", this->budget.Held()).With("limit", this->budget.Limit());
  for (std::size_t index = 0; index < kMemoryUseCount; ++index) {
    const auto use = static_cast<MemoryUse>(index);
    event.With(MemoryUseName(use), this->budget.HeldFor(use));
  }
}

void
QueuedRequestMemory::CheckState()
{
  if (!this->full || this->clock.MonotonicNow() - this->fullAt < kFullTime) {
    return;
  }
  this->full = false;
  LogEvent(LogLevel::Info, "memory_available")
    .With("held", this->budget.Held())
    .With("limit", this->budget.Limit())
    .With("waited", std::exchange(this->waited, 0))
    .With("refused", std::exchange(this->refused, 0));
}

} // namespace damasklink
