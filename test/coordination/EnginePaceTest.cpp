#include "damasklink/coordination/EnginePace.h"

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

TEST(EnginePaceTest, DeclaredFiguresCountBeforeEnoughWasObserved)
{
  EnginePace pace;
  for (std::size_t seen = 1; seen < RecentMedian::kLeastObservations; ++seen) {
    pace.NoteReading(TokenCount(10'000), Milliseconds(400));
  }
  EXPECT_EQ(pace.PerToken(), EnginePace::kPriorPerToken);
  pace.NoteReading(TokenCount(10'000), Milliseconds(400));
  EXPECT_NE(pace.PerToken(), EnginePace::kPriorPerToken);
}

TEST(EnginePaceTest, EnginesThatWereReplacedByFasterOnesAreFollowed)
{
  EnginePace pace;
  for (int seen = 0; seen < 100; ++seen) {
    pace.NoteReading(TokenCount(10'000), Milliseconds(460));
  }
  for (std::size_t seen = 0; seen < RecentMedian::kObservations; ++seen) {
    pace.NoteReading(TokenCount(10'000), Milliseconds(160));
  }
  EXPECT_NEAR(pace.PerToken(), 0.01, 0.001);
}

TEST(EnginePaceTest, NothingThatIsObservedLeadsOutOfBounds)
{
  EnginePace pace;
  for (int seen = 0; seen < 50; ++seen) {
    pace.NoteReading(TokenCount(), Milliseconds(5));
    pace.NoteReading(TokenCount(1), std::chrono::hours(1));
    pace.NoteShort(-std::chrono::hours(1));
  }
  EXPECT_LE(pace.PerToken(), EnginePace::kMostPerToken);
  EXPECT_GE(pace.FirstStep(), 0);
}

// From 20 to 200 tokens a millisecond, with a fifth of the prompts found kept and a tenth held up
// by what nobody told.
RC_GTEST_PROP(EnginePaceProperty, FindsTheRateOfAnyEngine, ())
{
  const double rate = *rc::gen::inRange(20, 201);
  std::mt19937 random(*rc::gen::inRange(1U, 1'000'000U));
  std::uniform_real_distribution<double> chance(0, 1);
  EnginePace pace;
  for (int seen = 0; seen < 200; ++seen) {
    const double tokens = 2000 + 20'000 * chance(random);
    const double kind = chance(random);
    const double heldUp = kind > 0.9 ? 1000 : 0;
    const double reading = kind < 0.2 ? 0 : tokens / rate;
    pace.NoteShort(Milliseconds(30 + 10 * chance(random)));
    pace.NoteReading(TokenCount(static_cast<std::uint64_t>(tokens)),
                     Milliseconds(35 + reading + heldUp));
  }
  RC_ASSERT(std::abs(pace.PerToken() * rate - 1) < 0.25);
}

} // namespace
} // namespace damasklink
