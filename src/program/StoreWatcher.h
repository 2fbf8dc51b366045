// Follows what the stores of prompt parts hold, on the event loop of a control host.
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

// Asks each store for its events with a long wait, so that an idle store costs one question a
// second, and for its list at the start, after a gap, and now and then: a few events never arrive.
class StoreWatcher
{
public:
  // Called with what has changed of stores since the last call: at once when one is lost or
  // regained, else by TellChanges().
  using Told = std::function<void(const std::vector<StoreUpdate>&)>;

  StoreWatcher(asio::io_context& aLoop,
               const Clock& aClock,
               const StoreDialect& aDialect,
               Told aTold);
  ~StoreWatcher();
  StoreWatcher(const StoreWatcher&) = delete;
  StoreWatcher& operator=(const StoreWatcher&) = delete;

  // Follows the stores of the configuration and no others.
  void Follow(const std::vector<ServingService>& aServices);

  // Tells what has changed of all stores since the last call, all of it together: stores have
  // hundreds of events a second, and each telling goes to every entry host.
  void TellChanges();

  // Returns the whole of what is known.
  std::vector<StoreUpdate> All() const;

  // Orders the stores to drop parts that were made by weights older than these, and those whose
  // writers broke off. Requires that nobody can be reading the former (SettledWeights.h).
  void FreeUnused(const std::map<ModelName, std::uint64_t>& aWeights);

private:
  struct Watched;

  Awaitable<void> Free(std::shared_ptr<Watched> aStore, std::vector<PartName> aParts);

  Awaitable<void> Watch(std::shared_ptr<Watched> aStore);
  Awaitable<bool> AskOnce(Watched& aStore);
  Awaitable<Result<std::string>> Ask(Watched& aStore, HttpRequestHead aQuestion);

  asio::io_context& loop;
  const Clock& clock;
  const StoreDialect& dialect;
  Told told;
  // Shared with the coroutine that follows the store.
  std::map<std::string, std::shared_ptr<Watched>> stores;
};

} // namespace damasklink
