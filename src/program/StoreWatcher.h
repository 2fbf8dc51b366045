// Tracks the content of the stores of prompt parts, on the event loop of a control host.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "damasklink/coordination/ServingConfig.h"
#include "damasklink/coordination/StoreContentTracker.h"
#include "damasklink/protocol/ServingDialect.h"
#include "damasklink/transport/EventLoop.h"

namespace damasklink {

// Gets each store's events by long polling, so that an idle store costs few requests, and its full
// list at the start, after a gap in the events, and at intervals, since a few events get lost.
//
//   StoreWatcher watcher(loop, clock, dialect, [](const auto& aUpdates) { ... });
//   watcher.Follow(services);         // After each change of the configuration.
//   watcher.PublishChanges();         // At intervals.
//
// Not thread-safe: belongs to the thread of the loop. Must outlive the loop's run.
class StoreWatcher
{
public:
  // Called with what has changed at stores since the last call: at once when a store becomes
  // unreachable or reachable again, otherwise by PublishChanges().
  using ChangeHandler = std::function<void(const std::vector<StoreUpdate>&)>;

  StoreWatcher(asio::io_context& aLoop,
               const Clock& aClock,
               const StoreDialect& aDialect,
               ChangeHandler aOnChanges);
  ~StoreWatcher();
  StoreWatcher(const StoreWatcher&) = delete;
  StoreWatcher& operator=(const StoreWatcher&) = delete;

  // Starts to track the stores among the services, and stops tracking all others.
  void Follow(const std::vector<ServingService>& aServices);

  // Passes the changes of all stores since the last call to the handler, in one call: stores have
  // hundreds of events a second, and each update is sent to every entry host.
  void PublishChanges();

  // Returns the known content of all stores.
  std::vector<StoreUpdate> Snapshot() const;

  // Tells the stores to free parts made by weights older than these, and parts whose writers broke
  // off. Requires that no call can still read the former (StableWeightVersions.h).
  void FreeUnused(const std::map<ModelName, std::uint64_t>& aWeights);

private:
  struct WatchedStore;

  Awaitable<void> Free(std::shared_ptr<WatchedStore> aStore, std::vector<PartName> aParts);

  Awaitable<void> Watch(std::shared_ptr<WatchedStore> aStore);
  Awaitable<bool> PollStore(WatchedStore& aStore);
  Awaitable<Result<std::string>> Request(WatchedStore& aStore, HttpRequestHead aRequest);

  asio::io_context& loop;
  const Clock& clock;
  const StoreDialect& dialect;
  ChangeHandler onChanges;
  // By address. Shared with the coroutine that watches the store.
  std::map<std::string, std::shared_ptr<WatchedStore>> stores;
};

} // namespace damasklink
