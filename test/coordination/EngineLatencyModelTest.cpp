#include "damasklink/coordination/EngineLatencyModel.h"

#include <random>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace damasklink {
namespace {

Duration
Milliseconds(double aCount)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(aCount));
}

TEST(EngineLatencyModelTest, DefaultsApplyBeforeEnoughObservations)
{
  EngineLatencyModel pace;
  for (std::size_t seen = 1; seen < MovingMedian::kMinObservations; ++seen) {
    pace.RecordPrefill(TokenCount(10'000), Milliseconds(400));
  }
  EXPECT_EQ(pace.MillisecondsPerToken(), EngineLatencyModel::kDefaultPerToken);
  pace.RecordPrefill(TokenCount(10'000), Milliseconds(400));
  EXPECT_NE(pace.MillisecondsPerToken(), EngineLatencyModel::kDefaultPerToken);
}

TEST(EngineLatencyModelTest, EstimateFollowsFasterEngines)
{
  EngineLatencyModel pace;
  for (int seen = 0; seen < 100; ++seen) {
    pace.RecordPrefill(TokenCount(10'000), Milliseconds(460));
  }
  for (std::size_t seen = 0; seen < MovingMedian::kWindowSize; ++seen) {
    pace.RecordPrefill(TokenCount(10'000), Milliseconds(160));
  }
  EXPECT_NEAR(pace.MillisecondsPerToken(), 0.01, 0.001);
}

TEST(EngineLatencyModelTest, EstimatesStayWithinBounds)
{
  EngineLatencyModel pace;
  for (int seen = 0; seen < 50; ++seen) {
    pace.RecordPrefill(TokenCount(), Milliseconds(5));
    pace.RecordPrefill(TokenCount(1), std::chrono::hours(1));
    pace.RecordShortPrompt(-std::chrono::hours(1));
  }
  EXPECT_LE(pace.MillisecondsPerToken(), EngineLatencyModel::kMaxPerToken);
  EXPECT_GE(pace.BaseLatency(), 0);
}

// Engines of 20 to 200 tokens a millisecond, with a fifth of the prompts found cached and a tenth
// delayed for a reason that this host does not know.
RC_GTEST_PROP(EngineLatencyModelProperty, EstimateFindsTheRateDespiteOutliers, ())
{
  const double rate = *rc::gen::inRange(20, 201);
  std::mt19937 random(*rc::gen::inRange(1U, 1'000'000U));
  std::uniform_real_distribution<double> chance(0, 1);
  EngineLatencyModel pace;
  for (int seen = 0; seen < 200; ++seen) {
    const double tokens = 2000 + 20'000 * chance(random);
    const double kind = chance(random);
    const double delay = kind > 0.9 ? 1000 : 0;
    const double prefill = kind < 0.2 ? 0 : tokens / rate;
    pace.RecordShortPrompt(Milliseconds(30 + 10 * chance(random)));
    pace.RecordPrefill(TokenCount(static_cast<std::uint64_t>(tokens)),
                       Milliseconds(35 + prefill + delay));
  }
  RC_ASSERT(std::abs(pace.MillisecondsPerToken() * rate - 1) < 0.25);
}

} // namespace
} // namespace damasklink
