#include "damasklink/coordination/TargetRestPeriods.h"

#include <algorithm>
#include <map>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace damasklink {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TargetId kTarget("t");

class TargetRestPeriodsTest : public ::testing::Test
{
protected:
  ManualClock clock;
  TargetRestPeriods rests{ this->clock };
};

TEST_F(TargetRestPeriodsTest, TargetRestsUntilTheEndOfTheTimeItAskedFor)
{
  EXPECT_FALSE(this->rests.IsResting(kTarget));
  this->rests.OnAsked(kTarget, seconds(3));
  EXPECT_EQ(this->rests.Remaining(kTarget), seconds(3));
  EXPECT_FALSE(this->rests.IsResting(TargetId("other")));
  this->clock.Advance(milliseconds(2999));
  EXPECT_TRUE(this->rests.IsResting(kTarget));
  this->clock.Advance(milliseconds(1));
  EXPECT_FALSE(this->rests.IsResting(kTarget));
}

// Guards against a shorter rest, or an answer without one, that ends a longer one.
TEST_F(TargetRestPeriodsTest, LatestEndCounts)
{
  this->rests.OnAsked(kTarget, seconds(3));
  this->clock.Advance(seconds(1));
  this->rests.OnAsked(kTarget, seconds(1));
  this->rests.OnAsked(kTarget, Duration::zero());
  EXPECT_EQ(this->rests.Remaining(kTarget), seconds(2));
  this->rests.OnAsked(kTarget, seconds(4));
  EXPECT_EQ(this->rests.Remaining(kTarget), seconds(4));
}

TEST_F(TargetRestPeriodsTest, RestartedTargetTakesRequests)
{
  this->rests.OnAsked(kTarget, seconds(3));
  this->rests.OnRestart(kTarget);
  EXPECT_FALSE(this->rests.IsResting(kTarget));
}

TEST_F(TargetRestPeriodsTest, KeepsNothingOfTargetsThatHaveRested)
{
  this->rests.OnAsked(kTarget, Duration::zero());
  EXPECT_TRUE(this->rests.IsEmpty());
  this->rests.OnAsked(kTarget, seconds(1));
  this->rests.OnAsked(TargetId("u"), seconds(3));
  this->clock.Advance(seconds(1));
  this->rests.RemoveExpired();
  EXPECT_FALSE(this->rests.IsEmpty());
  this->clock.Advance(seconds(2));
  this->rests.RemoveExpired();
  EXPECT_TRUE(this->rests.IsEmpty());
}

RC_GTEST_PROP(TargetRestPeriodsProperties, TargetRestsWhileAnyAnswerAsksForIt, ())
{
  ManualClock clock;
  TargetRestPeriods rests(clock);
  std::map<TargetId, MonotonicTime> ends;
  const int steps = *rc::gen::inRange(1, 60);
  for (int step = 0; step < steps; ++step) {
    const TargetId target(std::to_string(*rc::gen::inRange(0, 4)));
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
        rests.OnRestart(target);
        ends.erase(target);
        break;
      case 1:
        rests.RemoveExpired();
        break;
      case 2:
        clock.Advance(milliseconds(*rc::gen::inRange(0, 2000)));
        break;
      default: {
        const Duration rest = milliseconds(*rc::gen::inRange(0, 5000));
        rests.OnAsked(target, rest);
        ends[target] = std::max(ends[target], clock.MonotonicNow() + rest);
      }
    }
    for (const auto& [id, end] : ends) {
      RC_ASSERT(rests.IsResting(id) == (clock.MonotonicNow() < end));
    }
  }
}

} // namespace
} // namespace damasklink
