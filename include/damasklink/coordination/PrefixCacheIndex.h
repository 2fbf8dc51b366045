// What each target's own prefix cache is believed to hold.
#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/container/inlined_vector.h>

#include "damasklink/state/Ids.h"

namespace damasklink {

// Changes of one engine's cache, as it publishes them: late, with gaps, maybe twice.
struct CacheEvent
{
  TargetId target;
  Incarnation incarnation;
  // Counts the events of one incarnation from 1.
  Sequence sequence;
  std::vector<Digest> added;
  std::vector<Digest> removed;

  bool operator==(const CacheEvent&) const = default;
};

// The whole content of one engine's cache, as of an event.
struct CacheSnapshot
{
  TargetId target;
  Incarnation incarnation;
  // The last event that is contained.
  Sequence sequence;
  std::vector<Digest> blocks;
};

// Guesses which blocks each target holds, from what was sent there and from cache events. A wrong
// guess costs time, never a wrong answer: the engine itself decides what it reuses.
//
//   PrefixCacheIndex view(100'000);
//   view.OnSent(target, blocks);
//   view.Match(blocks);
//   view.Depth(view.NumberOf(target));   // Leading blocks that the target should hold.
//
// A gap in the sequence marks a target's view stale until a snapshot rebuilds it; meanwhile events
// are still taken as hints. Holds at most the given number of blocks for each target, the least
// recently used ones go first. Not thread-safe.
class PrefixCacheIndex
{
public:
  using TargetNumber = std::uint32_t;

  explicit PrefixCacheIndex(std::uint64_t aMaxBlocksPerTarget);

  // Returns a small number for the target, the same until Forget().
  TargetNumber NumberOf(const TargetId& aTarget);

  // Drops all that is known of a target. Its number may go to another one.
  void Forget(const TargetId& aTarget);

  // Expects that the target will hold the blocks of a prompt that was sent to it.
  void OnSent(const TargetId& aTarget, const std::vector<Digest>& aBlocks);

  // Takes a cache event. One that was seen before is ignored.
  void OnEvent(const CacheEvent& aEvent);

  // Replaces what is believed of a target and ends its being stale. A snapshot older than the
  // events taken is ignored.
  void OnSnapshot(const CacheSnapshot& aSnapshot);

  // Returns the targets whose views are stale and need a snapshot.
  std::vector<TargetId> StaleTargets() const;
  bool IsStale(const TargetId& aTarget) const;

  // Finds how many leading blocks each target holds; read with Depth() until the next call.
  void Match(const std::vector<Digest>& aBlocks);

  // Returns the leading blocks of the last Match() that the target is believed to hold.
  std::uint64_t Depth(TargetNumber aTarget) const;

  // Returns how many (block, target) pairs are blockCount.
  std::uint64_t Size() const;

private:
  using Hint = std::uint64_t;

  struct Holder
  {
    TargetNumber target = 0;
    std::uint32_t stamp = 0;
  };

  struct Use
  {
    Hint block = 0;
    std::uint32_t stamp = 0;
  };

  struct TargetState
  {
    TargetId id;
    Incarnation incarnation;
    Sequence sequence;
    bool stale = false;
    std::uint32_t nextStamp = 1;
    std::uint64_t blockCount = 0;
    // Uses in order; a block used again later stands here more than once.
    std::deque<Use> uses;
  };

  void Add(TargetNumber aTarget, Hint aBlock);
  void Remove(TargetNumber aTarget, Hint aBlock);
  void Clear(TargetNumber aTarget);
  void Trim(TargetNumber aTarget);
  Holder* Find(TargetNumber aTarget, Hint aBlock);
  bool IsLastUse(TargetNumber aTarget, const Use& aUse);

  std::uint64_t maxBlocks;
  absl::flat_hash_map<TargetId, TargetNumber> numbers;
  std::vector<TargetNumber> unused;
  std::vector<TargetState> targets;
  // Most blocks have one holder, so that it stands in the table itself.
  absl::flat_hash_map<Hint, absl::InlinedVector<Holder, 1>> holders;
  std::vector<std::uint32_t> depths;
  std::vector<TargetNumber> matched;
  std::vector<Hint> hints;
};

} // namespace damasklink
