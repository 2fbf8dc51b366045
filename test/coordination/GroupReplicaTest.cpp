#include "damasklink/coordination/GroupReplica.h"

#include <iostream>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "support/GroupCluster.h"
#include "support/RaftLeader.h"

namespace damasklink {
namespace {

using testing::GroupCluster;

// One event of a schedule. The meaning of the numbers depends on the kind.
struct Step
{
  int kind = 0;
  std::size_t node = 0;
  std::size_t number = 0;
};

void
showValue(const Step& aStep, std::ostream& aOut)
{
  aOut << '{' << aStep.kind << ',' << aStep.node << ',' << aStep.number << '}';
}

rc::Gen<std::vector<Step>>
AnySchedule(int aKinds)
{
  const auto step = rc::gen::map(rc::gen::tuple(rc::gen::inRange(0, aKinds),
                                                rc::gen::inRange<std::size_t>(0, 5),
                                                rc::gen::inRange<std::size_t>(0, 64)),
                                 [](const std::tuple<int, std::size_t, std::size_t>& aParts) {
                                   const auto& [kind, node, number] = aParts;
                                   return Step{ kind, node, number };
                                 });
  constexpr double kLonger = 3;
  return rc::gen::scale(kLonger, rc::gen::container<std::vector<Step>>(step));
}

// Names with "OnceMore" only make an event more likely.
enum StepKind
{
  Run,
  RunOnceMore,
  Propose,
  ProposeOnceMore,
  Deliver,
  Sync,
  AdvanceAndTick,
  Repeat,
  Drop,
  CutOneWay,
  Isolate,
  HealNetwork,
  Freeze,
  Thaw,
  Kill,
  Start,
  StartOnceMore,
  FailDiskSoon,
  RestartAll,
  HangDisk,
  LoseDisk,
  LoseDiskOnceMore,
};

constexpr int kKindsWithoutLostDisks = LoseDisk;
constexpr int kKindsWithLostDisks = LoseDiskOnceMore + 1;

void
Perform(GroupCluster& aCluster, const Step& aStep)
{
  const std::size_t node = aStep.node % aCluster.Size();
  const std::size_t other = aStep.number % aCluster.Size();
  switch (aStep.kind) {
    case Run:
    case RunOnceMore:
      return aCluster.Run(std::chrono::milliseconds(50 * aStep.number));
    case Propose:
    case ProposeOnceMore:
      return aCluster.Propose(node);
    case Deliver:
      aCluster.Move(aStep.number, GroupCluster::Fate::Deliver);
      return;
    case Sync:
      return aCluster.Sync(node);
    case AdvanceAndTick:
      aCluster.Advance(std::chrono::milliseconds(20 * aStep.number));
      return aCluster.Tick(node);
    case Repeat:
      aCluster.Move(aStep.number, GroupCluster::Fate::Repeat);
      return;
    case Drop:
      aCluster.Move(aStep.number, GroupCluster::Fate::Drop);
      return;
    case CutOneWay:
      return aCluster.Cut(node, other);
    case Isolate:
      return aCluster.Isolate(node);
    case HealNetwork:
      return aCluster.HealNetwork();
    case Freeze:
      aCluster.Node(node).frozen = true;
      return;
    case Thaw:
      aCluster.Node(node).frozen = false;
      return;
    case Kill:
      return aCluster.Kill(node, aStep.number % 2 == 0);
    case Start:
    case StartOnceMore:
      if (aCluster.Node(node).process == nullptr) {
        aCluster.Start(node);
      }
      return;
    case FailDiskSoon:
      aCluster.Node(node).disk->FailAfter(static_cast<int>(aStep.number % 8) + 1);
      return;
    case RestartAll:
      for (std::size_t each = 0; each < aCluster.Size(); ++each) {
        aCluster.Kill(each, true);
        aCluster.Start(each);
      }
      return;
    case HangDisk:
      aCluster.Node(node).diskHangs = aStep.number % 2 == 0;
      return;
    default:
      if (aCluster.Size() > 2 && aCluster.IsWhole()) {
        aCluster.Wipe(node);
      }
  }
}

// Checks a property with aTimes as many cases as the default.
template<typename Property>
void
CheckOften(int aTimes, Property aProperty)
{
  rc::detail::TestParams params = rc::detail::configuration().testParams;
  params.maxSuccess *= aTimes;
  const auto result = rc::detail::checkTestable(aProperty, rc::detail::TestMetadata(), params);
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  EXPECT_TRUE(result.template is<rc::detail::SuccessResult>()) << text.str();
}

// Runs a random schedule on a group, heals all failures and checks the invariants.
void
SurvivesAnySchedule(int aKinds)
{
  const auto nodes = *rc::gen::element<std::size_t>(1, 3, 3, 3, 5);
  const auto schedule = *AnySchedule(aKinds);
  GroupCluster cluster(nodes, *rc::gen::arbitrary<std::uint64_t>());
  if (*rc::gen::arbitrary<bool>()) {
    cluster.Run(std::chrono::seconds(6));
  }
  for (const Step& step : schedule) {
    Perform(cluster, step);
  }
  cluster.HealAndCheck();
}

TEST(GroupReplicaProperty, NothingAcknowledgedIsLostUnderAnySchedule)
{
  CheckOften(10, [] { SurvivesAnySchedule(kKindsWithoutLostDisks); });
}

TEST(GroupReplicaProperty, LostDisksThatAreRepairedLoseNothing)
{
  CheckOften(10, [] { SurvivesAnySchedule(kKindsWithLostDisks); });
}

// A group of three replicas that has committed a few commands.

class GroupReplicaTest : public ::testing::Test
{
protected:
  GroupReplicaTest()
    : cluster(3, 1)
  {
    this->cluster.Run(std::chrono::seconds(6));
    this->ProposeOnAll();
    this->cluster.Run(std::chrono::seconds(1));
  }

  void ProposeOnAll()
  {
    for (std::size_t node = 0; node < this->cluster.Size(); ++node) {
      this->cluster.Propose(node);
    }
  }

  std::size_t Leader() const { return this->cluster.Leader().value(); }
  std::size_t Follower() const { return (this->Leader() + 1) % 3; }

  GroupCluster cluster;
};

TEST_F(GroupReplicaTest, AcknowledgesCommandsFromAnyHost)
{
  EXPECT_EQ(this->cluster.Acknowledged().size(), 3U);
}

TEST(GroupFormationTest, FormsOnlyOnceAllListedVotersAnswered)
{
  GroupCluster cluster(3, 1);
  cluster.Kill(2, true);
  cluster.Run(std::chrono::minutes(1));
  EXPECT_FALSE(cluster.Leader().has_value());
  cluster.Start(2);
  cluster.Run(std::chrono::seconds(6));
  EXPECT_TRUE(cluster.IsWhole());
}

// A follower that gets a snapshot in pieces may also get the entries, and acknowledge later ones
// than the snapshot covers, before its last piece arrives. Installing the snapshot then must not
// drop them. Found by seed 3 of the random schedules.
TEST(GroupReplicaSnapshotTest, LateSnapshotKeepsAcknowledgedEntries)
{
  GroupCluster cluster(5, 0);
  cluster.Run(std::chrono::seconds(6));
  for (int command = 0; command < 9; ++command) {
    cluster.Propose(0);
  }
  cluster.Cut(0, 1);
  cluster.Run(std::chrono::milliseconds(150));
  cluster.Propose(0);
  cluster.Propose(0);
  cluster.HealAndCheck();
}

// One replica, which leads its group alone once it has settled.
class GroupReplicaProposalTest : public ::testing::Test
{
protected:
  static constexpr auto kPart = static_cast<std::uint8_t>(StateMachineId::Claims);

  GroupReplicaProposalTest()
  {
    this->replica.Machines().Add(StateMachineId::Claims, this->machine);
  }

  static GroupOptions Options()
  {
    GroupOptions options;
    options.raft = testing::MakeRaftOptions();
    options.listedVoters = { HostId("self") };
    return options;
  }

  void Settle()
  {
    for (int round = 0; round < 10; ++round) {
      this->replica.Tick();
      if (const auto batch = this->replica.TakeActions().persist) {
        this->replica.OnPersisted(batch->number);
      }
    }
  }

  ManualClock clock;
  testing::ListMachine machine;
  GroupReplica replica{ this->clock, Options(), RecoveredLog{} };
};

// The proposer was told that the attempt was refused, so a late duplicate of it must have no
// effect, even if the host leads by then.
TEST_F(GroupReplicaProposalTest, LateDuplicateOfARefusedAttemptIsDropped)
{
  const ForwardedProposal sent{ Sequence(1), kPart, { 7, Sequence(1), Sequence(1) }, "command" };
  this->replica.Receive(testing::MessageFrom(ReplicaId(), Term(), sent));
  this->Settle();
  ASSERT_TRUE(this->replica.Status().leaseHeld);
  this->replica.Receive(testing::MessageFrom(ReplicaId(), Term(), sent));
  this->Settle();
  EXPECT_TRUE(this->machine.commands.empty());
}

// Guards against a log that grows with the attempts of a large proposal instead of with proposals.
TEST_F(GroupReplicaProposalTest, RepeatedAttemptsAppendAProposalOnce)
{
  this->Settle();
  ASSERT_TRUE(this->replica.Status().leaseHeld);
  const LogIndex before = this->replica.Core().Log().LastIndex();
  for (std::uint64_t attempt = 1; attempt <= 3; ++attempt) {
    const ForwardedProposal sent{
      Sequence(attempt), kPart, { 7, Sequence(1), Sequence(1) }, "command"
    };
    this->replica.Receive(testing::MessageFrom(ReplicaId(), Term(), sent));
  }
  EXPECT_EQ(this->replica.Core().Log().LastIndex(), before.Next());
  this->Settle();
  EXPECT_EQ(this->machine.commands, std::vector<std::string>{ "command" });
}

TEST(GroupFormationTest, SingleVoterFormsAtOnce)
{
  GroupCluster cluster(1, 1);
  cluster.Run(std::chrono::milliseconds(100));
  EXPECT_TRUE(cluster.Leader().has_value());
}

// The founder returns with an empty disk while a host that has the group's log is down. The
// remaining hosts must not form the group a second time.
TEST_F(GroupReplicaTest, FormedGroupIsNotFormedAgain)
{
  const FormationId formed = this->cluster.Core(0).Formation();
  this->cluster.Kill(1, true);
  this->cluster.Wipe(0);
  this->cluster.Run(std::chrono::minutes(1));
  EXPECT_FALSE(this->cluster.Leader().has_value());
  this->cluster.HealAndCheck();
  EXPECT_EQ(this->cluster.Core(0).Formation(), formed);
}

// One follower acknowledges a command that the other one never got, and then loses its disk. If it
// kept its identity, the two could elect the one without the command, which would be lost.
TEST_F(GroupReplicaTest, WipedHostDoesNotVoteWithItsFormerIdentity)
{
  const std::size_t leader = this->Leader();
  const std::size_t wiped = (leader + 1) % 3;
  const std::size_t behind = (leader + 2) % 3;
  this->cluster.Isolate(behind);
  this->cluster.Propose(leader);
  this->cluster.Run(std::chrono::milliseconds(600));
  ASSERT_EQ(this->cluster.Acknowledged().size(), 4U);
  this->cluster.Kill(leader, true);
  this->cluster.Wipe(wiped);
  this->cluster.HealNetwork();
  this->cluster.Run(std::chrono::minutes(1));
  EXPECT_FALSE(this->cluster.Leader().has_value());
  this->cluster.HealAndCheck();
}

TEST_F(GroupReplicaTest, SecondDiskLossRightAfterRepairKeepsAcknowledgedCommands)
{
  this->cluster.Wipe(this->Follower());
  for (int round = 0; round < 1'000 && !this->cluster.IsWhole(); ++round) {
    this->cluster.Run(std::chrono::milliseconds(50));
  }
  ASSERT_TRUE(this->cluster.IsWhole());
  this->cluster.Wipe(this->Leader());
  this->cluster.HealAndCheck();
}

TEST_F(GroupReplicaTest, IsolatedLeaderLosesItsLeaseBeforeAnotherIsElected)
{
  const std::size_t old = this->Leader();
  this->cluster.Isolate(old);
  this->cluster.Run(std::chrono::milliseconds(950));
  EXPECT_FALSE(this->cluster.Leader().has_value());
  this->cluster.Run(std::chrono::seconds(5));
  EXPECT_NE(this->Leader(), old);
}

TEST_F(GroupReplicaTest, FrozenLeaderHoldsNoLeaseAfterItResumes)
{
  const std::size_t old = this->Leader();
  this->cluster.Node(old).frozen = true;
  this->cluster.Advance(std::chrono::seconds(1));
  EXPECT_FALSE(this->cluster.Core(old).LeaseHeld());
}

// After a power failure of all hosts no lease is in force, so callers must not wait for one to
// expire.
TEST_F(GroupReplicaTest, ElectsBeforeElectionTimeoutWhenAllVotersRestart)
{
  for (std::size_t node = 0; node < this->cluster.Size(); ++node) {
    this->cluster.Kill(node, true);
  }
  for (std::size_t node = 0; node < this->cluster.Size(); ++node) {
    this->cluster.Start(node);
  }
  this->cluster.Run(RaftTiming().electionTimeoutMin * 3 / 4);
  EXPECT_TRUE(this->cluster.Leader().has_value());
  this->cluster.HealAndCheck();
}

TEST_F(GroupReplicaTest, ReconnectedHostCausesNoElectionAndRevertsNothing)
{
  const Term term = this->cluster.Core(this->Leader()).CurrentTerm();
  const std::size_t away = this->Follower();
  this->cluster.Isolate(away);
  this->cluster.Propose(away);
  this->cluster.Propose(this->Leader());
  this->cluster.Run(std::chrono::minutes(2));
  this->cluster.HealAndCheck();
  EXPECT_EQ(this->cluster.Core(this->Leader()).CurrentTerm(), term);
}

// The leader can still send, so the others keep getting its heartbeats; only the leader can notice
// the failure.
TEST_F(GroupReplicaTest, LeaderThatReceivesNothingStepsDown)
{
  const std::size_t unreachable = this->Leader();
  for (std::size_t node = 0; node < this->cluster.Size(); ++node) {
    this->cluster.Cut(node, unreachable);
  }
  this->cluster.Run(std::chrono::seconds(10));
  EXPECT_NE(this->Leader(), unreachable);
}

TEST_F(GroupReplicaTest, TransfersLeadershipAtOnce)
{
  const std::size_t old = this->Leader();
  this->cluster.Node(old).process->group->TransferLeadership();
  EXPECT_FALSE(this->cluster.Leader().has_value());
  this->cluster.Run(std::chrono::milliseconds(300));
  EXPECT_NE(this->Leader(), old);
}

TEST_F(GroupReplicaTest, ReplicaFarBehindIsCaughtUpBySnapshot)
{
  const std::size_t behind = this->Follower();
  this->cluster.Kill(behind, true);
  for (int round = 0; round < 40; ++round) {
    this->cluster.Propose(this->Leader());
    this->cluster.Run(std::chrono::milliseconds(100));
  }
  this->cluster.Start(behind);
  this->cluster.Run(std::chrono::seconds(3));
  EXPECT_EQ(this->cluster.Node(behind).process->machine.commands.size(), 43U);
  EXPECT_GT(this->cluster.Core(behind).Log().BaseIndex(), LogIndex());
}

TEST_F(GroupReplicaTest, FullDiskStopsReplicaWhileGroupContinues)
{
  const std::size_t full = this->Leader();
  this->cluster.Node(full).disk->SetFull(true);
  this->cluster.Propose(full);
  this->cluster.Run(std::chrono::seconds(6));
  EXPECT_EQ(this->cluster.Node(full).process, nullptr);
  this->cluster.Propose(this->Leader());
  this->cluster.Run(std::chrono::seconds(1));
  EXPECT_EQ(this->cluster.Acknowledged().size(), 4U);
}

// The owner of a replica calls TakeActions() until it returns no more work.
TEST_F(GroupReplicaTest, ActionsRunOutWhileAReplicaIsSilent)
{
  const std::size_t leader = this->Leader();
  this->cluster.Kill(this->Follower(), false);
  this->cluster.Run(std::chrono::seconds(5));
  this->cluster.Propose(leader);
  this->cluster.Run(std::chrono::milliseconds(100));
  GroupReplica& group = *this->cluster.Node(leader).process->group;
  group.TakeActions();
  EXPECT_TRUE(group.TakeActions().messages.empty());
}

TEST_F(GroupReplicaTest, LeaderWithHungDiskStepsDown)
{
  const std::size_t slow = this->Leader();
  this->cluster.Node(slow).diskHangs = true;
  this->cluster.Propose((slow + 1) % 3);
  this->cluster.Run(std::chrono::seconds(12));
  EXPECT_NE(this->Leader(), slow);
  EXPECT_EQ(this->cluster.Acknowledged().size(), 4U);
}

// Guards against reads of an older state: the followers commit a command that the leader has not
// synced and so not applied, and one of them acknowledges it. The cluster asserts at each step that
// whoever holds the lease has applied all that was acknowledged.
TEST_F(GroupReplicaTest, LeaderWithSlowDiskHoldsNoLeaseWhileItIsBehind)
{
  this->cluster.Node(this->Leader()).diskHangs = true;
  this->cluster.Propose(this->Follower());
  this->cluster.Run(std::chrono::seconds(3));
  EXPECT_EQ(this->cluster.Acknowledged().size(), 4U);
  EXPECT_FALSE(this->cluster.Leader().has_value());
}

TEST_F(GroupReplicaTest, IdleGroupSendsOnlyHeartbeats)
{
  const std::size_t before = this->cluster.MessagesSent();
  this->cluster.Run(std::chrono::seconds(10));
  // Two followers, each with a heartbeat and its answer twice a second.
  EXPECT_LE(this->cluster.MessagesSent() - before, 2U * 2U * 2U * 10U + 4U);
}

TEST_F(GroupReplicaTest, LogIsCompactedOverManyCommands)
{
  for (int round = 0; round < 500; ++round) {
    this->ProposeOnAll();
    this->cluster.Run(std::chrono::milliseconds(100));
  }
  const RaftLog& log = this->cluster.Core(this->Leader()).Log();
  EXPECT_GT(log.LastIndex(), LogIndex(1'000));
  EXPECT_LE(log.LastIndex().Value() - log.BaseIndex().Value(), 30U);
}

// Guards against a host that lost its disk and votes a second later, because what it asks before
// its connections are up is lost.
TEST(GroupReplicaJoinTest, EmptyReplicaAsksAHostAtOnceWhenItIsUp)
{
  ManualClock clock;
  GroupOptions options;
  options.raft = testing::MakeRaftOptions();
  options.listedVoters = { HostId("peer"), HostId("self") };
  options.mayFormGroup = false;
  options.maxVoters = 3;
  GroupReplica replica(clock, options, RecoveredLog());
  replica.Tick();
  replica.TakeActions();
  replica.OnHostUp(HostId("peer"));
  const GroupActions asked = replica.TakeActions();
  ASSERT_EQ(asked.messages.size(), 1U);
  AgreementMessage answer = asked.messages[0];
  ASSERT_TRUE(std::holds_alternative<FormationQuery>(answer.body));
  answer.body = FormationAnswer{ std::get<FormationQuery>(answer.body).nonce, FormationId(7) };
  replica.Receive(answer);
  replica.Tick();
  replica.TakeActions();
  replica.OnHostUp(HostId("peer"));
  const GroupActions joining = replica.TakeActions();
  ASSERT_EQ(joining.messages.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<JoinRequest>(joining.messages[0].body));
  replica.AddDiscoveredHost(HostId("other"));
  EXPECT_EQ(replica.TakeActions().messages.size(), 1U);
}

// Guards against a host that lost its disk and votes a second later, because it asked to join just
// before the leader was elected.
TEST(GroupReplicaJoinTest, RequestBeforeTheElectionIsServedByTheNewLeader)
{
  ManualClock clock;
  GroupOptions options;
  options.raft = testing::MakeRaftOptions();
  options.listedVoters = { HostId("peer"), HostId("self") };
  options.maxVoters = 3;
  GroupReplica replica(clock, options, testing::MakeFoundedLog(false));
  ASSERT_NE(replica.Core().Role(), RaftRole::Leader);
  replica.Receive(testing::MessageFrom(testing::kPeer, Term(1), JoinRequest{}));
  for (int round = 0; round < 10; ++round) {
    replica.Tick();
    if (const auto batch = replica.TakeActions().persist) {
      replica.OnPersisted(batch->number);
    }
  }
  ASSERT_EQ(replica.Core().Role(), RaftRole::Leader);
  EXPECT_NE(replica.Core().Log().NewestMembership().Find(testing::kPeer), nullptr);
}

} // namespace
} // namespace damasklink
