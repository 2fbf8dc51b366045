#include "StoreWatcher.h"

#include <utility>

#include "damasklink/transport/Log.h"
#include "damasklink/transport/TargetConnection.h"

namespace damasklink {
namespace {

// How long a store holds an event request while it has no events. A store that stops answering is
// noticed after this and kStoreAnswerTimeout at the latest. Until then each fetch from it delays
// the transfers of its target by some hundred milliseconds. Shorter polls cost more requests.
constexpr Duration kEventLongPoll = std::chrono::milliseconds(250);

// A store that has not answered this long after the end of its poll is unreachable. Entry hosts
// must know that before the store can be back with no content and be written again.
constexpr Duration kStoreAnswerTimeout = std::chrono::milliseconds(250);

// Delay before the next request to a store that did not answer.
constexpr Duration kStoreRetryDelay = std::chrono::milliseconds(250);

// How often a reachable store is listed. A part whose event was lost stays unknown this long at
// most.
constexpr Duration kListInterval = std::chrono::seconds(5);

// Most parts in one command to free; its body has some ten thousand bytes then.
constexpr std::size_t kMaxPartsPerFree = 400;
constexpr Duration kFreeTimeout = std::chrono::seconds(1);
// Delay between two such commands to one store, so that the events of the first arrive.
constexpr Duration kFreeOrderInterval = std::chrono::milliseconds(500);

constexpr std::size_t kMaxStoreAnswer = std::size_t{ 8 } * 1024 * 1024;

std::string_view
RoleName(StoreRole aRole)
{
  switch (aRole) {
    case StoreRole::Watch:
      return "watch";
    case StoreRole::Relay:
      return "relay";
    case StoreRole::Standby:
      return "standby";
    case StoreRole::Receive:
      return "receive";
  }
  return "unknown";
}

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

struct StoreWatcher::WatchedStore
{
  WatchedStore(const PromptStoreSpec& aSpec, HostId aSelf)
    : spec(aSpec)
    , endpoint(aSpec.endpoint)
    , tracker(aSpec.endpoint)
    , publishedSource(std::move(aSelf))
  {
  }

  PromptStoreSpec spec;
  Endpoint endpoint;
  StoreContentTracker tracker;
  // Empty until the plan has assigned one.
  std::optional<StoreRole> role;
  // The control hosts that should watch the store, best first.
  std::vector<HostId> ranking;
  // The control host whose view of the store was published last; empty if none has any.
  std::optional<HostId> publishedSource;
  // Whether Watch() runs.
  bool watching = false;
  std::unique_ptr<TargetConnection> channel;
  MonotonicTime nextList;
  bool reachable = true;
  // Whether a command to free parts is being sent.
  bool freeing = false;
  // Whether the store is still in the configuration.
  bool followed = true;
};

StoreWatcher::StoreWatcher(asio::io_context& aLoop,
                           const Clock& aClock,
                           const StoreDialect& aDialect,
                           const StoreWatchPlan& aPlan,
                           MemoryBudget& aMemory,
                           Handlers aHandlers)
  : loop(aLoop)
  , clock(aClock)
  , dialect(aDialect)
  , plan(aPlan)
  , memory(aMemory)
  , handlers(std::move(aHandlers))
{
}

StoreWatcher::~StoreWatcher() = default;

void
StoreWatcher::Follow(const std::vector<ServingService>& aServices)
{
  std::map<std::string, std::shared_ptr<WatchedStore>> followed;
  for (const ServingService& service : aServices) {
    if (!service.store) {
      continue;
    }
    const std::string address = FormatEndpoint(service.store->endpoint);
    const auto known = this->stores.find(address);
    if (known != this->stores.end()) {
      known->second->spec = *service.store;
      followed[address] = known->second;
      continue;
    }
    followed[address] = std::make_shared<WatchedStore>(*service.store, this->plan.Self());
  }
  for (const auto& [address, store] : this->stores) {
    store->followed = followed.contains(address);
  }
  this->stores = std::move(followed);
  this->appliedPlan = 0;
  this->UpdateRoles();
}

void
StoreWatcher::UpdateRoles()
{
  if (this->appliedPlan == this->plan.Version()) {
    return;
  }
  this->appliedPlan = this->plan.Version();
  for (const auto& [address, store] : this->stores) {
    this->UpdateRole(store);
  }
}

void
StoreWatcher::UpdateRole(const std::shared_ptr<WatchedStore>& aStore)
{
  aStore->ranking = this->plan.Ranking(aStore->spec);
  const StoreRole role = this->plan.RoleFor(aStore->spec);
  const bool wasRelay = aStore->role == StoreRole::Relay;
  const bool handsOver = wasRelay && role != StoreRole::Relay && role != StoreRole::Watch;
  if (handsOver && !this->relayed.SourceOf(aStore->endpoint, aStore->ranking)) {
    // Until its successor relays the store, the other hosts depend on this one.
    this->appliedPlan = 0;
    return;
  }
  if (aStore->role == role) {
    return;
  }
  aStore->role = role;
  LogEvent(LogLevel::Info, "store_role")
    .With("store", FormatEndpoint(aStore->endpoint))
    .With("role", RoleName(role));
  if (role != StoreRole::Receive && !aStore->watching) {
    aStore->watching = true;
    asio::co_spawn(this->loop, this->Watch(aStore), asio::detached);
  }
  if (role == StoreRole::Relay) {
    this->handlers.onRelay({ aStore->tracker.Snapshot() });
  } else if (wasRelay) {
    StoreUpdate ended;
    ended.store = aStore->endpoint;
    ended.whole = true;
    this->handlers.onRelay({ ended });
  }
}

void
StoreWatcher::OnRelayed(const HostId& aFrom, const std::vector<StoreUpdate>& aUpdates)
{
  for (const StoreUpdate& update : aUpdates) {
    this->relayed.Apply(aFrom, update);
  }
}

std::vector<StoreUpdate>
StoreWatcher::RelaySnapshot() const
{
  std::vector<StoreUpdate> relays;
  for (const auto& [address, store] : this->stores) {
    if (store->role == StoreRole::Relay) {
      relays.push_back(store->tracker.Snapshot());
    }
  }
  return relays;
}

std::vector<StoreUpdate>
StoreWatcher::Snapshot() const
{
  std::vector<StoreUpdate> all;
  for (const auto& [address, store] : this->stores) {
    all.push_back(this->SnapshotOf(*store));
  }
  return all;
}

// Returns the control host whose view of the store is used.
std::optional<HostId>
StoreWatcher::SourceOf(const WatchedStore& aStore) const
{
  if (aStore.role != StoreRole::Receive) {
    return this->plan.Self();
  }
  return this->relayed.SourceOf(aStore.endpoint, aStore.ranking);
}

StoreUpdate
StoreWatcher::SnapshotOf(const WatchedStore& aStore) const
{
  const std::optional<HostId> source = this->SourceOf(aStore);
  if (source && source != this->plan.Self()) {
    return this->relayed.Snapshot(*source, aStore.endpoint);
  }
  if (source) {
    return aStore.tracker.Snapshot();
  }
  StoreUpdate unreachable;
  unreachable.store = aStore.endpoint;
  unreachable.whole = true;
  return unreachable;
}

// Returns the complete content if it comes from another control host than before.
std::optional<StoreUpdate>
StoreWatcher::TakeChangesOf(WatchedStore& aStore)
{
  const std::optional<HostId> source = this->SourceOf(aStore);
  std::optional<StoreUpdate> changes;
  if (source == this->plan.Self()) {
    changes = aStore.tracker.TakeChanges();
  } else if (source) {
    changes = this->relayed.TakeChanges(*source, aStore.endpoint);
  }
  if (source != aStore.publishedSource) {
    aStore.publishedSource = source;
    changes = this->SnapshotOf(aStore);
  }
  return changes;
}

void
StoreWatcher::FreeUnused(const std::map<ModelName, std::uint64_t>& aWeights, bool aLeads)
{
  const MonotonicTime now = this->clock.MonotonicNow();
  for (const auto& [address, store] : this->stores) {
    const bool frees =
      store->role == StoreRole::Relay || (store->role == StoreRole::Watch && aLeads);
    if (!frees || store->freeing || store->tracker.NeedsList()) {
      continue;
    }
    std::vector<PartName> unused = store->tracker.PartsOfOlderWeights(aWeights, kMaxPartsPerFree);
    const std::vector<PartName> abandoned = store->tracker.AbandonedParts(now, kMaxPartsPerFree);
    unused.insert(unused.end(), abandoned.begin(), abandoned.end());
    if (!unused.empty()) {
      store->freeing = true;
      LogEvent(LogLevel::Info, "parts_unused")
        .With("store", FormatEndpoint(store->endpoint))
        .With("of_older_weights", unused.size() - abandoned.size())
        .With("broken_off", abandoned.size());
      asio::co_spawn(this->loop, this->Free(store, std::move(unused)), asio::detached);
    }
  }
}

Awaitable<void>
StoreWatcher::Free(std::shared_ptr<WatchedStore> aStore, std::vector<PartName> aParts)
{
  const HttpRequestMessage request =
    this->dialect.FreeRequest(aStore->endpoint, aStore->tracker.Epoch(), aParts);
  TargetConnection channel(this->loop.get_executor(), this->clock);
  Watchdog watchdog(this->loop.get_executor(), [&channel] { channel.Close(); });
  watchdog.Arm(kFreeTimeout);
  int status = 0;
  if (auto connected = co_await channel.Connect(aStore->endpoint, kStoreAnswerTimeout); connected) {
    auto sent = co_await channel.Send(request.head, request.body);
    auto head = co_await channel.ReadHead();
    status = sent && head ? head.value().status : 0;
  }
  LogEvent(LogLevel::Info, "parts_freed")
    .With("store", FormatEndpoint(aStore->endpoint))
    .With("parts", aParts.size())
    .With("status", status);
  // Events report the parts that were freed; the others are freed by a later command.
  asio::steady_timer pause(this->loop, kFreeOrderInterval);
  co_await pause.async_wait(kAsValue);
  aStore->freeing = false;
}

Awaitable<void>
StoreWatcher::Watch(std::shared_ptr<WatchedStore> aStore)
{
  asio::steady_timer pause(this->loop);
  while (aStore->followed && aStore->role != StoreRole::Receive) {
    const bool answered = co_await this->PollStore(*aStore);
    const bool changed = answered != aStore->reachable;
    if (changed) {
      aStore->reachable = answered;
      LogEvent(answered ? LogLevel::Info : LogLevel::Warning,
               answered ? "store_regained" : "store_lost")
        .With("store", FormatEndpoint(aStore->endpoint));
    }
    if (!answered) {
      aStore->tracker.MarkUnreachable();
      aStore->channel.reset();
    }
    // Parts of an unreachable store must not be fetched: it may soon be back without them.
    if (changed || aStore->tracker.NeedsList()) {
      this->PublishChanges();
    }
    if (!answered) {
      pause.expires_after(kStoreRetryDelay);
      co_await pause.async_wait(kAsValue);
    }
  }
  aStore->watching = false;
  aStore->channel.reset();
  aStore->tracker.MarkUnreachable();
}

// Requests events or, if it is due, the list. Returns whether the store answered.
Awaitable<bool>
StoreWatcher::PollStore(WatchedStore& aStore)
{
  const MonotonicTime now = this->clock.MonotonicNow();
  if (aStore.tracker.NeedsList() || now >= aStore.nextList) {
    aStore.nextList = now + kListInterval;
    auto body = co_await this->Request(aStore, this->dialect.ListRequest(aStore.endpoint));
    auto list = body ? this->dialect.ReadList(body.value()) : Result<StoreList>(Fail(body.error()));
    if (!list) {
      co_return false;
    }
    LogUnreadableRows(aStore.endpoint, list.value().unreadable);
    aStore.tracker.ApplyList(list.value(), now);
    const StoreUpdate all = aStore.tracker.Snapshot();
    LogEvent(LogLevel::Info, "store_listed")
      .With("store", FormatEndpoint(aStore.endpoint))
      .With("epoch", list.value().epoch)
      .With("parts", all.added.size())
      .With("tokens", all.Tokens())
      .With("unfinished", list.value().unfinished.size())
      .With("reserved", all.reserved);
    co_return true;
  }
  auto body = co_await this->Request(
    aStore, this->dialect.EventsRequest(aStore.endpoint, aStore.tracker.Next(), kEventLongPoll));
  auto events =
    body ? this->dialect.ReadEvents(body.value()) : Result<StoreEvents>(Fail(body.error()));
  if (!events) {
    co_return false;
  }
  LogUnreadableRows(aStore.endpoint, events.value().unreadable);
  aStore.tracker.ApplyEvents(events.value());
  co_return true;
}

Awaitable<Result<std::string>>
StoreWatcher::Request(WatchedStore& aStore, HttpRequestHead aRequest)
{
  if (aStore.channel == nullptr || !aStore.channel->IsReusable() || !aStore.channel->IsClean()) {
    aStore.channel = std::make_unique<TargetConnection>(this->loop.get_executor(), this->clock);
    auto connected = co_await aStore.channel->Connect(aStore.endpoint, kStoreAnswerTimeout);
    if (!connected) {
      co_return Fail(connected.error());
    }
  }
  TargetConnection* channel = aStore.channel.get();
  Watchdog watchdog(this->loop.get_executor(), [channel] { channel->Close(); });
  watchdog.Arm(kEventLongPoll + kStoreAnswerTimeout);
  if (auto sent = co_await channel->Send(aRequest, ""); !sent) {
    co_return Fail(sent.error());
  }
  auto head = co_await channel->ReadHead();
  if (!head) {
    co_return Fail(head.error());
  }
  // A long list may take longer than the timeout while other transfers load the store's link, so
  // the timeout restarts with each piece.
  const auto onProgress = [&watchdog] { watchdog.Arm(kStoreAnswerTimeout); };
  CountedBuffer body(this->memory, MemoryUse::Responses);
  const auto read = co_await channel->ReadRest(body, kMaxStoreAnswer, onProgress);
  if (!read) {
    co_return Fail(read.error());
  }
  if (head.value().status != 200) {
    co_return Fail(ErrorKind::Unavailable, "the store refused the request", "retry later");
  }
  co_return body.TakeBytes();
}

void
StoreWatcher::PublishChanges()
{
  std::vector<StoreUpdate> updates;
  std::vector<StoreUpdate> relays;
  for (const auto& [address, store] : this->stores) {
    const std::optional<StoreUpdate> changes = this->TakeChangesOf(*store);
    if (!changes) {
      continue;
    }
    updates.push_back(*changes);
    if (store->role == StoreRole::Relay) {
      relays.push_back(*changes);
    }
  }
  this->relayed.DropChanges();
  if (!updates.empty()) {
    this->handlers.onChanges(updates);
  }
  if (!relays.empty()) {
    this->handlers.onRelay(relays);
  }
}

} // namespace damasklink
