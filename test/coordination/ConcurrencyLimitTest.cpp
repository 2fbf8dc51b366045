#include "damasklink/coordination/ConcurrencyLimit.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

constexpr Duration kFast = std::chrono::milliseconds(100);

// Runs rounds that use the whole limit and in which every request ends with the same signal.
void
RunRounds(ConcurrencyLimit& aLimit, int aRounds, LoadSignal aLoad, Duration aFirstToken)
{
  for (int round = 0; round < aRounds; ++round) {
    while (aLimit.Free() > 0) {
      aLimit.OnStart();
    }
    while (aLimit.Running() > 0) {
      aLimit.OnEnd(aLoad, aFirstToken);
    }
  }
}

TEST(ConcurrencyLimitTest, GrowsWhileTheTargetKeepsUp)
{
  ConcurrencyLimit limit;
  const std::size_t before = limit.Limit();
  RunRounds(limit, 50, LoadSignal::Served, kFast);
  EXPECT_GT(limit.Limit(), before);
}

TEST(ConcurrencyLimitTest, StartsAtTheDeclaredSlots)
{
  ConcurrencyLimit limit;
  limit.SetSlots(800);
  EXPECT_EQ(limit.Limit(), 800U);
  RunRounds(limit, 1, LoadSignal::Overloaded, kFast);
  const std::size_t reduced = limit.Limit();
  EXPECT_LT(reduced, 800U);
  limit.SetSlots(800);
  EXPECT_EQ(limit.Limit(), reduced) << "a repeated declaration must not reset the limit";
}

TEST(ConcurrencyLimitTest, ShrinksWhenTheTargetRefuses)
{
  ConcurrencyLimit limit;
  RunRounds(limit, 20, LoadSignal::Overloaded, kFast);
  EXPECT_LE(limit.Limit(), 2U);
  EXPECT_GE(limit.Limit(), 1U);
}

TEST(ConcurrencyLimitTest, ShrinksWhenFirstTokensAreFarSlowerThanUsual)
{
  ConcurrencyLimit limit;
  RunRounds(limit, 20, LoadSignal::Served, kFast);
  const std::size_t before = limit.Limit();
  RunRounds(limit, 5, LoadSignal::Served, 10 * kFast);
  EXPECT_LT(limit.Limit(), before);
}

// Longer prompts make every answer slower, which a lower limit cannot change.
TEST(ConcurrencyLimitTest, AdaptsToASlowerBaseline)
{
  ConcurrencyLimit limit;
  RunRounds(limit, 20, LoadSignal::Served, kFast);
  const std::size_t before = limit.Limit();
  RunRounds(limit, 200, LoadSignal::Served, 10 * kFast);
  EXPECT_GT(limit.Limit(), before / 2);
}

TEST(ConcurrencyLimitTest, DoesNotGrowWhileHardlyUsed)
{
  ConcurrencyLimit limit;
  const std::size_t before = limit.Limit();
  for (int index = 0; index < 1000; ++index) {
    limit.OnStart();
    limit.OnEnd(LoadSignal::Served, kFast);
  }
  EXPECT_EQ(limit.Limit(), before);
}

} // namespace
} // namespace damasklink
