// Tracks the content of the stores of prompt parts, on the event loop of a control host.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "damasklink/coordination/RelayedStoreContents.h"
#include "damasklink/coordination/ServingConfig.h"
#include "damasklink/coordination/StoreContentTracker.h"
#include "damasklink/coordination/StoreWatchPlan.h"
#include "damasklink/protocol/ServingDialect.h"
#include "damasklink/transport/EventLoop.h"

namespace damasklink {

// Gets each store's events by long polling, so that an idle store costs few requests, and its full
// list at the start, after a gap in the events, and at intervals, since a few events get lost.
//
//   StoreWatcher watcher(loop, clock, dialect, plan, memory, { onChanges, onRelay });
//   watcher.Follow(services);         // After each change of the configuration.
//   watcher.UpdateRoles();            // At intervals.
//   watcher.PublishChanges();         // At intervals.
//
// Watches only the stores that the plan gives to this control host. The content of the others is
// what control hosts that watch them relay.
//
// Not thread-safe: belongs to the thread of the loop. Must outlive the loop's run.
class StoreWatcher
{
public:
  // Called with what has changed at stores since the last call: at once when a store becomes
  // unreachable or reachable again, otherwise by PublishChanges().
  using ChangeHandler = std::function<void(const std::vector<StoreUpdate>&)>;

  struct Handlers
  {
    // For the entry hosts.
    ChangeHandler onChanges;
    // For the other control hosts.
    ChangeHandler onRelay;
  };

  StoreWatcher(asio::io_context& aLoop,
               const Clock& aClock,
               const StoreDialect& aDialect,
               const StoreWatchPlan& aPlan,
               MemoryBudget& aMemory,
               Handlers aHandlers);
  ~StoreWatcher();
  StoreWatcher(const StoreWatcher&) = delete;
  StoreWatcher& operator=(const StoreWatcher&) = delete;

  // Starts to track the stores among the services, and stops tracking all others.
  void Follow(const std::vector<ServingService>& aServices);

  // Starts and stops watching stores after the plan has changed.
  void UpdateRoles();

  // Applies what another control host relays.
  void OnRelayed(const HostId& aFrom, const std::vector<StoreUpdate>& aUpdates);

  // The connection from another control host is lost.
  void OnDisconnected(const HostId& aFrom) { this->relayed.Remove(aFrom); }

  // Returns the content of the stores that this host relays, for a control host that has connected.
  std::vector<StoreUpdate> RelaySnapshot() const;

  // Passes the changes of all stores since the last call to the handler, in one call: stores have
  // hundreds of events a second, and each update is sent to every entry host.
  void PublishChanges();

  // Returns the known content of all stores.
  std::vector<StoreUpdate> Snapshot() const;

  // Tells the stores to free parts made by weights older than these, and parts whose writers broke
  // off. Requires that no call can still read the former (StableWeightVersions.h). One host does so
  // for each store: the one that relays it or, where all watch it, the leader.
  void FreeUnused(const std::map<ModelName, std::uint64_t>& aWeights, bool aLeads);

private:
  struct WatchedStore;

  void UpdateRole(const std::shared_ptr<WatchedStore>& aStore);
  std::optional<HostId> SourceOf(const WatchedStore& aStore) const;
  StoreUpdate SnapshotOf(const WatchedStore& aStore) const;
  std::optional<StoreUpdate> TakeChangesOf(WatchedStore& aStore);
  Awaitable<void> Free(std::shared_ptr<WatchedStore> aStore, std::vector<PartName> aParts);

  Awaitable<void> Watch(std::shared_ptr<WatchedStore> aStore);
  Awaitable<bool> PollStore(WatchedStore& aStore);
  Awaitable<Result<std::string>> Request(WatchedStore& aStore, HttpRequestHead aRequest);

  asio::io_context& loop;
  const Clock& clock;
  const StoreDialect& dialect;
  const StoreWatchPlan& plan;
  MemoryBudget& memory;
  Handlers handlers;
  RelayedStoreContents relayed;
  // The version of the plan that all roles correspond to; 0 if some do not.
  std::uint64_t appliedPlan = 0;
  // By address. Shared with the coroutine that watches the store.
  std::map<std::string, std::shared_ptr<WatchedStore>> stores;
};

} // namespace damasklink
