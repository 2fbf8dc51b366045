#include "damasklink/coordination/MemberLagTracker.h"

#include <gtest/gtest.h>

#include "damasklink/state/Clock.h"
#include "support/RaftLeader.h"

namespace damasklink {
namespace {

using testing::kPeer;
using testing::kThird;
using testing::MakeFoundedLog;
using testing::MakeRaftOptions;
using testing::MessageFrom;

// A leader of three with more entries than a member may lack.
class MemberLagTrackerTest : public ::testing::Test
{
protected:
  MemberLagTrackerTest()
  {
    this->clock.Advance(std::chrono::seconds(3));
    this->core.Tick();
    this->Work();
    this->core.Receive(MessageFrom(kPeer, Term(1), PreVoteAnswer{ Term(2), true, false }));
    this->Work();
    this->core.Receive(MessageFrom(kPeer, Term(2), VoteAnswer{ true }));
    for (std::uint64_t count = 0; count <= MemberLagTracker::kMaxEntries; ++count) {
      EXPECT_TRUE(this->core.Propose(1, {}, "command"));
    }
    this->Work();
  }

  void Work()
  {
    const RaftActions actions = this->core.TakeActions();
    if (actions.persist) {
      this->core.OnPersisted(actions.persist->number);
    }
  }

  void Acknowledge(ReplicaId aReplica, LogIndex aIndex)
  {
    this->core.Receive(MessageFrom(aReplica, Term(2), AppendAnswer{ true, aIndex, aIndex, 0 }));
    this->Work();
  }

  ManualClock clock;
  RaftCore core{ this->clock, MakeRaftOptions(), MakeFoundedLog(true) };
  MemberLagTracker lags{ this->clock };
};

TEST_F(MemberLagTrackerTest, ReportsAMemberThatLagsUntilItHasCaughtUp)
{
  this->Acknowledge(kPeer, this->core.Log().LastIndex());
  this->Acknowledge(kThird, LogIndex(1));
  const auto began = this->lags.Update(this->core);
  ASSERT_EQ(began.size(), 1U);
  EXPECT_EQ(began[0].progress.member.replica, kThird);
  EXPECT_GT(began[0].progress.missingEntries, MemberLagTracker::kMaxEntries);
  EXPECT_GT(began[0].missingBytes, 0U);
  EXPECT_FALSE(began[0].caughtUpAfter);
  this->clock.Advance(MemberLagTracker::kCheckInterval);
  EXPECT_TRUE(this->lags.Update(this->core).empty());
  this->Acknowledge(kThird, this->core.Log().LastIndex());
  this->clock.Advance(MemberLagTracker::kCheckInterval);
  const auto ended = this->lags.Update(this->core);
  ASSERT_EQ(ended.size(), 1U);
  EXPECT_EQ(ended[0].caughtUpAfter, 2 * MemberLagTracker::kCheckInterval);
}

TEST_F(MemberLagTrackerTest, ReportsASilentMemberOnceAnInterval)
{
  this->Acknowledge(kPeer, this->core.Log().LastIndex());
  this->Acknowledge(kThird, this->core.Log().LastIndex());
  EXPECT_TRUE(this->lags.Update(this->core).empty());
  std::size_t reports = 0;
  const Duration most = MakeRaftOptions().timing.electionTimeoutMax;
  for (Duration passed{}; passed < most + MemberLagTracker::kReportInterval * 3 / 2;
       passed += MemberLagTracker::kCheckInterval) {
    this->clock.Advance(MemberLagTracker::kCheckInterval);
    this->Acknowledge(kPeer, this->core.Log().LastIndex());
    for (const MemberLagChange& change : this->lags.Update(this->core)) {
      EXPECT_EQ(change.progress.member.replica, kThird);
      EXPECT_FALSE(change.progress.responsive);
      ++reports;
    }
  }
  EXPECT_EQ(reports, 2U);
}

} // namespace
} // namespace damasklink
