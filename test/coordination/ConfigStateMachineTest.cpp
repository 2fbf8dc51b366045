#include "damasklink/coordination/ConfigStateMachine.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "../state/ConfigGenerators.h"

namespace damasklink {
namespace {

SharedContent
WorkspaceWithKey(const std::string& aKey)
{
  WorkspaceNode workspace;
  workspace.teams[TeamId("t")].keys = { DigestOf(aKey) };
  return std::make_shared<const SubtreeContent>(workspace);
}

ConfigChange
MakeChange(const std::string& aId, const std::string& aWorkspace, std::uint64_t aBase)
{
  return ConfigChange{ ChangeId(aId),
                       { WorkspaceSubtree(WorkspaceId(aWorkspace)), WorkspaceWithKey(aWorkspace) },
                       Revision(aBase),
                       "ana" };
}

ChangeAnswer
Apply(ConfigStateMachine& aMachine, const ConfigChange& aChange)
{
  const ApplyContext context{ ControlGroupId(), LogIndex(1),    Term(1),
                              WallTime(),       Incarnation(1), WallTime() };
  return UnpackChangeAnswer(aMachine.Apply(context, PackConfigChange(aChange))).value();
}

ChangeVerdict
VerdictOf(ConfigStateMachine& aMachine, const ConfigChange& aChange)
{
  return Apply(aMachine, aChange).verdict;
}

void
ApplyMany(ConfigStateMachine& aMachine, std::size_t aCount)
{
  for (std::size_t index = 0; index < aCount; ++index) {
    const std::string name = "other-" + std::to_string(index);
    ASSERT_EQ(VerdictOf(aMachine, MakeChange(name, name, 0)), ChangeVerdict::Accepted);
  }
}

TEST(ConfigStateMachineTest, AcceptsOnlyOneOfSeveralChangesFromTheSameVersion)
{
  ConfigStateMachine machine;
  EXPECT_EQ(VerdictOf(machine, MakeChange("c1", "w", 0)), ChangeVerdict::Accepted);
  const ChangeAnswer second = Apply(machine, MakeChange("c2", "w", 0));
  EXPECT_EQ(second.verdict, ChangeVerdict::Conflict);
  EXPECT_EQ(second.revision, Revision(1));
  EXPECT_NE(second.problem.find("is at version 1"), std::string::npos) << second.problem;
  EXPECT_FALSE(ErrorOf(second).remedy.empty());
}

TEST(ConfigStateMachineTest, ReturnsFirstAnswerForResentChangeAfterSnapshotRestore)
{
  ConfigStateMachine machine;
  const ChangeAnswer first = Apply(machine, MakeChange("c1", "w", 0));
  const ChangeAnswer lost = Apply(machine, MakeChange("c2", "w", 0));
  ApplyMany(machine, 500);
  ConfigStateMachine restarted;
  ASSERT_TRUE(restarted.Load(machine.Save()));
  const Revision before = restarted.Tree().Current();
  EXPECT_EQ(Apply(restarted, MakeChange("c1", "w", 0)), first);
  EXPECT_EQ(Apply(restarted, MakeChange("c2", "w", 0)), lost);
  EXPECT_EQ(restarted.Tree().Current(), before) << "a resend changes nothing";
}

TEST(ConfigStateMachineTest, RejectsReusedChangeIdWithDifferentContent)
{
  ConfigStateMachine machine;
  Apply(machine, MakeChange("c1", "w", 0));
  EXPECT_EQ(VerdictOf(machine, MakeChange("c1", "other", 0)), ChangeVerdict::IdReused);
  EXPECT_EQ(VerdictOf(machine, MakeChange("c1", "w", 1)), ChangeVerdict::IdReused);
}

TEST(ConfigStateMachineTest, RejectsKeyOfAnotherWorkspaceUntilReleased)
{
  ConfigStateMachine machine;
  Apply(machine, MakeChange("c1", "w", 0));
  ConfigChange taken = MakeChange("c2", "thief", 0);
  taken.subtree.content = WorkspaceWithKey("w");
  EXPECT_EQ(VerdictOf(machine, taken), ChangeVerdict::Refused);
  ConfigChange deletion = MakeChange("c3", "w", 1);
  deletion.subtree.content = nullptr;
  EXPECT_EQ(VerdictOf(machine, deletion), ChangeVerdict::Accepted);
  taken.id = ChangeId("c4");
  EXPECT_EQ(VerdictOf(machine, taken), ChangeVerdict::Accepted);
}

TEST(ConfigStateMachineTest, ReportsConflictForChangeMadeBeforeDeletion)
{
  ConfigStateMachine machine;
  Apply(machine, MakeChange("c1", "w", 0));
  ConfigChange deletion = MakeChange("c2", "w", 1);
  deletion.subtree.content = nullptr;
  Apply(machine, deletion);
  EXPECT_EQ(VerdictOf(machine, MakeChange("c3", "w", 1)), ChangeVerdict::Conflict);
  EXPECT_EQ(VerdictOf(machine, MakeChange("c4", "w", 0)), ChangeVerdict::Conflict);
  EXPECT_EQ(VerdictOf(machine, MakeChange("c5", "w", 2)), ChangeVerdict::Accepted);
}

TEST(ConfigStateMachineTest, RejectsWorkspaceThatWidensDefaults)
{
  ConfigStateMachine machine;
  SubtreePolicy defaults;
  defaults.limits.promptTokens = 10;
  Apply(machine,
        ConfigChange{ ChangeId("d"),
                      { SubtreeName{ SubtreeKind::Defaults, {} },
                        std::make_shared<const SubtreeContent>(defaults) },
                      Revision(),
                      "ana" });
  WorkspaceNode workspace;
  workspace.policy.limits.promptTokens = 11;
  ConfigChange change = MakeChange("c", "w", 0);
  change.subtree.content = std::make_shared<const SubtreeContent>(workspace);
  const ChangeAnswer answer = Apply(machine, change);
  EXPECT_EQ(answer.verdict, ChangeVerdict::Refused);
  EXPECT_NE(answer.problem.find("limits.prompt_tokens"), std::string::npos);
}

TEST(ConfigStateMachineTest, AppliesSeedOnlyToEmptyTree)
{
  RevisionedTree seed;
  seed.Apply({ Revision(7), { WorkspaceSubtree(WorkspaceId("w")), WorkspaceWithKey("w") } });
  const ApplyContext context{ ControlGroupId(), LogIndex(1),    Term(1),
                              WallTime(),       Incarnation(1), WallTime() };
  const std::string command = PackConfigSeed(ChangeId("initial"), "host", seed);
  ConfigStateMachine machine;
  const auto first = UnpackChangeAnswer(machine.Apply(context, command));
  EXPECT_EQ(first.value().verdict, ChangeVerdict::Accepted);
  EXPECT_EQ(machine.Tree().Current(), Revision(7));
  const auto second = UnpackChangeAnswer(machine.Apply(context, command));
  EXPECT_EQ(second.value().verdict, ChangeVerdict::Conflict);
}

TEST(ConfigStateMachineTest, HistoryRecordsAuthorSubtreeAndChangeId)
{
  ConfigStateMachine machine;
  Apply(machine, MakeChange("c1", "a", 0));
  Apply(machine, MakeChange("c2", "b", 0));
  const auto all = machine.History(std::nullopt, 10);
  ASSERT_EQ(all.size(), 2U);
  EXPECT_EQ(all.front().change, ChangeId("c2"));
  EXPECT_EQ(all.front().author, "ana");
  EXPECT_EQ(machine.History(WorkspaceSubtree(WorkspaceId("a")), 10).size(), 1U);
}

// Random commands, with a snapshot installed in between: both replicas stay identical byte for
// byte.
RC_GTEST_PROP(ConfigStateMachineTest, ReplicaRestoredFromSnapshotStaysIdentical, ())
{
  ConfigStateMachine machine;
  ConfigStateMachine replica;
  const int count = *rc::gen::inRange(1, 30);
  const int cut = *rc::gen::inRange(0, count);
  for (int index = 0; index < count; ++index) {
    const std::string name = *rc::gen::element<std::string>("a", "b", "c");
    ConfigChange change = MakeChange(
      std::to_string(*rc::gen::inRange(0, 20)), name, *rc::gen::inRange<std::uint64_t>(0, 8));
    change.subtree.content = *rc::gen::arbitrary<bool>()
                               ? std::make_shared<const SubtreeContent>(AnyWorkspace(name))
                               : nullptr;
    const ChangeAnswer answer = Apply(machine, change);
    if (index < cut) {
      RC_ASSERT(replica.Load(machine.Save()).has_value());
    } else {
      RC_ASSERT(Apply(replica, change) == answer);
    }
  }
  RC_ASSERT(machine.Save() == replica.Save());
}

RC_GTEST_PROP(ConfigStateMachineTest, RejectsTruncatedSnapshotAndKeepsState, ())
{
  ConfigStateMachine machine;
  Apply(machine, MakeChange("c1", "w", 0));
  const std::string snapshot = machine.Save();
  const auto cut = *rc::gen::inRange<std::size_t>(0, snapshot.size());
  ConfigStateMachine other;
  const std::string before = other.Save();
  RC_ASSERT(!other.Load(snapshot.substr(0, cut)));
  RC_ASSERT(other.Save() == before);
}

} // namespace
} // namespace damasklink
