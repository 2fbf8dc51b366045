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

// A leader that is the only voter of its group. Host "peer" is listed too.
class MembershipRepairTest : public ::testing::Test
{
protected:
  MembershipRepairTest() { Settle(this->core); }

  // Proposes and commits the next membership, if there is one, and returns whether there was.
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
  MembershipRepair repair{ this->clock, { HostId("peer"), HostId("self") } };
};

TEST_F(MembershipRepairTest, NewReplicaIsLearnerUntilCaughtUp)
{
  this->repair.OnJoinRequest(HostId("peer"), kNewDisk);
  ASSERT_TRUE(this->Step());
  EXPECT_FALSE(this->Find(kNewDisk)->voter);
  EXPECT_FALSE(this->Step());
  this->Acknowledge(kNewDisk);
  ASSERT_TRUE(this->Step());
  EXPECT_TRUE(this->Find(kNewDisk)->voter);
}

TEST_F(MembershipRepairTest, RemovesReplacedReplicaAfterSuccessorVotes)
{
  this->repair.OnJoinRequest(HostId("peer"), kNewDisk);
  this->Step();
  this->Acknowledge(kNewDisk);
  this->Step();
  this->Acknowledge(kNewDisk);
  this->repair.OnJoinRequest(HostId("peer"), kNewerDisk);
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

TEST_F(MembershipRepairTest, ReplacesLearnerThatLostItsDisk)
{
  this->repair.OnJoinRequest(HostId("peer"), kNewDisk);
  this->Step();
  this->repair.OnJoinRequest(HostId("peer"), kNewerDisk);
  this->Step();
  this->Step();
  EXPECT_EQ(this->Find(kNewDisk), nullptr);
  EXPECT_NE(this->Find(kNewerDisk), nullptr);
}

// Guards against a replica that is taken out of the group because of what its host's former replica
// asked this leader before another one led.
TEST_F(MembershipRepairTest, OldJoinRequestDoesNotReplaceALearner)
{
  this->repair.OnJoinRequest(HostId("peer"), kNewDisk);
  MembershipRepair other(this->clock, { HostId("peer"), HostId("self") });
  other.OnJoinRequest(HostId("peer"), kNewerDisk);
  ASSERT_TRUE(this->core.ProposeMembership(*other.Next(this->core)));
  Settle(this->core);
  this->clock.Advance(std::chrono::seconds(2));
  EXPECT_FALSE(this->Step());
  EXPECT_NE(this->Find(kNewerDisk), nullptr);
}

TEST_F(MembershipRepairTest, RemovesSilentHostThatIsNoLongerListed)
{
  this->repair.OnJoinRequest(HostId("peer"), kNewDisk);
  this->Step();
  MembershipRepair without{ this->clock, { HostId("self") } };
  EXPECT_FALSE(without.Next(this->core).has_value());
  this->clock.Advance(RaftTiming().electionTimeoutMax);
  const auto next = without.Next(this->core);
  ASSERT_TRUE(next.has_value());
  EXPECT_EQ(next->Find(kNewDisk), nullptr);
  EXPECT_NE(next->Find(testing::kSelf), nullptr);
}

TEST_F(MembershipRepairTest, IgnoresJoinRequestOfUnlistedHost)
{
  this->repair.OnJoinRequest(HostId("stranger"), kNewDisk);
  EXPECT_FALSE(this->Step());
}

// As above, but with discovery: any host may join.
class DiscoveredMembershipTest : public MembershipRepairTest
{
protected:
  DiscoveredMembershipTest() { this->repair.EnableDiscovery(5); }

  std::size_t Voters() const { return this->core.Log().NewestMembership().VoterCount(); }

  // Adds a host and lets it catch up.
  void Join(const std::string& aHost, ReplicaId aReplica)
  {
    this->repair.OnJoinRequest(HostId(aHost), aReplica);
    this->Step();
    this->joined.push_back(aReplica);
    this->AcknowledgeAll();
  }

  void AcknowledgeAll()
  {
    for (const ReplicaId replica : this->joined) {
      this->Acknowledge(replica);
    }
  }

  std::vector<ReplicaId> joined;
};

TEST_F(DiscoveredMembershipTest, UnlistedHostJoinsAsLearner)
{
  this->Join("stranger", kNewDisk);
  ASSERT_NE(this->Find(kNewDisk), nullptr);
  EXPECT_FALSE(this->Step());
  EXPECT_EQ(this->Voters(), 1U);
}

TEST_F(DiscoveredMembershipTest, VotersAreAddedInPairs)
{
  this->Join("stranger", kNewDisk);
  this->Join("another", kNewerDisk);
  ASSERT_TRUE(this->Step());
  this->AcknowledgeAll();
  ASSERT_TRUE(this->Step());
  this->AcknowledgeAll();
  EXPECT_EQ(this->Voters(), 3U);
  EXPECT_FALSE(this->Step());
}

TEST_F(DiscoveredMembershipTest, ReplacesLostVoterByHostAtAnotherAddress)
{
  this->Join("stranger", kNewDisk);
  this->Join("another", kNewerDisk);
  this->Step();
  this->AcknowledgeAll();
  this->Step();
  this->AcknowledgeAll();
  constexpr ReplicaId kSuccessor(6);
  this->joined = { kNewerDisk };
  this->Join("successor", kSuccessor);
  EXPECT_FALSE(this->Step());
  // The voter of host "stranger" does not answer any more.
  this->clock.Advance(RaftTiming().electionTimeoutMax);
  this->AcknowledgeAll();
  ASSERT_TRUE(this->Step());
  EXPECT_TRUE(this->Find(kSuccessor)->voter);
  EXPECT_NE(this->Find(kNewDisk), nullptr);
  this->AcknowledgeAll();
  ASSERT_TRUE(this->Step());
  EXPECT_EQ(this->Find(kNewDisk), nullptr);
  this->AcknowledgeAll();
  EXPECT_EQ(this->Voters(), 3U);
  EXPECT_FALSE(this->Step());
}

// Guards against a group whose only voter holds all that was acknowledged.
TEST_F(DiscoveredMembershipTest, KeepsASilentVoterOfTwo)
{
  this->Join("stranger", kNewDisk);
  this->Join("another", kNewerDisk);
  ASSERT_TRUE(this->Step());
  this->AcknowledgeAll();
  ASSERT_EQ(this->Voters(), 2U);
  this->clock.Advance(RaftTiming().electionTimeoutMax);
  const auto next = this->repair.Next(this->core);
  EXPECT_TRUE(!next || next->VoterCount() == 2U);
}

// Guards against a group that waits forever for two lost replicas of one host: the newer one is
// lost as well before the change that makes it a voter is committed.
TEST_F(DiscoveredMembershipTest, RemovesSilentFormerReplicaBeforeSuccessorVotes)
{
  constexpr ReplicaId kSuccessor(6);
  this->Join("stranger", kNewDisk);
  this->Join("another", kNewerDisk);
  this->Step();
  this->AcknowledgeAll();
  this->Step();
  this->AcknowledgeAll();
  this->joined = { kNewerDisk };
  this->Join("stranger", kSuccessor);
  this->clock.Advance(RaftTiming().electionTimeoutMax);
  this->AcknowledgeAll();
  ASSERT_TRUE(this->Step());
  EXPECT_EQ(this->Find(kNewDisk), nullptr);
  EXPECT_FALSE(this->Find(kSuccessor)->voter);
  this->AcknowledgeAll();
  ASSERT_TRUE(this->Step());
  EXPECT_TRUE(this->Find(kSuccessor)->voter);
  EXPECT_EQ(this->Voters(), 3U);
}

} // namespace
} // namespace damasklink
