#include "damasklink/coordination/PromptParts.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

TEST(PromptPartsTest, ScopeRoundTrips)
{
  const PartScope open{ ModelName("vendor/model"), 12, WorkspaceId() };
  EXPECT_EQ(ParsePartScope(FormatPartScope(open)), open);
  const PartScope isolated{ ModelName("m"), 0, WorkspaceId("w") };
  EXPECT_EQ(ParsePartScope(FormatPartScope(isolated)), isolated);
}

TEST(PromptPartsTest, ParsePartScopeRejectsMalformedText)
{
  EXPECT_FALSE(ParsePartScope(""));
  EXPECT_FALSE(ParsePartScope("s1"));
  EXPECT_FALSE(ParsePartScope("m/x/"));
  EXPECT_FALSE(ParsePartScope("/"));
}

TEST(PromptPartsTest, SharedScopesDifferByIsolationDigest)
{
  const PartScope all{ ModelName("m"), 3, WorkspaceId(), "", "" };
  const PartScope some{ ModelName("m"), 3, WorkspaceId(), "", "12ab" };
  const PartScope restricted{ ModelName("m"), 3, WorkspaceId(), "north", "12ab" };
  EXPECT_NE(FormatPartScope(all), FormatPartScope(some));
  EXPECT_EQ(ParsePartScope(FormatPartScope(some)), some);
  EXPECT_EQ(ParsePartScope(FormatPartScope(restricted)), restricted);
}

TEST(PromptPartsTest, ScopesDifferByAllowedRegions)
{
  const PartScope open{ ModelName("m"), 3, WorkspaceId() };
  const PartScope restricted{ ModelName("m"), 3, WorkspaceId(), "north,south" };
  EXPECT_NE(FormatPartScope(open), FormatPartScope(restricted));
  EXPECT_EQ(ParsePartScope(FormatPartScope(restricted)), restricted);
  const PartScope isolated{ ModelName("m"), 3, WorkspaceId("w"), "north" };
  EXPECT_EQ(ParsePartScope(FormatPartScope(isolated)), isolated);
}

} // namespace
} // namespace damasklink
