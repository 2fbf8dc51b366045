#include "damasklink/coordination/HostMembership.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

HostSettings
ThreeHosts(const std::string& aSelf)
{
  HostSettings settings;
  settings.host = HostId(aSelf);
  for (const char* name : { "a", "b", "c" }) {
    settings.peers.push_back(PeerSettings{ HostId(name), ZoneId("z"), {}, {}, false });
  }
  return settings;
}

Heartbeat
BeatAt(std::uint64_t aIncarnation, std::uint64_t aSequence)
{
  Heartbeat beat;
  beat.incarnation = Incarnation(aIncarnation);
  beat.sequence = Sequence(aSequence);
  return beat;
}

class HostMembershipTest : public testing::Test
{
protected:
  ManualClock clock;
  HostSettings settings = ThreeHosts("a");
  HostMembership membership{ clock, settings, Incarnation(100) };
};

TEST_F(HostMembershipTest, SilentHostIsNotUp)
{
  this->membership.OnHeartbeat(HostId("b"), BeatAt(1, 1));
  EXPECT_TRUE(this->membership.IsUp(HostId("b")));
  this->clock.Advance(HostMembership::kFailureTimeout);
  EXPECT_FALSE(this->membership.IsUp(HostId("b")));
}

TEST_F(HostMembershipTest, NewSightingByAnotherHostMarksHostUp)
{
  this->clock.Advance(HostMembership::kFailureTimeout);
  Heartbeat beat = BeatAt(1, 1);
  beat.others = { HostSighting{ HashOfHost(HostId("c")), Incarnation(7), Sequence(3), false } };
  this->membership.OnHeartbeat(HostId("b"), beat);
  EXPECT_TRUE(this->membership.IsUp(HostId("c")));
  this->clock.Advance(HostMembership::kFailureTimeout);
  beat.sequence = Sequence(2);
  this->membership.OnHeartbeat(HostId("b"), beat);
  EXPECT_FALSE(this->membership.IsUp(HostId("c"))) << "a repeated sighting is not a sign of life";
}

TEST_F(HostMembershipTest, LeavingPersistsUntilNextIncarnation)
{
  Heartbeat leaving = BeatAt(5, 9);
  leaving.leaving = true;
  this->membership.OnHeartbeat(HostId("b"), leaving);
  this->membership.OnHeartbeat(HostId("b"), BeatAt(5, 10));
  this->membership.OnHeartbeat(HostId("b"), BeatAt(4, 99));
  EXPECT_FALSE(this->membership.IsUp(HostId("b")));
  this->membership.OnHeartbeat(HostId("b"), BeatAt(6, 1));
  EXPECT_TRUE(this->membership.IsUp(HostId("b")));
}

TEST_F(HostMembershipTest, NextHostSkipsHostsThatAreDown)
{
  EXPECT_EQ(this->membership.NextHostUp(), HostId("b"));
  Heartbeat leaving = BeatAt(5, 9);
  leaving.leaving = true;
  this->membership.OnHeartbeat(HostId("b"), leaving);
  EXPECT_EQ(this->membership.NextHostUp(), HostId("c"));
}

TEST_F(HostMembershipTest, IncarnationExceedsThatOfAnEarlierRun)
{
  Heartbeat beat = BeatAt(1, 1);
  beat.others = { HostSighting{ HashOfHost(HostId("a")), Incarnation(200), Sequence(1), true } };
  this->membership.OnHeartbeat(HostId("b"), beat);
  EXPECT_GT(this->membership.OwnIncarnation(), Incarnation(200));
}

TEST_F(HostMembershipTest, SendsOneHeartbeatPerIntervalRoundRobin)
{
  std::vector<HostId> partners;
  for (int turn = 0; turn < 4; ++turn) {
    ASSERT_TRUE(this->membership.AdvanceIfDue());
    EXPECT_FALSE(this->membership.AdvanceIfDue());
    partners.push_back(this->membership.CurrentPeer());
    this->clock.Advance(HostMembership::kInterval);
  }
  EXPECT_EQ(partners[0], partners[2]);
  EXPECT_EQ(partners[1], partners[3]);
  EXPECT_NE(partners[0], partners[1]);
}

} // namespace
} // namespace damasklink
