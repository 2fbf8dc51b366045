#include "damasklink/coordination/ClaimRegistry.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

class ClaimRegistryTest : public testing::Test
{
protected:
  ClaimReply Apply(const ClaimCommand& aCommand)
  {
    this->context.index = this->context.index.Next();
    return this->registry.Apply(this->context, aCommand);
  }

  ClaimReply Claim(const std::string& aAttempt) { return this->Apply(this->Command(aAttempt)); }

  ClaimReply Settle(ClaimVerb aVerb, const std::string& aAttempt)
  {
    ClaimCommand command = this->Command(aAttempt);
    command.verb = aVerb;
    return this->Apply(command);
  }

  ClaimCommand Command(const std::string& aAttempt) const
  {
    ClaimCommand command;
    command.workspace = WorkspaceId("head-office");
    command.key = IdempotencyKey("order-17");
    command.attempt = AttemptId(aAttempt);
    command.body = Digest("body");
    command.createdAt = this->createdAt;
    command.retention = hours(48);
    command.lease = seconds(30);
    command.answer = KeptAnswer{ 200, "text/plain", "plate 17" };
    return command;
  }

  void Advance(Duration aTime)
  {
    this->context.proposedAt += std::chrono::duration_cast<WallTime::duration>(aTime);
  }

  ClaimRegistry registry{ ClaimRegistry::Limits{ 3, 100 } };
  ApplyContext context{ GroupId("claims/north"), {}, Term(1), WallTime(hours(500'000)),
                        Incarnation(1),          {} };
  std::optional<WallTime> createdAt;
};

TEST_F(ClaimRegistryTest, SecondAttemptIsRefusedWhileTheFirstRuns)
{
  EXPECT_EQ(this->Claim("a").verdict, ClaimVerdict::Granted);
  this->Advance(seconds(10));
  const ClaimReply second = this->Claim("b");
  EXPECT_EQ(second.verdict, ClaimVerdict::Running);
  EXPECT_EQ(second.retryAfter, seconds(20));
}

TEST_F(ClaimRegistryTest, RepeatedClaimOfOneAttemptIsGrantedAgain)
{
  EXPECT_EQ(this->Claim("a").verdict, ClaimVerdict::Granted);
  EXPECT_EQ(this->Claim("a").verdict, ClaimVerdict::Granted);
}

TEST_F(ClaimRegistryTest, FinishedRunReturnsItsKeptAnswer)
{
  this->Claim("a");
  this->Settle(ClaimVerb::Finish, "a");
  const ClaimReply second = this->Claim("b");
  EXPECT_EQ(second.verdict, ClaimVerdict::Kept);
  EXPECT_EQ(second.answer, KeptAnswer({ 200, "text/plain", "plate 17" }));
}

TEST_F(ClaimRegistryTest, RunWithExpiredLeaseMayHaveRun)
{
  this->Claim("a");
  this->Advance(seconds(30));
  EXPECT_EQ(this->Claim("b").verdict, ClaimVerdict::MayHaveRun);
}

TEST_F(ClaimRegistryTest, AbandonedRunMayHaveRun)
{
  this->Claim("a");
  this->Settle(ClaimVerb::Abandon, "a");
  EXPECT_EQ(this->Claim("b").verdict, ClaimVerdict::MayHaveRun);
}

TEST_F(ClaimRegistryTest, ReleasedClaimLetsAnotherAttemptRun)
{
  this->Claim("a");
  this->Settle(ClaimVerb::Release, "a");
  EXPECT_EQ(this->Claim("b").verdict, ClaimVerdict::Granted);
}

TEST_F(ClaimRegistryTest, LateReleaseOfAnEarlierAttemptFreesNothing)
{
  this->Claim("a");
  this->Settle(ClaimVerb::Release, "a");
  this->Claim("b");
  this->Settle(ClaimVerb::Release, "a");
  EXPECT_EQ(this->Claim("c").verdict, ClaimVerdict::Running);
}

TEST_F(ClaimRegistryTest, ClaimThatArrivesAfterItsReleaseIsNotGranted)
{
  this->Settle(ClaimVerb::Release, "a");
  EXPECT_EQ(this->Claim("a").verdict, ClaimVerdict::Withdrawn);
  EXPECT_EQ(this->Claim("b").verdict, ClaimVerdict::Granted);
}

TEST_F(ClaimRegistryTest, SameKeyWithAnotherBodyIsRefused)
{
  this->Claim("a");
  ClaimCommand other = this->Command("b");
  other.body = Digest("other");
  EXPECT_EQ(this->Apply(other).verdict, ClaimVerdict::BodyMismatch);
}

TEST_F(ClaimRegistryTest, SameKeyInTwoWorkspacesIsTwoClaims)
{
  this->Claim("a");
  this->Settle(ClaimVerb::Finish, "a");
  ClaimCommand other = this->Command("b");
  other.workspace = WorkspaceId("branch");
  EXPECT_EQ(this->Apply(other).verdict, ClaimVerdict::Granted);
}

TEST_F(ClaimRegistryTest, ForgottenMintedKeyIsExpired)
{
  this->createdAt = this->context.proposedAt;
  this->Claim("a");
  this->Settle(ClaimVerb::Finish, "a");
  this->Advance(hours(49));
  EXPECT_EQ(this->Claim("b").verdict, ClaimVerdict::Expired);
  EXPECT_EQ(this->registry.Size(), 0U);
  EXPECT_EQ(this->registry.AnswerBytes(), 0U);
}

// A host whose settings have a longer retention must not revive a key that was removed.
TEST_F(ClaimRegistryTest, LongerRetentionDoesNotReviveAForgottenKey)
{
  this->createdAt = this->context.proposedAt;
  this->Claim("a");
  this->Advance(hours(49));
  ClaimCommand longer = this->Command("b");
  longer.retention = hours(100);
  EXPECT_EQ(this->Apply(longer).verdict, ClaimVerdict::Expired);
}

TEST_F(ClaimRegistryTest, OldKeyThatWasNeverSeenIsExpired)
{
  this->createdAt = this->context.proposedAt - hours(48);
  EXPECT_EQ(this->Claim("a").verdict, ClaimVerdict::Expired);
}

TEST_F(ClaimRegistryTest, ReleaseAfterTheRunEndedFreesNothing)
{
  for (const ClaimVerb end : { ClaimVerb::Finish, ClaimVerb::Abandon }) {
    this->registry = ClaimRegistry();
    this->Claim("a");
    this->Settle(end, "a");
    this->Settle(ClaimVerb::Release, "a");
    EXPECT_NE(this->Claim("b").verdict, ClaimVerdict::Granted);
  }
}

TEST_F(ClaimRegistryTest, KeyFromTheFutureIsRefused)
{
  this->createdAt = this->context.proposedAt + minutes(5);
  EXPECT_EQ(this->Claim("a").verdict, ClaimVerdict::CreatedInFuture);
}

TEST_F(ClaimRegistryTest, ReformedGroupGrantsNoEarlierKey)
{
  this->createdAt = this->context.proposedAt - minutes(1);
  this->context.incarnation = Incarnation(2);
  EXPECT_EQ(this->Claim("a").verdict, ClaimVerdict::MayHaveRun);
  this->Advance(hours(2));
  this->createdAt = this->context.proposedAt;
  EXPECT_EQ(this->Claim("a").verdict, ClaimVerdict::Granted);
}

// Until the control group has assigned an incarnation, the group may be a re-formed one that lost
// its records.
TEST_F(ClaimRegistryTest, GroupWithoutIncarnationGrantsNothing)
{
  this->context.incarnation = Incarnation();
  EXPECT_EQ(this->Claim("a").verdict, ClaimVerdict::NotReady);
  this->context.incarnation = Incarnation(1);
  EXPECT_EQ(this->Claim("a").verdict, ClaimVerdict::Granted);
}

TEST_F(ClaimRegistryTest, ReleaseInAGroupWithoutIncarnationFreesNothing)
{
  this->context.incarnation = Incarnation();
  this->Settle(ClaimVerb::Release, "a");
  this->context.incarnation = Incarnation(2);
  EXPECT_EQ(this->Claim("b").verdict, ClaimVerdict::MayHaveRun);
}

TEST_F(ClaimRegistryTest, ReformedGroupGrantsCallersOwnKeysOnlyAfterTheRetention)
{
  this->context.incarnation = Incarnation(2);
  EXPECT_EQ(this->Claim("a").verdict, ClaimVerdict::MayHaveRun);
  this->Advance(hours(48));
  EXPECT_EQ(this->Claim("a").verdict, ClaimVerdict::Granted);
}

TEST_F(ClaimRegistryTest, FullRegistryRefusesNewKeysAndKeepsTheOld)
{
  for (const char* key : { "k1", "k2", "k3", "k4" }) {
    ClaimCommand command = this->Command("a");
    command.key = IdempotencyKey(key);
    const bool room = std::string(key) != "k4";
    EXPECT_EQ(this->Apply(command).verdict, room ? ClaimVerdict::Granted : ClaimVerdict::Full);
  }
}

TEST_F(ClaimRegistryTest, DropsOldestAnswersFirstAndKeepsTheirKeys)
{
  for (const char* key : { "k1", "k2" }) {
    ClaimCommand command = this->Command("a");
    command.key = IdempotencyKey(key);
    this->Apply(command);
    command.verb = ClaimVerb::Finish;
    command.answer->body = std::string(60, 'x');
    this->Apply(command);
  }
  ClaimCommand again = this->Command("b");
  again.key = IdempotencyKey("k1");
  EXPECT_EQ(this->Apply(again).verdict, ClaimVerdict::AnswerDropped);
  again.key = IdempotencyKey("k2");
  EXPECT_EQ(this->Apply(again).verdict, ClaimVerdict::Kept);
}

} // namespace
} // namespace damasklink
