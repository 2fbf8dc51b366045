#include "damasklink/state/CallerDirectory.h"

#include <gtest/gtest.h>

#include "damasklink/state/ConfigNarrowing.h"

namespace damasklink {
namespace {

ConfigTree
TreeWithKey(const std::string& aKey)
{
  ConfigTree tree;
  tree.workspaces[WorkspaceId("w")].teams[TeamId("t")].keys = { DigestOf(aKey) };
  return tree;
}

TEST(CallerDirectoryTest, FindsTheTeamOfAKeyAndNobodyElse)
{
  const CallerDirectory directory(TreeWithKey("k"));
  ASSERT_NE(directory.Find(DigestOf("k")), nullptr);
  EXPECT_EQ(directory.Find(DigestOf("k"))->team, TeamId("t"));
  EXPECT_EQ(directory.Find(DigestOf("other")), nullptr);
  EXPECT_EQ(directory.Find(Digest("not a digest")), nullptr);
}

TEST(CallerDirectoryTest, ReplacedKeysLeaveTheFormerDirectoryAsItWas)
{
  const CallerDirectory before(TreeWithKey("k"));
  const ConfigTree tree = TreeWithKey("k2");
  const CallerDirectory after = before.Replace(
    { PackDigest(DigestOf("k")) },
    CallerEntriesOf(
      PolicyResolver(tree.defaults), WorkspaceId("w"), tree.workspaces.at(WorkspaceId("w"))));
  EXPECT_NE(before.Find(DigestOf("k")), nullptr);
  EXPECT_EQ(after.Find(DigestOf("k")), nullptr);
  EXPECT_NE(after.Find(DigestOf("k2")), nullptr);
  EXPECT_EQ(after.Size(), 1U);
}

} // namespace
} // namespace damasklink
