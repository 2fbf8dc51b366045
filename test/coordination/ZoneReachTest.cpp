#include "damasklink/coordination/ZoneReach.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

class ZoneReachTest : public testing::Test
{
protected:
  // Lets so many targets of the zone be found gone.
  void LoseTargets(std::size_t aCount)
  {
    for (std::size_t index = 0; index < aCount; ++index) {
      this->reach.OnEnd(this->zone, TargetId(std::to_string(index)), HealthSignal::NotReached);
    }
  }

  bool IsOut() const { return this->reach.IsOut(this->zone); }

  ManualClock clock;
  ZoneId zone{ "far" };
  ZoneReach reach{ this->clock, 1 };
};

TEST_F(ZoneReachTest, ZoneIsOutWhenSeveralOfItsTargetsAreGoneAtOnce)
{
  this->LoseTargets(ZoneReach::kTargetsGone - 1);
  EXPECT_FALSE(this->IsOut());
  this->LoseTargets(ZoneReach::kTargetsGone);
  EXPECT_TRUE(this->IsOut());
  EXPECT_FALSE(this->reach.IsOut(ZoneId("near")));
}

TEST_F(ZoneReachTest, OneTargetThatIsGoneAgainAndAgainIsNotTheZone)
{
  for (int time = 0; time < 10; ++time) {
    this->LoseTargets(1);
  }
  EXPECT_FALSE(this->IsOut());
}

TEST_F(ZoneReachTest, AnswerInBetweenSpeaksForTheZone)
{
  this->LoseTargets(ZoneReach::kTargetsGone - 1);
  this->reach.OnEnd(this->zone, TargetId("good"), HealthSignal::Good);
  this->LoseTargets(ZoneReach::kTargetsGone - 1);
  EXPECT_FALSE(this->IsOut());
}

TEST_F(ZoneReachTest, BytesFromAnyTargetSpeakForTheZone)
{
  this->LoseTargets(ZoneReach::kTargetsGone - 1);
  this->reach.OnBytes(this->zone);
  this->LoseTargets(ZoneReach::kTargetsGone - 1);
  EXPECT_FALSE(this->IsOut());
  this->LoseTargets(ZoneReach::kTargetsGone);
  EXPECT_TRUE(this->IsOut());
  this->reach.OnBytes(this->zone);
  EXPECT_FALSE(this->IsOut());
}

TEST_F(ZoneReachTest, FindingsThatAreFarApartDoNotAddUp)
{
  this->LoseTargets(ZoneReach::kTargetsGone - 1);
  this->clock.Advance(ZoneReach::kGoneWithin * 2);
  this->reach.OnEnd(this->zone, TargetId("another"), HealthSignal::NotReached);
  EXPECT_FALSE(this->IsOut());
}

TEST_F(ZoneReachTest, LaterOneCallAtATimeTriesTheZone)
{
  this->LoseTargets(ZoneReach::kTargetsGone);
  this->clock.Advance(ZoneReach::kOutFor * 2);
  EXPECT_FALSE(this->IsOut());
  this->reach.OnStart(this->zone);
  EXPECT_TRUE(this->IsOut());
  this->reach.OnEnd(this->zone, TargetId("0"), HealthSignal::NotReached);
  EXPECT_TRUE(this->IsOut());
  this->clock.Advance(ZoneReach::kOutFor * 2);
  this->reach.OnStart(this->zone);
  this->reach.OnEnd(this->zone, TargetId("0"), HealthSignal::Good);
  EXPECT_FALSE(this->IsOut());
}

TEST_F(ZoneReachTest, TryThatSaysNothingLeavesTheZoneToTheNextOne)
{
  this->LoseTargets(ZoneReach::kTargetsGone);
  this->clock.Advance(ZoneReach::kOutFor * 2);
  this->reach.OnStart(this->zone);
  this->reach.OnEnd(this->zone, TargetId("0"), HealthSignal::None);
  EXPECT_FALSE(this->IsOut());
}

} // namespace
} // namespace damasklink
