#include "damasklink/state/RecentQuantiles.h"

#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace damasklink {
namespace {

TEST(RecentQuantilesTest, FewValuesAreExact)
{
  const ManualClock clock;
  RecentQuantiles quantiles(clock.MonotonicNow());
  for (int value = 20; value >= 1; --value) {
    quantiles.Observe(value, clock.MonotonicNow());
  }
  const auto values = quantiles.Estimate(clock.MonotonicNow());
  EXPECT_EQ(values.p50, 10);
  EXPECT_EQ(values.p95, 19);
  EXPECT_EQ(values.p99, 20);
}

TEST(RecentQuantilesTest, ManyValuesAreCloseToTheirQuantiles)
{
  constexpr int kValues = 20'000;
  constexpr int kStride = 7919; // Coprime to kValues, so each value comes once.
  const ManualClock clock;
  RecentQuantiles quantiles(clock.MonotonicNow());
  for (int index = 0; index < kValues; ++index) {
    quantiles.Observe((index * kStride) % kValues, clock.MonotonicNow());
  }
  const auto values = quantiles.Estimate(clock.MonotonicNow());
  EXPECT_NEAR(values.p50, 0.50 * kValues, 0.02 * kValues);
  EXPECT_NEAR(values.p95, 0.95 * kValues, 0.02 * kValues);
  EXPECT_NEAR(values.p99, 0.99 * kValues, 0.02 * kValues);
}

TEST(RecentQuantilesTest, ForgetsWhatIsTwoHalfWindowsOld)
{
  ManualClock clock;
  RecentQuantiles quantiles(clock.MonotonicNow());
  quantiles.Observe(100, clock.MonotonicNow());
  clock.Advance(RecentQuantiles::kHalfWindow);
  quantiles.Observe(1, clock.MonotonicNow());
  EXPECT_EQ(quantiles.Estimate(clock.MonotonicNow()).p99, 100);
  clock.Advance(RecentQuantiles::kHalfWindow);
  EXPECT_EQ(quantiles.Estimate(clock.MonotonicNow()).p99, 1);
  clock.Advance(2 * RecentQuantiles::kHalfWindow);
  EXPECT_EQ(quantiles.Estimate(clock.MonotonicNow()).p99, 0);
}

TEST(RecentQuantilesTest, ForgetsAtOnceAfterALongSilence)
{
  ManualClock clock;
  RecentQuantiles quantiles(clock.MonotonicNow());
  quantiles.Observe(100, clock.MonotonicNow());
  clock.Advance(2 * RecentQuantiles::kHalfWindow);
  EXPECT_EQ(quantiles.Estimate(clock.MonotonicNow()).p99, 0);
}

RC_GTEST_PROP(RecentQuantilesTest, EstimatesStayWithinWhatWasObserved, ())
{
  const auto observed = *rc::gen::nonEmpty<std::vector<std::uint16_t>>();
  const ManualClock clock;
  RecentQuantiles quantiles(clock.MonotonicNow());
  for (const std::uint16_t value : observed) {
    quantiles.Observe(value, clock.MonotonicNow());
  }
  const auto values = quantiles.Estimate(clock.MonotonicNow());
  const auto [least, most] = std::minmax_element(observed.begin(), observed.end());
  RC_ASSERT(values.p50 >= *least);
  RC_ASSERT(values.p50 <= values.p95);
  RC_ASSERT(values.p95 <= values.p99);
  RC_ASSERT(values.p99 <= *most);
}

} // namespace
} // namespace damasklink
