// Index of which store has which prompt parts, as one control host reports it.
//
//   StoredPartIndex stored;
//   stored.SetStores(config.services);
//   stored.Apply(update);
//   const PromptStore* from = stored.Find(part, zone, {});  // A store to fetch the part from.
//   const PromptStore* to = stored.SelectStore(part);       // The store to save the part to.
//
// Updates of different control hosts about one store have no common order, so each control host
// needs an index of its own. A part is found only if it is known to be complete. Not thread-safe.
#pragma once

#include <map>
#include <set>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "damasklink/coordination/ServingConfig.h"
#include "damasklink/coordination/ServingMessages.h"

namespace damasklink {

// A store from the configuration, and its content.
struct PromptStore
{
  // Address and port.
  std::string name;
  PromptStoreSpec traits;
  // Whether the control host can reach the store.
  bool live = false;
  std::uint64_t storedTokens = 0;
  // Space taken by incomplete parts.
  std::uint64_t reservedTokens = 0;
  absl::flat_hash_map<PartKey, TokenCount> parts;
};

class StoredPartIndex
{
public:
  // Stores are filled up to this ratio only, since parts in transfer are not counted yet.
  static constexpr double kMaxFillRatio = 0.95;

  // Sets the stores of a configuration. Stores that were present before keep their content.
  void SetStores(const std::vector<ServingService>& aServices);

  // Applies an update from the control host. Ignores stores that are not in the configuration.
  void Apply(const StoreUpdate& aUpdate);

  // Returns the names of all stores.
  std::vector<std::string> StoreNames() const;

  // Returns the number of stores that the control host can reach.
  std::size_t CountLiveStores() const;

  // Returns the store from which a target in the zone gets the part fastest, or null if no store is
  // known to have all of it. Stores whose names are in aAvoided are skipped.
  const PromptStore* Find(const SizedPart& aPart,
                          const ZoneId& aZone,
                          const std::set<std::string>& aAvoided) const;

  // Returns the store that a part is to be saved to, the same on all hosts: weighted rendezvous
  // hashing by the part's key among the stores with space. Returns null while the selected store is
  // not live, since it usually returns within seconds and its parts would overload the others.
  const PromptStore* SelectStore(const SizedPart& aPart) const;

  // Returns the time in milliseconds to transfer aTokens from an idle store within its zone.
  double TransferTime(const PromptStore& aStore, TokenCount aTokens) const;

private:
  std::map<std::string, PromptStore> stores;
  double bytesPerToken = 0;
};

} // namespace damasklink
