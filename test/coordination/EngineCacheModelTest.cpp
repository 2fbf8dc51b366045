#include "damasklink/coordination/EngineCacheModel.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

const TargetId kTarget("t");

SizedPart
Part(std::uint64_t aKey, std::uint64_t aTokens)
{
  return SizedPart{ PartKey(aKey), TokenCount(aTokens) };
}

TEST(EngineCacheModelTest, CountsLeadingPartsUpToFirstGap)
{
  EngineCacheModel cached;
  cached.OnSent(kTarget, { Part(1, 10), Part(2, 10) });
  EXPECT_EQ(cached.LeadingCached(kTarget, { Part(1, 10), Part(2, 10), Part(3, 10) }), 2U);
  EXPECT_EQ(cached.LeadingCached(kTarget, { Part(3, 10), Part(1, 10) }), 0U);
  EXPECT_EQ(cached.LeadingCached(TargetId("other"), { Part(1, 10) }), 0U);
}

TEST(EngineCacheModelTest, EvictsLeastRecentlyUsedParts)
{
  EngineCacheModel cached(TokenCount(30));
  cached.OnSent(kTarget, { Part(1, 10) });
  cached.OnSent(kTarget, { Part(2, 10) });
  cached.OnSent(kTarget, { Part(3, 10) });
  cached.OnSent(kTarget, { Part(1, 10) });
  cached.OnSent(kTarget, { Part(4, 10) });
  EXPECT_EQ(cached.LeadingCached(kTarget, { Part(1, 10) }), 1U);
  EXPECT_EQ(cached.LeadingCached(kTarget, { Part(2, 10) }), 0U);
  EXPECT_EQ(cached.LeadingCached(kTarget, { Part(4, 10) }), 1U);
}

TEST(EngineCacheModelTest, PartKeyDependsOnScope)
{
  EXPECT_NE(MakePartKey("m/1/", "p"), MakePartKey("m/2/", "p"));
  EXPECT_NE(MakePartKey("m/1/w", "p"), MakePartKey("m/1/", "p"));
  EXPECT_EQ(MakePartKey("m/1/", "p"), MakePartKey("m/1/", "p"));
}

} // namespace
} // namespace damasklink
