#include "damasklink/state/Subtree.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "ConfigGenerators.h"

namespace damasklink {
namespace {

DeploymentSet
AnyDeployments()
{
  DeploymentSet set;
  Deployment& deployment = set[DeploymentName("d")];
  deployment.model = ModelName("null");
  deployment.version = WeightVersion("1.0");
  deployment.adapters = { AdapterName("a: b") };
  deployment.role = *rc::gen::element(DeploymentRole::Keep, DeploymentRole::Decode);
  deployment.targets = { TargetId("e1"), TargetId("#2") };
  deployment.keepServing = 1;
  deployment.loadInterval = std::chrono::seconds(*rc::gen::inRange(0, 100));
  deployment.attempt = *rc::gen::inRange<std::uint64_t>(0, 3);
  return set;
}

Subtree
AnySubtree()
{
  const int kind = *rc::gen::inRange(0, 3);
  if (kind == 0) {
    SubtreePolicy policy = AnyPolicy();
    policy.share = 1;
    return { SubtreeName{ SubtreeKind::Defaults, {} },
             std::make_shared<const SubtreeContent>(policy) };
  }
  if (kind == 1) {
    return { SubtreeName{ SubtreeKind::Deployments, {} },
             std::make_shared<const SubtreeContent>(AnyDeployments()) };
  }
  WorkspaceNode workspace = AnyWorkspace("w: 1");
  // A text is read back only when its teams are within their workspace.
  workspace.policy = SubtreePolicy();
  return { WorkspaceSubtree(WorkspaceId("w: 1")),
           std::make_shared<const SubtreeContent>(workspace) };
}

RC_GTEST_PROP(SubtreeTest, CanonicalTextReadsBackEqual, ())
{
  const Subtree subtree = AnySubtree();
  const std::string text = FormatSubtree(subtree);
  const auto parsed = ParseConfigTree(text, "f");
  RC_ASSERT(parsed.Ok());
  const auto subtrees = SplitTree(parsed.value);
  RC_ASSERT(subtrees.size() == 1U);
  RC_ASSERT(subtrees.front().name == subtree.name);
  RC_ASSERT(*subtrees.front().content == *subtree.content);
  RC_ASSERT(FormatSubtree(subtrees.front()) == text);
}

RC_GTEST_PROP(SubtreeTest, PackedContentReadsBackEqual, ())
{
  const Subtree subtree = AnySubtree();
  CompactWriter writer;
  PackContent(subtree.content, writer);
  const std::string bytes = std::move(writer).Take();
  CompactReader reader(bytes);
  const SharedContent read = UnpackContent(reader);
  RC_ASSERT(reader.AtCleanEnd());
  RC_ASSERT(*read == *subtree.content);
}

RC_GTEST_PROP(SubtreeTest, AnyBytesAreDecodedOrRejected, (const std::string& aBytes))
{
  CompactReader reader(aBytes);
  const SharedContent read = UnpackContent(reader);
  RC_ASSERT((read == nullptr || !reader.Bad()));
}

TEST(SubtreeTest, NamesReadBack)
{
  for (const char* text : { "defaults", "deployments", "workspaces/a/b" }) {
    EXPECT_EQ(FormatSubtreeName(ParseSubtreeName(text).value()), text);
  }
  EXPECT_FALSE(ParseSubtreeName("workspaces/"));
  EXPECT_FALSE(ParseSubtreeName("teams/x"));
}

TEST(SubtreeTest, DiffMarksLinesOfEachSide)
{
  EXPECT_EQ(DiffLines("a\nb\nc\n", "a\nx\nc\n"), " a\n-b\n+x\n c\n");
  EXPECT_EQ(DiffLines("", "a\n"), "+a\n");
}

} // namespace
} // namespace damasklink
