#include "damasklink/coordination/StoreContentTracker.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace damasklink {
namespace {

StoredPartEvent
Part(std::uint64_t aNumber, bool aAdded = true)
{
  StoredPartEvent part;
  part.name = PartName{ "m/" + std::to_string(aNumber) + "/", "p" };
  part.tokens = TokenCount(100);
  part.added = aAdded;
  return part;
}

PartKey
Key(std::uint64_t aNumber)
{
  return MakePartKey(Part(aNumber).name.scope, "p");
}

std::vector<SizedPart>
Sized(std::uint64_t aNumber)
{
  return { SizedPart{ Key(aNumber), TokenCount(100) } };
}

class StoreContentTrackerTest : public ::testing::Test
{
protected:
  void List(std::uint64_t aEpoch, std::uint64_t aNext, std::vector<StoredPartEvent> aParts)
  {
    this->tracker.ApplyList(
      StoreList{ StoreEpoch(aEpoch), Sequence(aNext), std::move(aParts), 0, {} },
      this->clock.MonotonicNow());
  }

  void Events(std::uint64_t aEpoch, std::uint64_t aNext, std::vector<StoredPartEvent> aEvents)
  {
    this->tracker.ApplyEvents(
      StoreEvents{ StoreEpoch(aEpoch), Sequence(aNext), false, std::move(aEvents) });
  }

  ManualClock clock;
  StoreContentTracker tracker{ Endpoint{ "172.20.0.2", 8006 } };
};

TEST_F(StoreContentTrackerTest, ReportsListOnceAsSnapshot)
{
  EXPECT_TRUE(this->tracker.NeedsList());
  this->List(1, 5, { Part(1) });
  const auto changes = this->tracker.TakeChanges();
  ASSERT_TRUE(changes);
  EXPECT_TRUE(changes->live);
  EXPECT_TRUE(changes->whole);
  EXPECT_EQ(changes->added, Sized(1));
  EXPECT_FALSE(this->tracker.TakeChanges());
  this->List(1, 5, { Part(1) });
  EXPECT_FALSE(this->tracker.TakeChanges());
}

TEST_F(StoreContentTrackerTest, ReportsEventsAsChanges)
{
  this->List(1, 5, { Part(1) });
  this->tracker.TakeChanges();
  this->Events(1, 7, { Part(2), Part(1, false) });
  const auto changes = this->tracker.TakeChanges();
  ASSERT_TRUE(changes);
  EXPECT_FALSE(changes->whole);
  EXPECT_EQ(changes->added, Sized(2));
  EXPECT_EQ(changes->removed, std::vector<PartKey>{ Key(1) });
  EXPECT_EQ(this->tracker.Next(), Sequence(7));
}

TEST_F(StoreContentTrackerTest, RestartedStoreIsEmptyUntilListed)
{
  this->List(1, 5, { Part(1) });
  this->tracker.TakeChanges();
  this->Events(2, 1, {});
  const auto changes = this->tracker.TakeChanges();
  ASSERT_TRUE(changes);
  EXPECT_FALSE(changes->live);
  EXPECT_TRUE(this->tracker.NeedsList());
  EXPECT_TRUE(this->tracker.Snapshot().added.empty());
}

TEST_F(StoreContentTrackerTest, NeedsListAfterGapInEvents)
{
  this->List(1, 5, { Part(1) });
  this->tracker.ApplyEvents(StoreEvents{ StoreEpoch(1), Sequence(900), true, {} });
  EXPECT_TRUE(this->tracker.NeedsList());
}

TEST_F(StoreContentTrackerTest, KeepsPartRemovedAndAddedInOneBatch)
{
  this->List(1, 5, { Part(1) });
  this->tracker.TakeChanges();
  this->Events(1, 8, { Part(1, false), Part(1) });
  const auto changes = this->tracker.TakeChanges();
  ASSERT_TRUE(changes);
  EXPECT_EQ(changes->added, Sized(1));
  EXPECT_EQ(this->tracker.Snapshot().added, Sized(1));
}

TEST_F(StoreContentTrackerTest, ReturnsPartsOfOlderWeights)
{
  this->List(1, 5, { Part(1), Part(2), Part(3) });
  const auto old = this->tracker.PartsOfOlderWeights({ { ModelName("m"), 3 } }, 10);
  EXPECT_THAT(old, ::testing::UnorderedElementsAre(Part(1).name, Part(2).name));
  EXPECT_EQ(this->tracker.PartsOfOlderWeights({ { ModelName("m"), 3 } }, 1).size(), 1U);
  EXPECT_TRUE(this->tracker.PartsOfOlderWeights({ { ModelName("other"), 3 } }, 10).empty());
}

TEST_F(StoreContentTrackerTest, ReportsUnreachableStoreOnce)
{
  this->List(1, 5, { Part(1) });
  this->tracker.TakeChanges();
  this->tracker.MarkUnreachable();
  ASSERT_TRUE(this->tracker.TakeChanges());
  this->tracker.MarkUnreachable();
  EXPECT_FALSE(this->tracker.TakeChanges());
}

// An engine that crashes while saving leaves a part that is never completed and occupies its space.
TEST_F(StoreContentTrackerTest, ReturnsAbandonedPartsAndCountsTheirSpace)
{
  StoreList list{ StoreEpoch(1), Sequence(1), {}, 0, {} };
  list.unfinished = { UnfinishedPart{ Part(1).name, TokenCount(40), TokenCount(30'000) },
                      UnfinishedPart{ Part(2).name, TokenCount(10), TokenCount(500) } };
  this->tracker.ApplyList(list, this->clock.MonotonicNow());
  EXPECT_EQ(this->tracker.TakeChanges()->reserved, TokenCount(30'500));
  this->clock.Advance(StoreContentTracker::kAbandonedAfter);
  // The other part is still being written.
  list.unfinished.back().written = TokenCount(20);
  this->tracker.ApplyList(list, this->clock.MonotonicNow());
  const std::vector<PartName> abandoned =
    this->tracker.AbandonedParts(this->clock.MonotonicNow(), 9);
  EXPECT_EQ(abandoned, std::vector<PartName>{ Part(1).name });
}

TEST_F(StoreContentTrackerTest, CompletedPartIsNotAbandoned)
{
  StoreList list{ StoreEpoch(1), Sequence(1), {}, 0, {} };
  list.unfinished = { UnfinishedPart{ Part(1).name, TokenCount(40), TokenCount(100) } };
  this->tracker.ApplyList(list, this->clock.MonotonicNow());
  this->Events(1, 2, { Part(1) });
  this->clock.Advance(StoreContentTracker::kAbandonedAfter);
  EXPECT_TRUE(this->tracker.AbandonedParts(this->clock.MonotonicNow(), 9).empty());
  EXPECT_EQ(this->tracker.Snapshot().reserved, TokenCount());
}

TEST_F(StoreContentTrackerTest, RestartResetsAgeOfUnfinishedParts)
{
  StoreList list{ StoreEpoch(1), Sequence(1), {}, 0, {} };
  list.unfinished = { UnfinishedPart{ Part(1).name, TokenCount(40), TokenCount(100) } };
  this->tracker.ApplyList(list, this->clock.MonotonicNow());
  this->clock.Advance(StoreContentTracker::kAbandonedAfter);
  list.epoch = StoreEpoch(2);
  this->tracker.ApplyList(list, this->clock.MonotonicNow());
  EXPECT_TRUE(this->tracker.AbandonedParts(this->clock.MonotonicNow(), 9).empty());
}

TEST_F(StoreContentTrackerTest, MergesChangesOfSeveralEventBatches)
{
  this->List(1, 5, { Part(1) });
  this->tracker.TakeChanges();
  this->Events(1, 7, { Part(2), Part(1, false) });
  this->Events(1, 9, { Part(2, false), Part(1) });
  this->Events(1, 10, { Part(3) });
  const auto changes = this->tracker.TakeChanges();
  ASSERT_TRUE(changes);
  // A receiver that applies removals before additions has parts 1 and 3.
  EXPECT_EQ(changes->removed, (std::vector<PartKey>{ Key(1), Key(2) }));
  EXPECT_EQ(changes->added, (std::vector<SizedPart>{ Sized(1).front(), Sized(3).front() }));
}

} // namespace
} // namespace damasklink
