#include "damasklink/coordination/GroupPlacement.h"

#include <gtest/gtest.h>

#include "damasklink/coordination/Replication.h"

namespace damasklink {
namespace {

PeerSettings
MakePeer(const std::string& aHost, const std::string& aZone, bool aDisk)
{
  PeerSettings peer;
  peer.host = HostId(aHost);
  peer.zone = ZoneId(aZone);
  peer.disk = aDisk;
  return peer;
}

const std::vector<PeerSettings> kPeers{ MakePeer("b", "north", true),
                                        MakePeer("a", "north", true),
                                        MakePeer("c", "south", true),
                                        MakePeer("d", "east", false) };

TEST(GroupPlacementTest, AllHostsWithDisksVoteInControlGroup)
{
  EXPECT_EQ(ListedVoters(kPeers, ControlGroupId()),
            (std::vector{ HostId("a"), HostId("b"), HostId("c") }));
}

TEST(GroupPlacementTest, HostsWithDisksVoteInClaimsGroupOfTheirZone)
{
  EXPECT_EQ(ListedVoters(kPeers, ClaimsGroupId(ZoneId("north"))),
            (std::vector{ HostId("a"), HostId("b") }));
  EXPECT_TRUE(ListedVoters(kPeers, ClaimsGroupId(ZoneId("east"))).empty());
}

TEST(GroupPlacementTest, ZoneWithoutDiskUsesClaimsGroupOfNextZone)
{
  EXPECT_EQ(ClaimsHomeGroup(kPeers, ZoneId("south")), ClaimsGroupId(ZoneId("south")));
  EXPECT_EQ(ClaimsHomeGroup(kPeers, ZoneId("east")), ClaimsGroupId(ZoneId("north")));
  EXPECT_EQ(ClaimsHomeGroup(kPeers, ZoneId("west")), ClaimsGroupId(ZoneId("north")));
  EXPECT_TRUE(ClaimsHomeGroup({}, ZoneId("west")).Empty());
}

TEST(GroupPlacementTest, HostWithoutDiskVotesInNoGroup)
{
  EXPECT_TRUE(GroupsOf(kPeers, HostId("d")).empty());
  EXPECT_EQ(GroupsOf(kPeers, HostId("c")),
            (std::vector{ ControlGroupId(), ClaimsGroupId(ZoneId("south")) }));
}

} // namespace
} // namespace damasklink
