// Which parts of prompts each engine is believed to hold in its own cache.
//
// A guess from what was sent there: engines drop the least recently used parts when their memory is
// full, and so does this view. A wrong guess costs time, never a wrong answer.
//
//   EngineCacheModel held;
//   held.OnSent(target, parts);
//   held.LeadingCached(target, parts);     // Parts from the start of the prompt.
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
  // Tokens of parts that one engine is believed to keep where its memory is not declared.
  static constexpr std::uint64_t kDefaultCapacity = 100'000;

  // Parts beyond the capacity are forgotten, the least recently used first.
  explicit EngineCacheModel(TokenCount aCapacity = TokenCount(kDefaultCapacity))
    : capacity(aCapacity.Value())
  {
  }

  // Takes how many tokens one engine's memory holds, as declared. Running requests take a share of
  // it, but only what is in use cannot be dropped for parts.
  void SetCapacity(TokenCount aCapacity) { this->capacity = aCapacity.Value(); }

  // Tells that the target reads the parts.
  void OnSent(const TargetId& aTarget, const std::vector<SizedPart>& aParts);

  // Returns how many parts from the first on the target holds, without a gap.
  std::size_t LeadingCached(const TargetId& aTarget, const std::vector<SizedPart>& aParts) const;

  // Returns whether the target holds the part, whatever stands before it.
  bool Holds(const TargetId& aTarget, PartKey aPart) const;

  void Forget(const TargetId& aTarget) { this->targets.erase(aTarget); }

private:
  struct Held
  {
    std::uint64_t tokens = 0;
    std::uint64_t stamp = 0;
  };

  struct Use
  {
    PartKey key;
    std::uint64_t stamp = 0;
  };

  struct Cache
  {
    absl::flat_hash_map<PartKey, Held> parts;
    // Uses in order; one that was used again later stands here more than once.
    std::deque<Use> uses;
    std::uint64_t tokens = 0;
    std::uint64_t lastStamp = 0;
  };

  void Trim(Cache& aCache) const;

  std::uint64_t capacity;
  absl::flat_hash_map<TargetId, Cache> targets;
};

} // namespace damasklink
