#include "damasklink/coordination/MembershipRepair.h"

#include <gtest/gtest.h>

#include "support/RaftLeader.h"

namespace damasklink {
namespace {

using testing::MakeFoundedLog;
using testing::MakeRaftOptions;
using testing::MessageFrom;
using testing::Settle;

constexpr ReplicaId kNewDisk(4);
constexpr ReplicaId kNewerDisk(5);

// A leader that is its group's only voter; host "peer" is to vote too.
class MembershipRepairTest : public ::testing::Test
{
protected:
  MembershipRepairTest() { Settle(this->core); }

  // Performs the next step, if there is one, and returns whether there was.
  bool Step()
  {
    const auto next = this->repair.Next(this->core);
    const bool proposed = next && this->core.ProposeMembership(*next);
    Settle(this->core);
    return proposed;
  }

  void Acknowledge(ReplicaId aReplica)
  {
    const LogIndex last = this->core.Log().LastIndex();
    this->core.Receive(
      MessageFrom(aReplica, this->core.CurrentTerm(), AppendAnswer{ true, last, last, 0 }));
    Settle(this->core);
  }

  const Member* Find(ReplicaId aReplica) const
  {
    return this->core.Log().NewestMembership().Find(aReplica);
  }

  ManualClock clock;
  RaftCore core{ clock, MakeRaftOptions(), MakeFoundedLog(false) };
  MembershipRepair repair{ { HostId("peer"), HostId("self") } };
};

TEST_F(MembershipRepairTest, NewDiskLearnsUntilItIsCaughtUp)
{
  this->repair.NoteJoin(HostId("peer"), kNewDisk);
  ASSERT_TRUE(this->Step());
  EXPECT_FALSE(this->Find(kNewDisk)->voter);
  EXPECT_FALSE(this->Step());
  this->Acknowledge(kNewDisk);
  ASSERT_TRUE(this->Step());
  EXPECT_TRUE(this->Find(kNewDisk)->voter);
}

TEST_F(MembershipRepairTest, ReplacedReplicaIsRemovedLast)
{
  this->repair.NoteJoin(HostId("peer"), kNewDisk);
  this->Step();
  this->Acknowledge(kNewDisk);
  this->Step();
  this->Acknowledge(kNewDisk);
  this->repair.NoteJoin(HostId("peer"), kNewerDisk);
  ASSERT_TRUE(this->Step());
  EXPECT_NE(this->Find(kNewDisk), nullptr);
  this->Acknowledge(kNewDisk);
  this->Acknowledge(kNewerDisk);
  ASSERT_TRUE(this->Step());
  EXPECT_NE(this->Find(kNewDisk), nullptr);
  this->Acknowledge(kNewDisk);
  this->Acknowledge(kNewerDisk);
  ASSERT_TRUE(this->Step());
  EXPECT_EQ(this->Find(kNewDisk), nullptr);
  EXPECT_TRUE(this->Find(kNewerDisk)->voter);
}

TEST_F(MembershipRepairTest, LearnerThatLostItsDiskTooIsReplaced)
{
  this->repair.NoteJoin(HostId("peer"), kNewDisk);
  this->Step();
  this->repair.NoteJoin(HostId("peer"), kNewerDisk);
  this->Step();
  this->Step();
  EXPECT_EQ(this->Find(kNewDisk), nullptr);
  EXPECT_NE(this->Find(kNewerDisk), nullptr);
}

TEST_F(MembershipRepairTest, SilentHostThatIsNotListedAnyMoreIsRemoved)
{
  this->repair.NoteJoin(HostId("peer"), kNewDisk);
  this->Step();
  MembershipRepair without{ { HostId("self") } };
  EXPECT_FALSE(without.Next(this->core).has_value());
  this->clock.Advance(RaftTiming().electionMost);
  const auto next = without.Next(this->core);
  ASSERT_TRUE(next.has_value());
  EXPECT_EQ(next->Find(kNewDisk), nullptr);
  EXPECT_NE(next->Find(testing::kSelf), nullptr);
}

TEST_F(MembershipRepairTest, HostThatIsNotListedStaysOut)
{
  this->repair.NoteJoin(HostId("stranger"), kNewDisk);
  EXPECT_FALSE(this->Step());
}

} // namespace
} // namespace damasklink
