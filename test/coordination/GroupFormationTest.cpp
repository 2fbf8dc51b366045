#include "damasklink/coordination/GroupFormation.h"

#include <gtest/gtest.h>

#include "damasklink/coordination/GroupReplica.h"

namespace damasklink {
namespace {

const std::vector<HostId> kListed{ HostId("a"), HostId("b"), HostId("c") };

AgreementMessage
From(const std::string& aHost, std::uint64_t aReplica, AgreementBody aBody)
{
  AgreementMessage message;
  message.fromHost = HostId(aHost);
  message.from = ReplicaId(aReplica);
  message.body = std::move(aBody);
  return message;
}

class GroupFormationUnitTest : public ::testing::Test
{
protected:
  GroupFormation::Outcome Answer(const std::string& aHost,
                                 std::uint64_t aReplica,
                                 const FormationAnswer& aAnswer)
  {
    return this->formation.Receive(From(aHost, aReplica, aAnswer), aAnswer);
  }

  ManualClock clock;
  GroupFormation formation{ clock, Member{ HostId("a"), ReplicaId(1), true }, kListed, 1 };
};

TEST_F(GroupFormationUnitTest, FormsGroupWithTheReplicasThatAnswered)
{
  const std::uint64_t nonce = this->formation.Tick().query.nonce;
  EXPECT_TRUE(this->Answer("c", 3, { nonce, {} }).formWith.members.empty());
  const Membership expected{ { Member{ HostId("a"), ReplicaId(1), true },
                               Member{ HostId("b"), ReplicaId(2), true },
                               Member{ HostId("c"), ReplicaId(3), true } } };
  EXPECT_EQ(this->Answer("b", 2, { nonce, {} }).formWith, expected);
}

TEST_F(GroupFormationUnitTest, IgnoresAnswersToEarlierRounds)
{
  const std::uint64_t first = this->formation.Tick().query.nonce;
  this->Answer("b", 2, { first, {} });
  this->clock.Advance(std::chrono::seconds(1));
  const std::uint64_t second = this->formation.Tick().query.nonce;
  EXPECT_TRUE(this->Answer("c", 3, { first, {} }).formWith.members.empty());
  EXPECT_TRUE(this->Answer("c", 3, { second, {} }).formWith.members.empty());
}

TEST_F(GroupFormationUnitTest, AdoptsFormationThatAnyHostReports)
{
  const std::uint64_t nonce = this->formation.Tick().query.nonce;
  EXPECT_EQ(this->Answer("c", 3, { nonce, FormationId(9) }).adopt, FormationId(9));
}

TEST(GroupFormationFounderTest, OnlyFirstListedHostFormsGroup)
{
  ManualClock clock;
  GroupFormation formation(clock, Member{ HostId("b"), ReplicaId(2), true }, kListed, 1);
  const GroupFormation::Outcome outcome = formation.Tick();
  EXPECT_EQ(outcome.query.proposed, FormationId());
  const FormationAnswer neverFormed{ outcome.query.nonce, {} };
  formation.Receive(From("a", 1, neverFormed), neverFormed);
  EXPECT_TRUE(formation.Receive(From("c", 3, neverFormed), neverFormed).formWith.members.empty());
}

// A replica of host b that knows no formation.
class EmptyReplicaTest : public ::testing::Test
{
protected:
  EmptyReplicaTest()
  {
    GroupOptions options;
    options.raft.host = HostId("b");
    options.raft.replica = ReplicaId(2);
    options.listedVoters = kListed;
    this->replica = std::make_unique<GroupReplica>(this->clock, options, RecoveredLog{});
    this->replica->Tick();
    for (const AgreementMessage& message : this->replica->TakeActions().messages) {
      this->nonce = std::get<FormationQuery>(message.body).nonce;
    }
  }

  ManualClock clock;
  std::unique_ptr<GroupReplica> replica;
  std::uint64_t nonce = 0;
};

// The founder of formation 8 answered, then lost its disk and asks whether it may form formation 9.
// Its old answer arrives late.
TEST_F(EmptyReplicaTest, LateAnswerDoesNotAdoptALostFormation)
{
  this->replica->Receive(From("a", 5, FormationQuery{ 77, FormationId(9) }));
  this->replica->Receive(From("a", 1, FormationAnswer{ this->nonce, FormationId(8) }));
  EXPECT_EQ(this->replica->Core().Formation(), FormationId());
}

TEST_F(EmptyReplicaTest, DropsAdoptedFormationWhenItsFounderAsksAgain)
{
  this->replica->Receive(From("a", 1, FormationAnswer{ this->nonce, FormationId(8) }));
  EXPECT_EQ(this->replica->Core().Formation(), FormationId(8));
  this->replica->Receive(From("a", 5, FormationQuery{ 77, FormationId(9) }));
  EXPECT_EQ(this->replica->Core().Formation(), FormationId());
}

} // namespace
} // namespace damasklink
