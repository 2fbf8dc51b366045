#include "damasklink/coordination/HubChoice.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

const ZoneId kOwn("z1");
const HubCandidate kNear{ HostId("near"), kOwn, true };
const HubCandidate kFar{ HostId("far"), ZoneId("z2"), true };

class HubChoiceTest : public ::testing::Test
{
protected:
  ManualClock clock;
  HubChoice choice{ this->clock, kOwn };
};

TEST_F(HubChoiceTest, ControlHostOfTheOwnZoneIsChosen)
{
  EXPECT_EQ(this->choice.Choose({}), std::nullopt);
  EXPECT_EQ(this->choice.Choose({ kFar, kNear }), kNear.host);
}

TEST_F(HubChoiceTest, OneThatHearsALeaderGoesFirst)
{
  HubCandidate isolated = kNear;
  isolated.good = false;
  EXPECT_EQ(this->choice.Choose({ isolated, kFar }), kFar.host);
}

// The load: a control host is suspended for seven seconds. Its entry hosts must hear of each
// other's long prompts from another one after half a second, and not come back to it while it is
// silent.
TEST_F(HubChoiceTest, HubThatDoesNotAnswerIsLeftUntilItSpeaks)
{
  this->choice.Choose({ kNear, kFar });
  this->choice.OnTold();
  this->clock.Advance(HubChoice::kPatience / 2);
  this->choice.OnTold();
  EXPECT_EQ(this->choice.Choose({ kNear, kFar }), kNear.host);
  this->clock.Advance(HubChoice::kPatience / 2);
  EXPECT_EQ(this->choice.Choose({ kNear, kFar }), kFar.host);
  this->choice.OnTold();
  this->choice.OnHeard(kFar.host);
  this->clock.Advance(std::chrono::seconds(6));
  EXPECT_EQ(this->choice.Choose({ kNear, kFar }), kFar.host);
  this->choice.OnHeard(kNear.host);
  EXPECT_EQ(this->choice.Choose({ kNear, kFar }), kNear.host);
}

TEST_F(HubChoiceTest, HubThatWasToldNothingOwesNothing)
{
  this->choice.Choose({ kNear, kFar });
  this->clock.Advance(std::chrono::minutes(1));
  EXPECT_EQ(this->choice.Choose({ kNear, kFar }), kNear.host);
}

TEST_F(HubChoiceTest, QuietHubIsBetterThanNone)
{
  this->choice.Choose({ kNear });
  this->choice.OnTold();
  this->clock.Advance(HubChoice::kPatience);
  EXPECT_EQ(this->choice.Choose({ kNear }), kNear.host);
}

TEST_F(HubChoiceTest, LostHubIsChosenAnewWhenItIsBack)
{
  this->choice.Choose({ kNear });
  this->choice.OnLost(kNear.host);
  EXPECT_EQ(this->choice.Hub(), std::nullopt);
  EXPECT_EQ(this->choice.Choose({ kNear }), kNear.host);
}

} // namespace
} // namespace damasklink
