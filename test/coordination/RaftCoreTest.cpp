#include "damasklink/coordination/RaftCore.h"

#include <gtest/gtest.h>

#include "support/RaftLeader.h"

namespace damasklink {
namespace {

using testing::kPeer;
using testing::kThird;
using testing::MakeFoundedLog;
using testing::MakeRaftOptions;
using testing::MessageFrom;
using testing::Settle;

// A clock whose wall time may jump back.
class JumpingClock final : public Clock
{
public:
  MonotonicTime MonotonicNow() const override { return this->monotonic; }
  WallTime WallNow() const override { return this->wall; }

  MonotonicTime monotonic{ std::chrono::hours(1) };
  WallTime wall{ std::chrono::hours(1) };
};

TEST(RaftCoreTest, EntryTimesStayMonotonicWhenWallClockJumpsBack)
{
  JumpingClock clock;
  RaftCore core(clock, MakeRaftOptions(), MakeFoundedLog(false));
  Settle(core);
  ASSERT_TRUE(core.Propose(1, {}, "first"));
  const WallTime first = Settle(core).proposedAt;
  clock.wall -= std::chrono::minutes(10);
  ASSERT_TRUE(core.Propose(1, {}, "second"));
  EXPECT_EQ(Settle(core).command, "second");
  EXPECT_GE(core.Log().At(core.Log().LastIndex()).proposedAt, first);
}

TEST(RaftCoreTest, EntryIsNotCommittedBeforeItIsSynced)
{
  JumpingClock clock;
  RaftCore core(clock, MakeRaftOptions(), MakeFoundedLog(false));
  Settle(core);
  const LogIndex before = core.Committed();
  ASSERT_TRUE(core.Propose(1, {}, "command"));
  const RaftActions actions = core.TakeActions();
  EXPECT_EQ(core.Committed(), before);
  core.OnPersisted(actions.persist->number);
  EXPECT_GT(core.Committed(), before);
}

TEST(RaftCoreTest, VoteIsSentOnlyAfterItIsSynced)
{
  JumpingClock clock;
  RaftCore core(clock, MakeRaftOptions(), MakeFoundedLog(true));
  clock.monotonic += std::chrono::seconds(1);
  core.Receive(MessageFrom(kPeer, Term(2), VoteRequest{ LogIndex(1), Term(1) }));
  RaftActions actions = core.TakeActions();
  EXPECT_TRUE(actions.messages.empty());
  core.OnPersisted(actions.persist->number);
  actions = core.TakeActions();
  ASSERT_EQ(actions.messages.size(), 1U);
  EXPECT_TRUE(std::get<VoteAnswer>(actions.messages[0].body).granted);
}

TEST(RaftCoreTest, EntriesAreAcknowledgedOnlyAfterTheyAreSynced)
{
  JumpingClock clock;
  RaftCore core(clock, MakeRaftOptions(), MakeFoundedLog(true));
  LogEntry entry;
  entry.index = LogIndex(2);
  entry.term = Term(2);
  core.Receive(
    MessageFrom(kPeer, Term(2), AppendRequest{ LogIndex(1), Term(1), LogIndex(), 0, { entry } }));
  RaftActions actions = core.TakeActions();
  EXPECT_TRUE(actions.messages.empty());
  core.OnPersisted(actions.persist->number);
  actions = core.TakeActions();
  ASSERT_EQ(actions.messages.size(), 1U);
  EXPECT_EQ(std::get<AppendAnswer>(actions.messages[0].body).index, LogIndex(2));
}

// Makes the replica leader of term 2 with the vote of its peer. Its first entry is not synced yet.
void
Elect(RaftCore& aCore, JumpingClock& aClock)
{
  aClock.monotonic += RaftTiming().electionTimeoutMax;
  aCore.Tick();
  aCore.Receive(MessageFrom(kPeer, Term(1), PreVoteAnswer{ Term(2), true }));
  aCore.OnPersisted(aCore.TakeActions().persist->number);
  aCore.Receive(MessageFrom(kPeer, Term(2), VoteAnswer{ true }));
  ASSERT_EQ(aCore.Role(), RaftRole::Leader);
}

TEST(RaftCoreTest, LeaderCountsItselfTowardsQuorumOnlyAfterSync)
{
  JumpingClock clock;
  RaftCore core(clock, MakeRaftOptions(), MakeFoundedLog(true));
  Elect(core, clock);
  const RaftActions actions = core.TakeActions();
  core.Receive(MessageFrom(kPeer, Term(2), AppendAnswer{ true, LogIndex(2), LogIndex(1), 0 }));
  EXPECT_EQ(core.Committed(), LogIndex());
  core.OnPersisted(actions.persist->number);
  EXPECT_EQ(core.Committed(), LogIndex(2));
}

TEST(RaftCoreTest, MembershipChangeIsRefusedWhileAnotherIsPending)
{
  JumpingClock clock;
  RaftCore core(clock, MakeRaftOptions(), MakeFoundedLog(true));
  Elect(core, clock);
  Membership next = core.Log().NewestMembership();
  next.members.push_back(Member{ HostId("fourth"), ReplicaId(4), false });
  // No entry of its own term is committed yet, so a change by an earlier leader may still be
  // pending.
  EXPECT_FALSE(core.ProposeMembership(next));
  core.OnPersisted(core.TakeActions().persist->number);
  core.Receive(MessageFrom(kPeer, Term(2), AppendAnswer{ true, LogIndex(2), LogIndex(1), 0 }));
  EXPECT_TRUE(core.ProposeMembership(next));
  EXPECT_FALSE(core.ProposeMembership(next));
}

// Figure 8 of the Raft paper: an entry of an earlier term may be overwritten although a majority
// has it.
TEST(RaftCoreTest, EarlierTermEntriesAreCommittedOnlyWithACurrentTermEntry)
{
  JumpingClock clock;
  RaftCore core(clock, MakeRaftOptions(), MakeFoundedLog(true));
  Elect(core, clock);
  core.OnPersisted(core.TakeActions().persist->number);
  core.Receive(MessageFrom(kPeer, Term(2), AppendAnswer{ true, LogIndex(1), LogIndex(1), 0 }));
  EXPECT_EQ(core.Committed(), LogIndex());
  core.Receive(MessageFrom(kPeer, Term(2), AppendAnswer{ true, LogIndex(2), LogIndex(1), 0 }));
  EXPECT_EQ(core.Committed(), LogIndex(2));
}

TEST(RaftCoreTest, RestartedVoterRefusesElectionsUntilElectionTimeout)
{
  JumpingClock clock;
  RaftCore core(clock, MakeRaftOptions(), MakeFoundedLog(true));
  const VoteRequest request{ LogIndex(1), Term(1) };
  core.Receive(MessageFrom(kPeer, Term(2), request));
  EXPECT_EQ(core.CurrentTerm(), Term(1));
  clock.monotonic += RaftTiming().electionTimeoutMin;
  core.Receive(MessageFrom(kPeer, Term(2), request));
  EXPECT_EQ(core.CurrentTerm(), Term(2));
}

// The other voters reported that no lease is in force, but this one has heard a leader since.
TEST(RaftCoreTest, VoterThatHeardALeaderRefusesAllLeaderlessElection)
{
  JumpingClock clock;
  RaftCore core(clock, MakeRaftOptions(), MakeFoundedLog(true));
  const VoteRequest request{ LogIndex(1), Term(1), false, true };
  core.Receive(
    MessageFrom(kPeer, Term(1), AppendRequest{ LogIndex(1), Term(1), LogIndex(), 0, {} }));
  core.Receive(MessageFrom(kThird, Term(2), request));
  EXPECT_EQ(core.CurrentTerm(), Term(1));
}

TEST(RaftCoreTest, LeaderlessIsReportedOnlyWithinTheSameTerm)
{
  JumpingClock clock;
  RaftCore core(clock, MakeRaftOptions(), MakeFoundedLog(true));
  const PreVoteRequest request{ Term(2), LogIndex(1), Term(1) };
  core.Receive(MessageFrom(kPeer, Term(1), request));
  core.Receive(MessageFrom(kPeer, Term(0), request));
  const RaftActions actions = core.TakeActions();
  ASSERT_EQ(actions.messages.size(), 2U);
  EXPECT_TRUE(std::get<PreVoteAnswer>(actions.messages[0].body).leaderless);
  EXPECT_FALSE(std::get<PreVoteAnswer>(actions.messages[1].body).leaderless);
}

TEST(RaftCoreTest, GrantsOneVotePerTerm)
{
  JumpingClock clock;
  RaftCore core(clock, MakeRaftOptions(), MakeFoundedLog(true));
  clock.monotonic += RaftTiming().electionTimeoutMin;
  const VoteRequest request{ LogIndex(1), Term(1) };
  core.Receive(MessageFrom(kPeer, Term(2), request));
  AgreementMessage another = MessageFrom(kPeer, Term(2), request);
  another.from = kThird;
  core.Receive(another);
  core.OnPersisted(core.TakeActions().persist->number);
  int granted = 0;
  for (const AgreementMessage& message : core.TakeActions().messages) {
    granted += std::get<VoteAnswer>(message.body).granted ? 1 : 0;
  }
  EXPECT_EQ(granted, 1);
}

// Guards against a connection that is closed because a leader hands it all that a replica lacks.
TEST(RaftCoreTest, LeaderBoundsTheBytesOnTheirWayToAReplica)
{
  JumpingClock clock;
  const RaftOptions options = MakeRaftOptions();
  RaftCore core(clock, options, MakeFoundedLog(true));
  clock.monotonic += std::chrono::seconds(3);
  core.Tick();
  core.Receive(MessageFrom(kPeer, Term(1), PreVoteAnswer{ Term(2), true, false }));
  Settle(core);
  core.Receive(MessageFrom(kPeer, Term(2), VoteAnswer{ true }));
  const auto acknowledge = [&](LogIndex aIndex) {
    core.Receive(MessageFrom(kPeer, Term(2), AppendAnswer{ true, aIndex, aIndex, 0 }));
  };
  acknowledge(core.Log().LastIndex());
  Settle(core);
  ASSERT_EQ(core.Role(), RaftRole::Leader);
  for (int count = 0; count < 100; ++count) {
    ASSERT_TRUE(core.Propose(1, {}, std::string(std::size_t{ 16 } * 1024, 'x')));
  }
  LogIndex sent;
  while (sent < core.Log().LastIndex()) {
    std::size_t bytes = 0;
    for (int round = 0; round < 100; ++round) {
      for (const AgreementMessage& message : core.TakeActions().messages) {
        const auto* append = std::get_if<AppendRequest>(&message.body);
        if (append == nullptr || message.to != kPeer) {
          continue;
        }
        for (const LogEntry& entry : append->entries) {
          bytes += entry.command.size();
          sent = entry.index;
        }
      }
    }
    ASSERT_GT(bytes, 0U);
    ASSERT_LE(bytes, options.maxBytesInFlight + options.maxMessageBytes);
    acknowledge(sent);
  }
}

// Guards against a connection that is closed because each heartbeat carries a large entry again to
// a replica that needs long to receive it.
TEST(RaftCoreTest, LargeEntryIsNotRepeatedByHeartbeatsBeforeItIsAnswered)
{
  constexpr std::size_t kEntryBytes = 1'250'000;
  JumpingClock clock;
  RecoveredLog recovered = MakeFoundedLog(true);
  LogEntry large;
  large.index = LogIndex(2);
  large.term = Term(1);
  large.command.assign(kEntryBytes, 'x');
  recovered.entries.push_back(large);
  RaftCore core(clock, MakeRaftOptions(), std::move(recovered));
  Elect(core, clock);
  core.TakeActions();
  core.Receive(MessageFrom(kPeer, Term(2), AppendAnswer{ false, LogIndex(1), LogIndex(2), 0 }));
  std::size_t bytes = 0;
  const RaftTiming timing;
  for (Duration passed{}; passed < timing.electionTimeoutMax; passed += timing.heartbeat) {
    for (const AgreementMessage& message : core.TakeActions().messages) {
      const auto* append = std::get_if<AppendRequest>(&message.body);
      if (append != nullptr && message.to == kPeer) {
        for (const LogEntry& entry : append->entries) {
          bytes += entry.command.size();
        }
      }
    }
    clock.monotonic += timing.heartbeat;
    core.Tick();
  }
  EXPECT_EQ(bytes, kEntryBytes);
}

} // namespace
} // namespace damasklink
