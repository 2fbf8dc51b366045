#include "damasklink/coordination/HubSelector.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

const ZoneId kOwnZone("z1");
const HubCandidate kNear{ HostId("near"), kOwnZone, true };
const HubCandidate kFar{ HostId("far"), ZoneId("z2"), true };

class HubSelectorTest : public ::testing::Test
{
protected:
  ManualClock clock;
  HubSelector choice{ this->clock, kOwnZone };
};

TEST_F(HubSelectorTest, PrefersControlHostOfOwnZone)
{
  EXPECT_EQ(this->choice.Choose({}), std::nullopt);
  EXPECT_EQ(this->choice.Choose({ kFar, kNear }), kNear.host);
}

TEST_F(HubSelectorTest, PrefersControlHostThatHearsALeader)
{
  HubCandidate isolated = kNear;
  isolated.hearsLeader = false;
  EXPECT_EQ(this->choice.Choose({ isolated, kFar }), kFar.host);
}

// While a control host is suspended for seven seconds, its entry hosts must learn of each other's
// long prompts through another control host after half a second, and must not return to it until it
// sends again.
TEST_F(HubSelectorTest, AvoidsUnresponsiveHubUntilItSendsAgain)
{
  this->choice.Choose({ kNear, kFar });
  this->choice.OnReportSent();
  this->clock.Advance(HubSelector::kReplyTimeout / 2);
  this->choice.OnReportSent();
  EXPECT_EQ(this->choice.Choose({ kNear, kFar }), kNear.host);
  this->clock.Advance(HubSelector::kReplyTimeout / 2);
  EXPECT_EQ(this->choice.Choose({ kNear, kFar }), kFar.host);
  this->choice.OnReportSent();
  this->choice.OnMessageFrom(kFar.host);
  this->clock.Advance(std::chrono::seconds(6));
  EXPECT_EQ(this->choice.Choose({ kNear, kFar }), kFar.host);
  this->choice.OnMessageFrom(kNear.host);
  EXPECT_EQ(this->choice.Choose({ kNear, kFar }), kNear.host);
}

TEST_F(HubSelectorTest, KeepsHubThatWasSentNoReport)
{
  this->choice.Choose({ kNear, kFar });
  this->clock.Advance(std::chrono::minutes(1));
  EXPECT_EQ(this->choice.Choose({ kNear, kFar }), kNear.host);
}

TEST_F(HubSelectorTest, KeepsUnresponsiveHubWhenThereIsNoOther)
{
  this->choice.Choose({ kNear });
  this->choice.OnReportSent();
  this->clock.Advance(HubSelector::kReplyTimeout);
  EXPECT_EQ(this->choice.Choose({ kNear }), kNear.host);
}

TEST_F(HubSelectorTest, SelectsHubAgainAfterReconnect)
{
  this->choice.Choose({ kNear });
  this->choice.OnLost(kNear.host);
  EXPECT_EQ(this->choice.Hub(), std::nullopt);
  EXPECT_EQ(this->choice.Choose({ kNear }), kNear.host);
}

} // namespace
} // namespace damasklink
