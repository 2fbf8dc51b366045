#include "damasklink/coordination/HomeRegions.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

const RegionId kNorth("north");
const RegionId kSouth("south");
const ZoneRegions kRegions{ { ZoneId("n1"), kNorth },
                            { ZoneId("n2"), kNorth },
                            { ZoneId("s1"), kSouth } };

TEST(HomeRegionsTest, EmptyListsRestrictNothing)
{
  const HomeRegions homes({}, {}, kRegions);
  EXPECT_FALSE(homes.IsRestricted());
  EXPECT_TRUE(homes.Allows(ZoneId("elsewhere")));
  EXPECT_TRUE(homes.Text().empty());
}

TEST(HomeRegionsTest, RouteOrWorkspaceAloneRestricts)
{
  for (const HomeRegions& homes :
       { HomeRegions({ kNorth }, {}, kRegions), HomeRegions({}, { kNorth }, kRegions) }) {
    EXPECT_TRUE(homes.Allows(ZoneId("n2")));
    EXPECT_FALSE(homes.Allows(ZoneId("s1")));
    EXPECT_FALSE(homes.Allows(ZoneId("elsewhere")));
    EXPECT_EQ(homes.Text(), "north");
  }
}

TEST(HomeRegionsTest, AllowsOnlyRegionsInBothLists)
{
  const HomeRegions homes({ kSouth, kNorth }, { kSouth }, kRegions);
  EXPECT_TRUE(homes.Allows(ZoneId("s1")));
  EXPECT_FALSE(homes.Allows(ZoneId("n1")));
}

TEST(HomeRegionsTest, AllowsNoZoneWithoutCommonRegion)
{
  EXPECT_TRUE(HomeRegions({ kSouth }, { kNorth }, kRegions).AllowsNoZone());
  EXPECT_FALSE(HomeRegions({ kSouth }, {}, kRegions).AllowsNoZone());
}

} // namespace
} // namespace damasklink
