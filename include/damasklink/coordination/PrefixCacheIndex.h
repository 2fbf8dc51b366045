// Index of the blocks that each target's own prefix cache is expected to hold.
#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/container/inlined_vector.h>

#include "damasklink/state/Ids.h"

namespace damasklink {

// Changes of one engine's cache, as the engine publishes them. Events may be late, lost or
// duplicated.
struct CacheEvent
{
  TargetId target;
  Incarnation incarnation;
  // Number of the event within its incarnation, from 1.
  Sequence sequence;
  std::vector<Digest> added;
  std::vector<Digest> removed;

  bool operator==(const CacheEvent&) const = default;
};

// The complete content of one engine's cache after an event.
struct CacheSnapshot
{
  TargetId target;
  Incarnation incarnation;
  // The last event that the snapshot includes.
  Sequence sequence;
  std::vector<Digest> blocks;
};

// Predicts which blocks each target has cached, from the prompts sent to it and from its cache
// events. A wrong prediction costs time, never a wrong answer: the engine decides what it reuses.
//
//   PrefixCacheIndex caches(100'000);
//   caches.OnSent(target, blocks);
//   caches.Match(blocks);
//   caches.Depth(caches.NumberOf(target));   // Leading blocks that the target should have.
//
// A gap in the sequence of events marks a target stale until OnSnapshot(); events are still applied
// meanwhile. Has at most the given number of blocks for each target and evicts the least recently
// used ones. Not thread-safe.
class PrefixCacheIndex
{
public:
  // Dense number of a target; see NumberOf().
  using TargetNumber = std::uint32_t;

  explicit PrefixCacheIndex(std::uint64_t aMaxBlocksPerTarget);

  // Returns the number of a target, which stays the same until Forget(). Adds an unknown target.
  TargetNumber NumberOf(const TargetId& aTarget);

  // Removes a target and its blocks. Its number may be assigned to another target.
  void Forget(const TargetId& aTarget);

  // Adds the blocks of a prompt that was sent to the target.
  void OnSent(const TargetId& aTarget, const std::vector<Digest>& aBlocks);

  // Applies a cache event. Ignores duplicates and events of earlier incarnations. The first event
  // of a later incarnation clears the blocks of the one before it.
  void OnEvent(const CacheEvent& aEvent);

  // Replaces the blocks of a target, which is then no longer stale. Ignores a snapshot older than
  // the last event.
  void OnSnapshot(const CacheSnapshot& aSnapshot);

  // Returns the targets that need a snapshot.
  std::vector<TargetId> StaleTargets() const;
  bool IsStale(const TargetId& aTarget) const;

  // Counts the leading blocks of a prompt that each target has; Depth() returns the result until
  // the next call.
  void Match(const std::vector<Digest>& aBlocks);

  // Returns how many leading blocks of the last Match() the target should have.
  std::uint64_t Depth(TargetNumber aTarget) const;

  // Returns the number of (block, target) pairs.
  std::uint64_t Size() const;

private:
  using Hint = std::uint64_t;

  // A target that has a block, and the stamp of its last use there.
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
    // Uses in order; a block that was used several times may have several entries.
    std::deque<Use> uses;
  };

  void Add(TargetNumber aTarget, Hint aBlock);
  void Remove(TargetNumber aTarget, Hint aBlock);
  void Clear(TargetNumber aTarget);
  void Evict(TargetNumber aTarget);
  Holder* Find(TargetNumber aTarget, Hint aBlock);
  bool IsLastUse(TargetNumber aTarget, const Use& aUse);

  std::uint64_t maxBlocks;
  absl::flat_hash_map<TargetId, TargetNumber> numbers;
  std::vector<TargetNumber> unused;
  std::vector<TargetState> targets;
  // Most blocks have a single holder, which is stored inline.
  absl::flat_hash_map<Hint, absl::InlinedVector<Holder, 1>> holders;
  std::vector<std::uint32_t> depths;
  std::vector<TargetNumber> matched;
  std::vector<Hint> hints;
};

} // namespace damasklink
