#include "damasklink/coordination/ProposalRetrier.h"

#include <gtest/gtest.h>

#include "FakeReplicator.h"

namespace damasklink {
namespace {

class ProposalRetrierTest : public testing::Test
{
protected:
  void Start()
  {
    const MonotonicTime deadline = this->clock.MonotonicNow() + std::chrono::seconds(2);
    this->retrier.Start(
      Proposal{ GroupId("claims/north"), StateMachineId::Claims, "command", deadline },
      [this](ProposalOutcome aEnd) {
        ++this->ends;
        this->end = std::move(aEnd);
      });
  }

  void Pass(Duration aTime)
  {
    this->clock.Advance(aTime);
    this->retrier.OnTick(this->clock.MonotonicNow());
  }

  ManualClock clock;
  FakeReplicator replicator;
  ProposalRetrier retrier{ clock, replicator, ProposalRetrier::Options() };
  int ends = 0;
  std::optional<ProposalOutcome> end;
};

TEST_F(ProposalRetrierTest, RetriesSameCommandAfterDeadlineExceeded)
{
  this->Start();
  this->replicator.Answer(Fail(ErrorKind::DeadlineExceeded, "lost", ""));
  this->Pass(std::chrono::milliseconds(60));
  ASSERT_EQ(this->replicator.calls.size(), 1U);
  EXPECT_EQ(this->replicator.calls.front().command, "command");
  this->replicator.Answer(std::string("granted"));
  ASSERT_EQ(this->ends, 1);
  EXPECT_EQ(this->end->reply.value(), "granted");
}

TEST_F(ProposalRetrierTest, UnreachableGroupReportsNotApplied)
{
  this->Start();
  this->replicator.Answer(Fail(ErrorKind::Unavailable, "cut off", ""));
  this->Pass(std::chrono::seconds(2));
  ASSERT_EQ(this->ends, 1);
  EXPECT_FALSE(this->end->mayBeApplied);
}

TEST_F(ProposalRetrierTest, OneUnknownAttemptMakesOutcomeUnknown)
{
  this->Start();
  this->replicator.Answer(Fail(ErrorKind::DeadlineExceeded, "lost", ""));
  this->Pass(std::chrono::milliseconds(60));
  this->replicator.Answer(Fail(ErrorKind::NotLeader, "elsewhere", ""));
  this->Pass(std::chrono::seconds(2));
  ASSERT_EQ(this->ends, 1);
  EXPECT_TRUE(this->end->mayBeApplied);
}

TEST_F(ProposalRetrierTest, EndsAtDeadlineAndIgnoresLateAnswer)
{
  this->Start();
  this->Pass(std::chrono::seconds(2));
  ASSERT_EQ(this->ends, 1);
  EXPECT_TRUE(this->end->mayBeApplied);
  this->replicator.Answer(std::string("granted"));
  EXPECT_EQ(this->ends, 1);
  EXPECT_EQ(this->retrier.Pending(), 0U);
}

} // namespace
} // namespace damasklink
