// LRU model of the prompt parts that each engine has in its own cache.
//
// The model follows the prompts that were sent to an engine and evicts the least recently used
// parts beyond its capacity, as engines do. A wrong prediction costs time, never a wrong answer.
//
//   EngineCacheModel cached;
//   cached.OnSent(target, parts);
//   cached.LeadingCached(target, parts);     // Number of parts from the start of the prompt.
//
// Not thread-safe.
#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "damasklink/coordination/PromptParts.h"

namespace damasklink {

class EngineCacheModel
{
public:
  // Tokens per engine where the configuration does not declare its memory.
  static constexpr std::uint64_t kDefaultCapacity = 100'000;

  // The capacity is in tokens per engine.
  explicit EngineCacheModel(TokenCount aCapacity = TokenCount(kDefaultCapacity))
    : capacity(aCapacity.Value())
  {
  }

  // Sets the capacity of an engine's memory in tokens, as declared. Running requests take a share
  // of it, but only memory in use by them is unavailable for parts.
  void SetCapacity(TokenCount aCapacity) { this->capacity = aCapacity.Value(); }

  // Records that a prompt with these parts was sent to the target, which caches them all.
  void OnSent(const TargetId& aTarget, const std::vector<SizedPart>& aParts);

  // Returns how many leading parts the target has cached, up to the first missing one.
  std::size_t LeadingCached(const TargetId& aTarget, const std::vector<SizedPart>& aParts) const;

  // Returns whether the target has cached the part, regardless of the parts before it.
  bool Holds(const TargetId& aTarget, PartKey aPart) const;

  // Removes a target and its parts.
  void Forget(const TargetId& aTarget) { this->targets.erase(aTarget); }

private:
  struct CachedPart
  {
    std::uint64_t tokens = 0;
    // Stamp of the last use.
    std::uint64_t stamp = 0;
  };

  struct Use
  {
    PartKey key;
    std::uint64_t stamp = 0;
  };

  struct Cache
  {
    absl::flat_hash_map<PartKey, CachedPart> parts;
    // Uses in order; a part that was used several times has several entries.
    std::deque<Use> uses;
    std::uint64_t tokens = 0;
    std::uint64_t lastStamp = 0;
  };

  void Evict(Cache& aCache) const;

  std::uint64_t capacity;
  absl::flat_hash_map<TargetId, Cache> targets;
};

} // namespace damasklink
