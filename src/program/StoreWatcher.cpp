#include "StoreWatcher.h"

#include <utility>

#include "damasklink/transport/Log.h"
#include "damasklink/transport/TargetChannel.h"

namespace damasklink {
namespace {

// How long a store keeps a question without news waiting. A store that went dark is noticed this
// long later at most, and the patience below; until then each fetch from it holds up the transfers
// of its target by some hundred milliseconds. Shorter waits are priced.
constexpr Duration kEventWait = std::chrono::milliseconds(250);

// A store that has not answered this long after its wait is lost: entry hosts must know before it
// can be back, empty and being written.
constexpr Duration kAnswerPatience = std::chrono::milliseconds(250);

// Between two attempts at a store that does not answer.
constexpr Duration kRetryPause = std::chrono::milliseconds(250);

// Between two lists of a store that answers: how long a part whose event was lost stays unknown.
constexpr Duration kListInterval = std::chrono::seconds(5);

// Parts in one order to free; an order of some ten thousand bytes.
constexpr std::size_t kMostFreedAtOnce = 400;
constexpr Duration kFreePatience = std::chrono::seconds(1);
// Between two orders to one store: for the events of the first to arrive.
constexpr Duration kFreePause = std::chrono::milliseconds(500);

constexpr std::size_t kMostAnswerBytes = std::size_t{ 8 } * 1024 * 1024;

void
LogUnreadableRows(const Endpoint& aStore, std::size_t aRows)
{
  if (aRows > 0) {
    LogEvent(LogLevel::Warning, "rows_unreadable")
      .With("store", FormatEndpoint(aStore))
      .With("rows", aRows);
  }
}

} // namespace

struct StoreWatcher::Watched
{
  explicit Watched(Endpoint aEndpoint)
    : endpoint(aEndpoint)
    , feed(std::move(aEndpoint))
  {
  }

  Endpoint endpoint;
  StoreContentTracker feed;
  std::unique_ptr<TargetChannel> channel;
  MonotonicTime nextList;
  bool reachable = true;
  // An order to free parts is out.
  bool freeing = false;
  bool followed = true;
};

StoreWatcher::StoreWatcher(asio::io_context& aLoop,
                           const Clock& aClock,
                           const StoreDialect& aDialect,
                           Told aTold)
  : loop(aLoop)
  , clock(aClock)
  , dialect(aDialect)
  , told(std::move(aTold))
{
}

StoreWatcher::~StoreWatcher() = default;

void
StoreWatcher::Follow(const std::vector<ServingService>& aServices)
{
  std::map<std::string, std::shared_ptr<Watched>> followed;
  for (const ServingService& service : aServices) {
    if (!service.store) {
      continue;
    }
    const std::string address = FormatEndpoint(service.store->endpoint);
    const auto known = this->stores.find(address);
    if (known != this->stores.end()) {
      followed[address] = known->second;
      continue;
    }
    auto store = std::make_shared<Watched>(service.store->endpoint);
    followed[address] = store;
    asio::co_spawn(this->loop, this->Watch(store), asio::detached);
  }
  for (const auto& [address, store] : this->stores) {
    store->followed = followed.contains(address);
  }
  this->stores = std::move(followed);
}

std::vector<StoreUpdate>
StoreWatcher::All() const
{
  std::vector<StoreUpdate> all;
  for (const auto& [address, store] : this->stores) {
    all.push_back(store->feed.Snapshot());
  }
  return all;
}

void
StoreWatcher::FreeUnused(const std::map<ModelName, std::uint64_t>& aWeights)
{
  const MonotonicTime now = this->clock.MonotonicNow();
  for (const auto& [address, store] : this->stores) {
    if (store->freeing || store->feed.NeedsList()) {
      continue;
    }
    std::vector<PartName> unused = store->feed.PartsOfOlderWeights(aWeights, kMostFreedAtOnce);
    const std::vector<PartName> broken = store->feed.AbandonedParts(now, kMostFreedAtOnce);
    unused.insert(unused.end(), broken.begin(), broken.end());
    if (!unused.empty()) {
      store->freeing = true;
      LogEvent(LogLevel::Info, "parts_unused")
        .With("store", FormatEndpoint(store->endpoint))
        .With("of_older_weights", unused.size() - broken.size())
        .With("broken_off", broken.size());
      asio::co_spawn(this->loop, this->Free(store, std::move(unused)), asio::detached);
    }
  }
}

Awaitable<void>
StoreWatcher::Free(std::shared_ptr<Watched> aStore, std::vector<PartName> aParts)
{
  const HttpRequestMessage order =
    this->dialect.FreeMessage(aStore->endpoint, aStore->feed.Epoch(), aParts);
  TargetChannel channel(this->loop.get_executor(), this->clock);
  Watchdog watchdog(this->loop.get_executor(), [&channel] { channel.Close(); });
  watchdog.Arm(kFreePatience);
  int status = 0;
  if (auto connected = co_await channel.Connect(aStore->endpoint, kAnswerPatience); connected) {
    auto sent = co_await channel.Send(order.head, order.body);
    auto head = co_await channel.ReadHead();
    status = sent && head ? head.value().status : 0;
  }
  LogEvent(LogLevel::Info, "parts_freed")
    .With("store", FormatEndpoint(aStore->endpoint))
    .With("parts", aParts.size())
    .With("status", status);
  // What is gone shows in the events; whatever is not will be ordered again.
  asio::steady_timer pause(this->loop, kFreePause);
  co_await pause.async_wait(kAsValue);
  aStore->freeing = false;
}

Awaitable<void>
StoreWatcher::Watch(std::shared_ptr<Watched> aStore)
{
  asio::steady_timer pause(this->loop);
  while (aStore->followed) {
    const bool answered = co_await this->AskOnce(*aStore);
    const bool turned = answered != aStore->reachable;
    if (turned) {
      aStore->reachable = answered;
      LogEvent(answered ? LogLevel::Info : LogLevel::Warning,
               answered ? "store_regained" : "store_lost")
        .With("store", FormatEndpoint(aStore->endpoint));
    }
    if (!answered) {
      aStore->feed.MarkUnreachable();
      aStore->channel.reset();
    }
    // What a lost store held must not be fetched any more: it may be back soon, and empty.
    if (turned || aStore->feed.NeedsList()) {
      this->TellChanges();
    }
    if (!answered) {
      pause.expires_after(kRetryPause);
      co_await pause.async_wait(kAsValue);
    }
  }
}

// Asks for events or, where that is due, for the list. Returns whether the store answered.
Awaitable<bool>
StoreWatcher::AskOnce(Watched& aStore)
{
  const MonotonicTime now = this->clock.MonotonicNow();
  if (aStore.feed.NeedsList() || now >= aStore.nextList) {
    aStore.nextList = now + kListInterval;
    auto body = co_await this->Ask(aStore, this->dialect.ListQuestion(aStore.endpoint));
    auto list = body ? this->dialect.ReadList(body.value()) : Result<StoreList>(Fail(body.error()));
    if (!list) {
      co_return false;
    }
    LogUnreadableRows(aStore.endpoint, list.value().unreadable);
    aStore.feed.ApplyList(list.value(), now);
    const StoreUpdate all = aStore.feed.Snapshot();
    LogEvent(LogLevel::Info, "store_listed")
      .With("store", FormatEndpoint(aStore.endpoint))
      .With("epoch", list.value().epoch)
      .With("parts", all.added.size())
      .With("tokens", all.Tokens())
      .With("unfinished", list.value().unfinished.size())
      .With("reserved", all.reserved);
    co_return true;
  }
  auto body = co_await this->Ask(
    aStore, this->dialect.EventsQuestion(aStore.endpoint, aStore.feed.Next(), kEventWait));
  auto events =
    body ? this->dialect.ReadEvents(body.value()) : Result<StoreEvents>(Fail(body.error()));
  if (!events) {
    co_return false;
  }
  LogUnreadableRows(aStore.endpoint, events.value().unreadable);
  aStore.feed.ApplyEvents(events.value());
  co_return true;
}

Awaitable<Result<std::string>>
StoreWatcher::Ask(Watched& aStore, HttpRequestHead aQuestion)
{
  if (aStore.channel == nullptr || !aStore.channel->IsReusable() || !aStore.channel->IsClean()) {
    aStore.channel = std::make_unique<TargetChannel>(this->loop.get_executor(), this->clock);
    auto connected = co_await aStore.channel->Connect(aStore.endpoint, kAnswerPatience);
    if (!connected) {
      co_return Fail(connected.error());
    }
  }
  TargetChannel* channel = aStore.channel.get();
  Watchdog watchdog(this->loop.get_executor(), [channel] { channel->Close(); });
  watchdog.Arm(kEventWait + kAnswerPatience);
  if (auto sent = co_await channel->Send(aQuestion, ""); !sent) {
    co_return Fail(sent.error());
  }
  auto head = co_await channel->ReadHead();
  if (!head) {
    co_return Fail(head.error());
  }
  // A long list of a store that others load too comes for longer than silence is borne.
  const auto stillComing = [&watchdog] { watchdog.Arm(kAnswerPatience); };
  auto body = co_await channel->ReadRest(kMostAnswerBytes, stillComing);
  if (body && head.value().status != 200) {
    co_return Fail(ErrorKind::Unavailable, "the store refused the question", "ask again later");
  }
  co_return body;
}

void
StoreWatcher::TellChanges()
{
  std::vector<StoreUpdate> statements;
  for (const auto& [address, store] : this->stores) {
    if (std::optional<StoreUpdate> changes = store->feed.TakeChanges()) {
      statements.push_back(std::move(*changes));
    }
  }
  if (!statements.empty()) {
    this->told(statements);
  }
}

} // namespace damasklink
