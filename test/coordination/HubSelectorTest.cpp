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
  HubSelector selector{ this->clock, kOwnZone };
};

TEST_F(HubSelectorTest, PrefersControlHostOfOwnZone)
{
  EXPECT_EQ(this->selector.Choose({}), std::nullopt);
  EXPECT_EQ(this->selector.Choose({ kFar, kNear }), kNear.host);
}

TEST_F(HubSelectorTest, PrefersControlHostThatHearsALeader)
{
  HubCandidate isolated = kNear;
  isolated.hearsLeader = false;
  EXPECT_EQ(this->selector.Choose({ isolated, kFar }), kFar.host);
}

// While a control host is suspended for seven seconds, its entry hosts must learn of each other's
// long prompts through another control host after half a second, and must not return to it until it
// sends again.
TEST_F(HubSelectorTest, AvoidsUnresponsiveHubUntilItSendsAgain)
{
  this->selector.Choose({ kNear, kFar });
  this->selector.OnReportSent();
  this->clock.Advance(HubSelector::kReplyTimeout / 2);
  this->selector.OnReportSent();
  EXPECT_EQ(this->selector.Choose({ kNear, kFar }), kNear.host);
  this->clock.Advance(HubSelector::kReplyTimeout / 2);
  EXPECT_EQ(this->selector.Choose({ kNear, kFar }), kFar.host);
  this->selector.OnReportSent();
  this->selector.OnMessageFrom(kFar.host);
  this->clock.Advance(std::chrono::seconds(6));
  EXPECT_EQ(this->selector.Choose({ kNear, kFar }), kFar.host);
  this->selector.OnMessageFrom(kNear.host);
  EXPECT_EQ(this->selector.Choose({ kNear, kFar }), kNear.host);
}

TEST_F(HubSelectorTest, KeepsHubThatWasSentNoReport)
{
  this->selector.Choose({ kNear, kFar });
  this->clock.Advance(std::chrono::minutes(1));
  EXPECT_EQ(this->selector.Choose({ kNear, kFar }), kNear.host);
}

TEST_F(HubSelectorTest, KeepsUnresponsiveHubWhenThereIsNoOther)
{
  this->selector.Choose({ kNear });
  this->selector.OnReportSent();
  this->clock.Advance(HubSelector::kReplyTimeout);
  EXPECT_EQ(this->selector.Choose({ kNear }), kNear.host);
}

TEST_F(HubSelectorTest, SelectsHubAgainAfterReconnect)
{
  this->selector.Choose({ kNear });
  this->selector.OnLost(kNear.host);
  EXPECT_EQ(this->selector.Hub(), std::nullopt);
  EXPECT_EQ(this->selector.Choose({ kNear }), kNear.host);
}

} // namespace
} // namespace damasklink
