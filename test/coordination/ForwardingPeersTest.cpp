#include "damasklink/coordination/ForwardingPeers.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

const ServiceName kService("app");
const HostId kNear("near");
const HostId kFar("far");

class ForwardingPeersTest : public testing::Test
{
protected:
  ForwardingPeersTest() { this->peers.SetHosts({ { kNear, ZoneId("a") }, { kFar, ZoneId("b") } }); }

  std::optional<HostId> Choose(const std::set<HostId>& aTried = {})
  {
    return this->peers.Choose(kService, aTried);
  }

  ManualClock clock;
  ForwardingPeers peers{ this->clock, 1, ZoneId("a") };
};

TEST_F(ForwardingPeersTest, PrefersOwnZoneUntilItIsBusier)
{
  for (std::size_t call = 0; call < ForwardingPeers::kOwnZonePreference; ++call) {
    EXPECT_EQ(this->Choose(), kNear);
    this->peers.OnSent(kNear);
  }
  this->peers.OnSent(kNear);
  EXPECT_EQ(this->Choose(), kFar);
  this->peers.OnEnded(kNear);
  this->peers.OnEnded(kNear);
  EXPECT_EQ(this->Choose(), kNear);
  EXPECT_TRUE(this->peers.IsInUse(kNear));
  EXPECT_FALSE(this->peers.IsInUse(kFar));
}

TEST_F(ForwardingPeersTest, LeavesOutTriedHosts)
{
  EXPECT_EQ(this->Choose({ kNear }), kFar);
  EXPECT_EQ(this->Choose({ kNear, kFar }), std::nullopt);
}

TEST_F(ForwardingPeersTest, HostThatDeclinedIsAskedAgainLaterAndForOtherServices)
{
  this->peers.OnDeclined(kNear, kService);
  EXPECT_EQ(this->Choose(), kFar);
  EXPECT_EQ(this->peers.Choose(ServiceName("other"), {}), kNear);
  this->clock.Advance(ForwardingPeers::kDeclinePause);
  EXPECT_EQ(this->Choose(), kNear);
}

TEST_F(ForwardingPeersTest, HostWithoutConnectionIsLeftOutForAllServices)
{
  this->peers.OnNotConnected(kNear);
  EXPECT_EQ(this->peers.Choose(ServiceName("other"), {}), kFar);
  this->clock.Advance(ForwardingPeers::kUnreachablePause);
  EXPECT_EQ(this->Choose(), kNear);
}

} // namespace
} // namespace damasklink
