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
  void Ask(Duration aRest) { this->rests.OnAsked(kTarget, Incarnation(1), aRest); }
  Duration Remaining() const { return this->rests.Remaining(kTarget, Incarnation(1)); }
  bool IsResting() const { return this->rests.IsResting(kTarget, Incarnation(1)); }

  ManualClock clock;
  TargetRestPeriods rests{ this->clock };
};

TEST_F(TargetRestPeriodsTest, TargetRestsUntilTheEndOfTheTimeItAskedFor)
{
  EXPECT_FALSE(this->IsResting());
  this->Ask(seconds(3));
  EXPECT_EQ(this->Remaining(), seconds(3));
  EXPECT_FALSE(this->rests.IsResting(TargetId("other"), Incarnation()));
  this->clock.Advance(milliseconds(2999));
  EXPECT_TRUE(this->IsResting());
  this->clock.Advance(milliseconds(1));
  EXPECT_FALSE(this->IsResting());
}

// Guards against a shorter rest, or an answer without one, that ends a longer one.
TEST_F(TargetRestPeriodsTest, LatestEndCounts)
{
  this->Ask(seconds(3));
  this->clock.Advance(seconds(1));
  this->Ask(seconds(1));
  this->Ask(Duration::zero());
  EXPECT_EQ(this->Remaining(), seconds(2));
  this->Ask(seconds(4));
  EXPECT_EQ(this->Remaining(), seconds(4));
}

TEST_F(TargetRestPeriodsTest, RestOfAnEarlierIncarnationDoesNotCount)
{
  this->Ask(seconds(3));
  EXPECT_FALSE(this->rests.IsResting(kTarget, Incarnation(2)));
  this->rests.OnAsked(kTarget, Incarnation(2), seconds(1));
  this->Ask(seconds(5));
  EXPECT_EQ(this->rests.Remaining(kTarget, Incarnation(2)), seconds(1));
}

TEST_F(TargetRestPeriodsTest, KeepsNothingOfTargetsThatHaveRested)
{
  this->Ask(Duration::zero());
  EXPECT_TRUE(this->rests.IsEmpty());
  this->Ask(seconds(1));
  this->rests.OnAsked(TargetId("u"), Incarnation(), seconds(3));
  this->clock.Advance(seconds(1));
  this->rests.RemoveExpired();
  EXPECT_FALSE(this->rests.IsEmpty());
  this->clock.Advance(seconds(2));
  this->rests.RemoveExpired();
  EXPECT_TRUE(this->rests.IsEmpty());
}

RC_GTEST_PROP(TargetRestPeriodsProperties, TargetRestsWhileAnyOfItsAnswersAsksForIt, ())
{
  ManualClock clock;
  TargetRestPeriods rests(clock);
  // The end of the rest by target and incarnation.
  std::map<TargetId, std::map<Incarnation, MonotonicTime>> ends;
  const int steps = *rc::gen::inRange(1, 60);
  for (int step = 0; step < steps; ++step) {
    const TargetId target(std::to_string(*rc::gen::inRange(0, 4)));
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
        rests.RemoveExpired();
        break;
      case 1:
        clock.Advance(milliseconds(*rc::gen::inRange(0, 2000)));
        break;
      default: {
        const Incarnation incarnation(*rc::gen::inRange(1, 3));
        const Duration rest = milliseconds(*rc::gen::inRange(0, 5000));
        rests.OnAsked(target, incarnation, rest);
        MonotonicTime& end = ends[target][incarnation];
        end = std::max(end, clock.MonotonicNow() + rest);
      }
    }
    for (const auto& [id, byIncarnation] : ends) {
      const auto& [newest, end] = *byIncarnation.rbegin();
      RC_ASSERT(rests.IsResting(id, newest) == (clock.MonotonicNow() < end));
    }
  }
}

} // namespace
} // namespace damasklink
