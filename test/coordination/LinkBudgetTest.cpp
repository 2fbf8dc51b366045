#include "damasklink/coordination/LinkBudget.h"

#include <deque>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace damasklink {
namespace {

using std::chrono::milliseconds;

constexpr ByteCount kBudget(1000);

TEST(LinkBudgetTest, RefusesMoreThanOneSecondOfBudget)
{
  ManualClock clock;
  LinkBudget link(clock, kBudget);
  EXPECT_FALSE(link.TryAcquire(Transfer::Import, ByteCount(1001)));
  EXPECT_TRUE(link.TryAcquire(Transfer::Import, kBudget));
  clock.Advance(milliseconds(999));
  EXPECT_FALSE(link.TryAcquire(Transfer::Import, ByteCount(1)));
  clock.Advance(milliseconds(1));
  EXPECT_TRUE(link.TryAcquire(Transfer::Import, kBudget));
}

TEST(LinkBudgetTest, ExportsYieldToWaitingImport)
{
  ManualClock clock;
  LinkBudget link(clock, kBudget);
  EXPECT_TRUE(link.TryAcquire(Transfer::Export, ByteCount(900)));
  EXPECT_FALSE(link.TryAcquire(Transfer::Import, ByteCount(500)));
  EXPECT_FALSE(link.TryAcquire(Transfer::Export, ByteCount(50)));
  clock.Advance(std::chrono::seconds(1));
  EXPECT_TRUE(link.TryAcquire(Transfer::Import, ByteCount(500)));
}

TEST(LinkBudgetTest, LowersRateWhenLinkSlowsDown)
{
  ManualClock clock;
  LinkBudget link(clock, kBudget);
  for (int number = 0; number < 20; ++number) {
    ASSERT_TRUE(link.TryAcquire(Transfer::Import, ByteCount(100)));
    clock.Advance(std::chrono::seconds(10));
    link.OnMoved(ByteCount(100), std::chrono::seconds(10));
  }
  EXPECT_NEAR(link.RateFor(ByteCount(100)), 10, 2);
}

TEST(LinkBudgetTest, SharesRateWithTransfersInFlight)
{
  ManualClock clock;
  LinkBudget link(clock, kBudget);
  EXPECT_EQ(link.RateFor(ByteCount(100)), 1000);
  ASSERT_TRUE(link.TryAcquire(Transfer::Import, ByteCount(300)));
  EXPECT_EQ(link.RateFor(ByteCount(100)), 250);
  link.OnMoved(ByteCount(300), milliseconds(300));
  EXPECT_EQ(link.RateFor(ByteCount(100)), 1000);
}

RC_GTEST_PROP(LinkBudgetTest, GrantsStayWithinBudgetInAnySecond, ())
{
  ManualClock clock;
  LinkBudget link(clock, kBudget);
  std::deque<std::pair<MonotonicTime, std::uint64_t>> granted;
  const auto steps = *rc::gen::container<std::vector<std::tuple<bool, int, int>>>(
    rc::gen::tuple(rc::gen::arbitrary<bool>(), rc::gen::inRange(0, 700), rc::gen::inRange(0, 400)));
  for (const auto& [isImport, bytes, wait] : steps) {
    clock.Advance(milliseconds(wait));
    const ByteCount wanted(static_cast<std::uint64_t>(bytes));
    if (link.TryAcquire(isImport ? Transfer::Import : Transfer::Export, wanted)) {
      granted.emplace_back(clock.MonotonicNow(), wanted.Value());
    }
    std::uint64_t lastSecond = 0;
    for (const auto& [at, amount] : granted) {
      lastSecond += clock.MonotonicNow() - at < std::chrono::seconds(1) ? amount : 0;
    }
    RC_ASSERT(lastSecond <= kBudget.Value());
  }
}

TEST(ImportTimeLimitTest, AbandonsImportSlowerThanRecomputing)
{
  // Computing takes one second, and only time has a weight.
  const RemainingImport remaining{ ByteCount(1000), TokenCount(1000), 999, 1000 };
  const ObjectiveWeights time{ 1.0, 0.0, 0.0 };
  EXPECT_EQ(ImportTimeLimit(remaining, time), std::chrono::seconds(1));
  EXPECT_TRUE(ShouldAbandonImport(remaining, time));
  RemainingImport faster = remaining;
  faster.bytesPerSecond = 1001;
  EXPECT_FALSE(ShouldAbandonImport(faster, time));
}

TEST(ImportTimeLimitTest, GrowsWithRecomputeWeight)
{
  const RemainingImport remaining{ ByteCount(1000), TokenCount(1000), 500, 1000 };
  EXPECT_FALSE(ShouldAbandonImport(remaining, { 1.0, 2.0, 0.0 }));
  RemainingImport stuck = remaining;
  stuck.bytesPerSecond = 0;
  EXPECT_TRUE(ShouldAbandonImport(stuck, { 1.0, 2.0, 0.0 }));
}

} // namespace
} // namespace damasklink
