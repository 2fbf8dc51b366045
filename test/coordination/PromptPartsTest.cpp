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

} // namespace
} // namespace damasklink
