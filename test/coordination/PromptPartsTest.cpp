#include "damasklink/coordination/PromptParts.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

TEST(PromptPartsTest, ScopeComesBack)
{
  const ScopeFacts open{ ModelName("vendor/model"), 12, WorkspaceId() };
  EXPECT_EQ(ParseScope(FormatScope(open)), open);
  const ScopeFacts walled{ ModelName("m"), 0, WorkspaceId("w") };
  EXPECT_EQ(ParseScope(FormatScope(walled)), walled);
}

TEST(PromptPartsTest, ForeignTextIsNoScope)
{
  EXPECT_FALSE(ParseScope(""));
  EXPECT_FALSE(ParseScope("s1"));
  EXPECT_FALSE(ParseScope("m/x/"));
  EXPECT_FALSE(ParseScope("/"));
}

TEST(PromptPartsTest, ScopesOfOtherHomesAreOthers)
{
  const ScopeFacts open{ ModelName("m"), 3, WorkspaceId() };
  const ScopeFacts bound{ ModelName("m"), 3, WorkspaceId(), "north,south" };
  EXPECT_NE(FormatScope(open), FormatScope(bound));
  EXPECT_EQ(ParseScope(FormatScope(bound)), bound);
  const ScopeFacts walled{ ModelName("m"), 3, WorkspaceId("w"), "north" };
  EXPECT_EQ(ParseScope(FormatScope(walled)), walled);
}

} // namespace
} // namespace damasklink
