#include "damasklink/coordination/PromptParts.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

TEST(PromptPartsTest, ScopeRoundTrips)
{
  const PartScope open{ ModelName("vendor/model"), 12, WorkspaceId() };
  EXPECT_EQ(ParsePartScope(FormatPartScope(open)), open);
  const PartScope walled{ ModelName("m"), 0, WorkspaceId("w") };
  EXPECT_EQ(ParsePartScope(FormatPartScope(walled)), walled);
}

TEST(PromptPartsTest, ParsePartScopeRejectsMalformedText)
{
  EXPECT_FALSE(ParsePartScope(""));
  EXPECT_FALSE(ParsePartScope("s1"));
  EXPECT_FALSE(ParsePartScope("m/x/"));
  EXPECT_FALSE(ParsePartScope("/"));
}

TEST(PromptPartsTest, ScopesDifferByHomeRegions)
{
  const PartScope open{ ModelName("m"), 3, WorkspaceId() };
  const PartScope bound{ ModelName("m"), 3, WorkspaceId(), "north,south" };
  EXPECT_NE(FormatPartScope(open), FormatPartScope(bound));
  EXPECT_EQ(ParsePartScope(FormatPartScope(bound)), bound);
  const PartScope walled{ ModelName("m"), 3, WorkspaceId("w"), "north" };
  EXPECT_EQ(ParsePartScope(FormatPartScope(walled)), walled);
}

} // namespace
} // namespace damasklink
