#include "damasklink/coordination/RegionRestriction.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

const RegionId kNorth("north");
const RegionId kSouth("south");
const ZoneRegions kRegions{ { ZoneId("n1"), kNorth },
                            { ZoneId("n2"), kNorth },
                            { ZoneId("s1"), kSouth } };

TEST(RegionRestrictionTest, EmptyListsRestrictNothing)
{
  const RegionRestriction homes({}, {}, kRegions);
  EXPECT_FALSE(homes.IsRestricted());
  EXPECT_TRUE(homes.Allows(ZoneId("elsewhere")));
  EXPECT_TRUE(homes.Text().empty());
}

TEST(RegionRestrictionTest, RouteOrWorkspaceAloneRestricts)
{
  for (const RegionRestriction& homes : { RegionRestriction({ kNorth }, {}, kRegions),
                                          RegionRestriction({}, { kNorth }, kRegions) }) {
    EXPECT_TRUE(homes.Allows(ZoneId("n2")));
    EXPECT_FALSE(homes.Allows(ZoneId("s1")));
    EXPECT_FALSE(homes.Allows(ZoneId("elsewhere")));
    EXPECT_EQ(homes.Text(), "north");
  }
}

TEST(RegionRestrictionTest, AllowsOnlyRegionsInBothLists)
{
  const RegionRestriction homes({ kSouth, kNorth }, { kSouth }, kRegions);
  EXPECT_TRUE(homes.Allows(ZoneId("s1")));
  EXPECT_FALSE(homes.Allows(ZoneId("n1")));
}

TEST(RegionRestrictionTest, AllowsNoZoneWithoutCommonRegion)
{
  EXPECT_TRUE(RegionRestriction({ kSouth }, { kNorth }, kRegions).AllowsNoZone());
  EXPECT_FALSE(RegionRestriction({ kSouth }, {}, kRegions).AllowsNoZone());
}

} // namespace
} // namespace damasklink
