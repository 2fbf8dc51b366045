#include "damasklink/coordination/PrefixCacheIndex.h"

#include <algorithm>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "damasklink/state/Digests.h"
#include "damasklink/state/Text.h"

namespace damasklink {
namespace {

const TargetId kTarget("engine-1");
const TargetId kOther("engine-2");

std::vector<Digest>
Blocks(int aFrom, int aTo)
{
  std::vector<Digest> blocks;
  for (int number = aFrom; number < aTo; ++number) {
    blocks.push_back(DigestOf(Concat("block ", number)));
  }
  return blocks;
}

CacheEvent
Event(std::uint64_t aSequence, std::vector<Digest> aAdded, std::vector<Digest> aRemoved = {})
{
  return { kTarget, Incarnation(1), Sequence(aSequence), std::move(aAdded), std::move(aRemoved) };
}

std::uint64_t
DepthAt(PrefixCacheIndex& aCaches, const TargetId& aTarget, const std::vector<Digest>& aPrompt)
{
  aCaches.Match(aPrompt);
  return aCaches.Depth(aCaches.NumberOf(aTarget));
}

TEST(PrefixCacheIndexTest, MatchesBlocksThatWereSent)
{
  PrefixCacheIndex caches(100);
  caches.OnSent(kTarget, Blocks(0, 4));
  EXPECT_EQ(DepthAt(caches, kTarget, Blocks(0, 6)), 4U);
  EXPECT_EQ(DepthAt(caches, kOther, Blocks(0, 6)), 0U);
}

TEST(PrefixCacheIndexTest, CountsLeadingBlocksOnly)
{
  PrefixCacheIndex caches(100);
  caches.OnSent(kTarget, Blocks(0, 4));
  caches.OnEvent(Event(1, {}, Blocks(1, 2)));
  EXPECT_EQ(DepthAt(caches, kTarget, Blocks(0, 4)), 1U);
}

TEST(PrefixCacheIndexTest, IgnoresDuplicateEvents)
{
  PrefixCacheIndex caches(100);
  caches.OnEvent(Event(1, Blocks(0, 2)));
  caches.OnEvent(Event(2, {}, Blocks(0, 2)));
  caches.OnEvent(Event(1, Blocks(0, 2)));
  EXPECT_EQ(DepthAt(caches, kTarget, Blocks(0, 2)), 0U);
}

TEST(PrefixCacheIndexTest, GapMarksStaleUntilSnapshot)
{
  PrefixCacheIndex caches(100);
  caches.OnEvent(Event(1, Blocks(0, 2)));
  caches.OnEvent(Event(3, Blocks(2, 3)));
  EXPECT_EQ(caches.StaleTargets(), std::vector<TargetId>{ kTarget });
  caches.OnSnapshot({ kTarget, Incarnation(1), Sequence(3), Blocks(5, 6) });
  EXPECT_TRUE(caches.StaleTargets().empty());
  EXPECT_EQ(DepthAt(caches, kTarget, Blocks(0, 3)), 0U);
  EXPECT_EQ(DepthAt(caches, kTarget, Blocks(5, 6)), 1U);
}

TEST(PrefixCacheIndexTest, IgnoresSnapshotOlderThanEvents)
{
  PrefixCacheIndex caches(100);
  caches.OnEvent(Event(1, Blocks(0, 1)));
  caches.OnEvent(Event(2, Blocks(1, 2)));
  caches.OnSnapshot({ kTarget, Incarnation(1), Sequence(1), Blocks(0, 1) });
  EXPECT_EQ(DepthAt(caches, kTarget, Blocks(0, 2)), 2U);
}

TEST(PrefixCacheIndexTest, ClearsBlocksOfRestartedTarget)
{
  PrefixCacheIndex caches(100);
  caches.OnEvent(Event(1, Blocks(0, 2)));
  CacheEvent restarted = Event(1, {});
  restarted.incarnation = Incarnation(2);
  caches.OnEvent(restarted);
  EXPECT_EQ(DepthAt(caches, kTarget, Blocks(0, 2)), 0U);
}

TEST(PrefixCacheIndexTest, ReusedTargetNumberStartsEmpty)
{
  PrefixCacheIndex caches(100);
  caches.OnSent(kTarget, Blocks(0, 2));
  caches.Forget(kTarget);
  EXPECT_EQ(caches.Size(), 0U);
  EXPECT_EQ(DepthAt(caches, kOther, Blocks(0, 2)), 0U);
}

// Events may be lost, late, duplicated or reordered: after a snapshot the index equals the engine's
// cache.
RC_GTEST_PROP(PrefixCacheIndexTest, EqualsEngineCacheAfterSnapshot, ())
{
  constexpr int kBlocks = 8;
  PrefixCacheIndex caches(100);
  std::set<int> cached;
  std::vector<CacheEvent> sent;
  const auto changes = *rc::gen::container<std::vector<std::pair<bool, int>>>(
    rc::gen::pair(rc::gen::arbitrary<bool>(), rc::gen::inRange(0, kBlocks)));
  for (const auto& [added, block] : changes) {
    const auto one = Blocks(block, block + 1);
    if (added) {
      cached.insert(block);
    } else {
      cached.erase(block);
    }
    sent.push_back(Event(
      sent.size() + 1, added ? one : std::vector<Digest>(), added ? std::vector<Digest>() : one));
  }
  const std::size_t total = sent.size();
  const auto order = *rc::gen::container<std::vector<std::size_t>>(
    rc::gen::inRange<std::size_t>(0, std::max<std::size_t>(1, total)));
  bool complete = order.size() >= total;
  for (std::size_t at = 0; at < order.size() && total > 0; ++at) {
    complete = complete && (at >= total || order[at] == at);
    caches.OnEvent(sent[order[at]]);
  }
  if (!complete || total == 0) {
    CacheSnapshot snapshot{ kTarget, Incarnation(1), Sequence(total), {} };
    for (const int block : cached) {
      snapshot.blocks.push_back(Blocks(block, block + 1).front());
    }
    caches.OnSnapshot(snapshot);
  }
  RC_ASSERT(caches.Size() == cached.size());
  for (int block = 0; block < kBlocks; ++block) {
    const std::uint64_t depth = DepthAt(caches, kTarget, Blocks(block, block + 1));
    RC_ASSERT(depth == cached.count(block));
  }
}

RC_GTEST_PROP(PrefixCacheIndexTest, StaysWithinCapacity, ())
{
  constexpr std::uint64_t kMost = 10;
  PrefixCacheIndex caches(kMost);
  const auto starts = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 60));
  for (const int start : starts) {
    caches.OnSent(kTarget, Blocks(start, start + 4));
    RC_ASSERT(caches.Size() <= kMost);
    // The latest prompt is never evicted.
    RC_ASSERT(DepthAt(caches, kTarget, Blocks(start, start + 4)) == 4);
  }
}

} // namespace
} // namespace damasklink
