#include "damasklink/coordination/HeldParts.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

const TargetId kTarget("t");

SizedPart
Part(std::uint64_t aKey, std::uint64_t aTokens)
{
  return SizedPart{ PartKey(aKey), TokenCount(aTokens) };
}

TEST(HeldPartsTest, LeadingPartsCountUpToTheFirstGap)
{
  HeldParts held;
  held.OnRead(kTarget, { Part(1, 10), Part(2, 10) });
  EXPECT_EQ(held.LeadingHeld(kTarget, { Part(1, 10), Part(2, 10), Part(3, 10) }), 2U);
  EXPECT_EQ(held.LeadingHeld(kTarget, { Part(3, 10), Part(1, 10) }), 0U);
  EXPECT_EQ(held.LeadingHeld(TargetId("other"), { Part(1, 10) }), 0U);
}

TEST(HeldPartsTest, LeastRecentlyUsedPartsAreForgotten)
{
  HeldParts held(TokenCount(30));
  held.OnRead(kTarget, { Part(1, 10) });
  held.OnRead(kTarget, { Part(2, 10) });
  held.OnRead(kTarget, { Part(3, 10) });
  held.OnRead(kTarget, { Part(1, 10) });
  held.OnRead(kTarget, { Part(4, 10) });
  EXPECT_EQ(held.LeadingHeld(kTarget, { Part(1, 10) }), 1U);
  EXPECT_EQ(held.LeadingHeld(kTarget, { Part(2, 10) }), 0U);
  EXPECT_EQ(held.LeadingHeld(kTarget, { Part(4, 10) }), 1U);
}

TEST(HeldPartsTest, ScopesKeepPartsApart)
{
  EXPECT_NE(MakePartKey("m/1/", "p"), MakePartKey("m/2/", "p"));
  EXPECT_NE(MakePartKey("m/1/w", "p"), MakePartKey("m/1/", "p"));
  EXPECT_EQ(MakePartKey("m/1/", "p"), MakePartKey("m/1/", "p"));
}

} // namespace
} // namespace damasklink
