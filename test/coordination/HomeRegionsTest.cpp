#include "damasklink/coordination/HomeRegions.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

const RegionId kNorth("north");
const RegionId kSouth("south");
const ZoneRegions kRegions{ { ZoneId("n1"), kNorth },
                            { ZoneId("n2"), kNorth },
                            { ZoneId("s1"), kSouth } };

TEST(HomeRegionsTest, ListsWithoutRegionsBindNothing)
{
  const HomeRegions homes({}, {}, kRegions);
  EXPECT_FALSE(homes.Binds());
  EXPECT_TRUE(homes.Allows(ZoneId("elsewhere")));
  EXPECT_TRUE(homes.Text().empty());
}

TEST(HomeRegionsTest, ARouteOrAWorkspaceBindsAlone)
{
  for (const HomeRegions& homes :
       { HomeRegions({ kNorth }, {}, kRegions), HomeRegions({}, { kNorth }, kRegions) }) {
    EXPECT_TRUE(homes.Allows(ZoneId("n2")));
    EXPECT_FALSE(homes.Allows(ZoneId("s1")));
    EXPECT_FALSE(homes.Allows(ZoneId("elsewhere")));
    EXPECT_EQ(homes.Text(), "north");
  }
}

TEST(HomeRegionsTest, WhereBothHaveSomeBothBind)
{
  const HomeRegions homes({ kSouth, kNorth }, { kSouth }, kRegions);
  EXPECT_TRUE(homes.Allows(ZoneId("s1")));
  EXPECT_FALSE(homes.Allows(ZoneId("n1")));
}

TEST(HomeRegionsTest, WithoutACommonRegionNothingIsAllowed)
{
  EXPECT_TRUE(HomeRegions({ kSouth }, { kNorth }, kRegions).AllowsNothing());
  EXPECT_FALSE(HomeRegions({ kSouth }, {}, kRegions).AllowsNothing());
}

} // namespace
} // namespace damasklink
