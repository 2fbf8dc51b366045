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
  const RegionRestriction restriction({}, {}, kRegions);
  EXPECT_FALSE(restriction.IsRestricted());
  EXPECT_TRUE(restriction.Allows(ZoneId("elsewhere")));
  EXPECT_TRUE(restriction.Text().empty());
}

TEST(RegionRestrictionTest, RouteOrWorkspaceAloneRestricts)
{
  for (const RegionRestriction& restriction : { RegionRestriction({ kNorth }, {}, kRegions),
                                                RegionRestriction({}, { kNorth }, kRegions) }) {
    EXPECT_TRUE(restriction.Allows(ZoneId("n2")));
    EXPECT_FALSE(restriction.Allows(ZoneId("s1")));
    EXPECT_FALSE(restriction.Allows(ZoneId("elsewhere")));
    EXPECT_EQ(restriction.Text(), "north");
  }
}

TEST(RegionRestrictionTest, AllowsOnlyRegionsInBothLists)
{
  const RegionRestriction restriction({ kSouth, kNorth }, { kSouth }, kRegions);
  EXPECT_TRUE(restriction.Allows(ZoneId("s1")));
  EXPECT_FALSE(restriction.Allows(ZoneId("n1")));
}

TEST(RegionRestrictionTest, AllowsNoZoneWithoutCommonRegion)
{
  EXPECT_TRUE(RegionRestriction({ kSouth }, { kNorth }, kRegions).AllowsNoZone());
  EXPECT_FALSE(RegionRestriction({ kSouth }, {}, kRegions).AllowsNoZone());
}

} // namespace
} // namespace damasklink
