#include "damasklink/coordination/ProposalForwarder.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

const GroupId kGroup("control");
const std::vector<HostId> kVoters{ HostId("a"), HostId("b") };

class ProposalForwarderTest : public ::testing::Test
{
protected:
  void Start()
  {
    this->forwarder.Start(kGroup,
                          kVoters,
                          StateMachineId::Configuration,
                          "command",
                          std::chrono::seconds(3),
                          [this](const Result<std::string>& aAnswer) {
                            this->ended = aAnswer
                                            ? aAnswer.value()
                                            : std::string(ErrorKindName(aAnswer.error().kind));
                          });
  }

  void StartLarge(int aCount, std::size_t aBytes)
  {
    for (int count = 0; count < aCount; ++count) {
      this->forwarder.Start(kGroup,
                            kVoters,
                            StateMachineId::Configuration,
                            std::string(aBytes, 'x'),
                            std::chrono::seconds(30),
                            [this](const Result<std::string>&) { ++this->largeAnswered; });
    }
  }

  // Takes the only message to be sent.
  AgreementMessage Sent()
  {
    const auto messages = this->forwarder.TakeMessages();
    EXPECT_EQ(messages.size(), 1U);
    return messages.empty() ? AgreementMessage{} : messages.front();
  }

  // Makes the host that got the message refuse the proposal.
  void Refuse(const AgreementMessage& aMessage, const HostId& aLeader = HostId())
  {
    const auto& proposal = std::get<ForwardedProposal>(aMessage.body);
    AgreementMessage refusal;
    refusal.group = kGroup;
    refusal.fromHost = aMessage.toHost;
    refusal.body = ProposalRefusal{ proposal.proposal, proposal.attempt, aLeader };
    this->forwarder.Receive(refusal);
  }

  void Advance(Duration aStep)
  {
    this->clock.Advance(aStep);
    this->forwarder.Tick();
  }

  ManualClock clock;
  ProposalForwarder forwarder{ clock, HostId("c"), 7 };
  std::string ended;
  int largeAnswered = 0;
};

TEST_F(ProposalForwarderTest, RedirectsToLeaderNamedInRefusal)
{
  this->Start();
  const AgreementMessage first = this->Sent();
  const HostId other = first.toHost == kVoters[0] ? kVoters[1] : kVoters[0];
  this->Refuse(first, other);
  EXPECT_EQ(this->Sent().toHost, other);
}

TEST_F(ProposalForwarderTest, TriesAnotherHostAfterAttemptTimeout)
{
  this->Start();
  const HostId first = this->Sent().toHost;
  this->Advance(std::chrono::seconds(1));
  EXPECT_NE(this->Sent().toHost, first);
}

TEST_F(ProposalForwarderTest, ResendsAtOnceToReportedLeader)
{
  this->Start();
  const HostId first = this->Sent().toHost;
  const HostId leader = first == kVoters[0] ? kVoters[1] : kVoters[0];
  this->forwarder.ReportLeader(kGroup, leader);
  EXPECT_EQ(this->Sent().toHost, leader);
  // Not sent again when the same leader is reported again, since that leader may refuse.
  this->forwarder.ReportLeader(kGroup, leader);
  EXPECT_TRUE(this->forwarder.TakeMessages().empty());
}

TEST_F(ProposalForwarderTest, ReturnsUnavailableWhenAllHostsRefuse)
{
  this->Start();
  for (int attempt = 0; attempt < 100 && this->ended.empty(); ++attempt) {
    for (const AgreementMessage& message : this->forwarder.TakeMessages()) {
      this->Refuse(message);
    }
    this->Advance(std::chrono::milliseconds(100));
  }
  EXPECT_EQ(this->ended, "unavailable");
}

TEST_F(ProposalForwarderTest, ReturnsDeadlineExceededWhenOneHostIsSilent)
{
  this->Start();
  this->forwarder.TakeMessages();
  this->Advance(std::chrono::seconds(1));
  this->Refuse(this->Sent());
  this->Advance(std::chrono::seconds(2));
  EXPECT_EQ(this->ended, "deadline_exceeded");
}

TEST_F(ProposalForwarderTest, LimitsRedirectsBetweenHostsThatNameEachOther)
{
  this->Start();
  int sent = 0;
  for (auto messages = this->forwarder.TakeMessages(); !messages.empty() && sent < 100;
       messages = this->forwarder.TakeMessages()) {
    ++sent;
    const HostId asked = messages.front().toHost;
    this->Refuse(messages.front(), asked == kVoters[0] ? kVoters[1] : kVoters[0]);
  }
  EXPECT_LT(sent, 10);
}

TEST_F(ProposalForwarderTest, AnswerCompletesProposal)
{
  this->Start();
  const AgreementMessage sent = this->Sent();
  AgreementMessage answer;
  answer.group = kGroup;
  answer.fromHost = sent.toHost;
  answer.body = ProposalAnswer{ std::get<ForwardedProposal>(sent.body).proposal, "done" };
  this->forwarder.Receive(answer);
  EXPECT_EQ(this->ended, "done");
  EXPECT_EQ(this->forwarder.LastLeader(kGroup), sent.toHost);
}

TEST_F(ProposalForwarderTest, ReturnsUnavailableAtOnceWithoutVoters)
{
  this->forwarder.Start(
    kGroup, {}, StateMachineId::Claims, "", std::chrono::seconds(1), [this](const auto& aAnswer) {
      this->ended = ErrorKindName(aAnswer.error().kind);
    });
  EXPECT_EQ(this->ended, "unavailable");
}

// Guards against a connection that is closed because a host hands it all its proposals at once.
TEST_F(ProposalForwarderTest, SendsNoMoreThanOneConnectionHolds)
{
  this->forwarder.ReportLeader(kGroup, kVoters[0]);
  this->StartLarge(5, std::size_t{ 700 } * 1024);
  std::vector<AgreementMessage> open = this->forwarder.TakeMessages();
  EXPECT_EQ(open.size(), 2U);
  while (!open.empty()) {
    AgreementMessage answer;
    answer.group = kGroup;
    answer.fromHost = open.front().toHost;
    answer.body =
      ProposalAnswer{ std::get<ForwardedProposal>(open.front().body).proposal, "applied" };
    open.erase(open.begin());
    this->forwarder.Receive(answer);
    for (AgreementMessage& message : this->forwarder.TakeMessages()) {
      open.push_back(std::move(message));
    }
    EXPECT_LE(open.size(), 2U);
  }
  EXPECT_EQ(this->largeAnswered, 5);
}

// Guards against the same with a leader that is reported while proposals wait for another one.
TEST_F(ProposalForwarderTest, SendsToAReportedLeaderNoMoreThanOneConnectionHolds)
{
  this->StartLarge(5, std::size_t{ 700 } * 1024);
  const HostId first = this->forwarder.TakeMessages().front().toHost;
  const HostId other = first == kVoters[0] ? kVoters[1] : kVoters[0];
  this->forwarder.ReportLeader(kGroup, other);
  EXPECT_EQ(this->forwarder.TakeMessages().size(), 2U);
  this->Advance(std::chrono::seconds(1));
  EXPECT_EQ(this->forwarder.TakeMessages().size(), 2U);
}

// Guards against reads that wait for large changes whose answers were lost.
TEST_F(ProposalForwarderTest, SmallProposalsDoNotWaitForLargeOnes)
{
  this->forwarder.ReportLeader(kGroup, kVoters[0]);
  this->StartLarge(2, std::size_t{ 2 } * 1024 * 1024);
  const auto sent = this->forwarder.TakeMessages();
  ASSERT_EQ(sent.size(), 1U);
  this->Start();
  EXPECT_EQ(this->Sent().toHost, sent.front().toHost);
}

// Guards against a proposal that is sent again because an earlier attempt was refused late.
TEST_F(ProposalForwarderTest, LateRefusalOfAnEarlierAttemptSendsNothing)
{
  this->Start();
  const AgreementMessage first = this->Sent();
  this->Advance(std::chrono::seconds(1));
  EXPECT_NE(this->Sent().toHost, first.toHost);
  this->Refuse(first);
  this->Advance(std::chrono::milliseconds(200));
  EXPECT_TRUE(this->forwarder.TakeMessages().empty());
}

} // namespace
} // namespace damasklink
