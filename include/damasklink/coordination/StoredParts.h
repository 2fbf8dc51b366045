// Where the parts of prompts are stored, as one control host states it.
//
//   StoredParts stored;
//   stored.SetStores(config.services);
//   stored.Take(statement);
//   const PromptStore* from = stored.Find(key);        // Whole there, and readable.
//   const PromptStore* to = stored.HomeOf(part);       // Where it is to be saved.
//
// The words of two control hosts about one store cannot be put in order, so each has an object of
// its own. A part that is not certainly whole is never read. Not thread-safe.
#pragma once

#include <map>
#include <set>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "damasklink/coordination/ServingConfig.h"
#include "damasklink/coordination/ServingMessages.h"

namespace damasklink {

// A store as the configuration declares it, and what is known of it.
struct PromptStore
{
  // Its address as text.
  std::string name;
  PromptStoreSpec traits;
  bool live = false;
  std::uint64_t storedTokens = 0;
  // Of parts that are not whole; they take up space all the same.
  std::uint64_t reservedTokens = 0;
  absl::flat_hash_map<PartKey, TokenCount> parts;
};

class StoredParts
{
public:
  // Share of a store up to which parts are sent to it: what is on its way has no place in the
  // figures yet.
  static constexpr double kFullShare = 0.95;

  // Takes the stores of a configuration; what is known of those that stay is kept.
  void SetStores(const std::vector<ServingService>& aServices);

  // Takes what the control host states. A store that the configuration does not name is ignored.
  void Take(const StoreUpdate& aStatement);

  // Returns the names of all stores.
  std::vector<std::string> Names() const;

  // How many stores the control host hears.
  std::size_t LiveStores() const;

  // Returns the store from which a target in the zone reads the part soonest, or null when none
  // surely holds it whole.
  // Stores whose names are in aAvoided are passed over.
  const PromptStore* Find(const SizedPart& aPart,
                          const ZoneId& aZone,
                          const std::set<std::string>& aAvoided) const;

  // Returns the store that a part belongs into, the same on all hosts: a weighted choice by the
  // part's key among stores with room. Null while that store is not live: it comes back within
  // seconds, and all its parts at once would overrun the others.
  const PromptStore* HomeOf(const SizedPart& aPart) const;

  // Returns how long reading so many tokens from the store takes within its zone, without waiting,
  // in milliseconds.
  double ReadTime(const PromptStore& aStore, TokenCount aTokens) const;

private:
  std::map<std::string, PromptStore> stores;
  double bytesPerToken = 0;
};

} // namespace damasklink
