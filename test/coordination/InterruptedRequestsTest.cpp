#include "damasklink/coordination/InterruptedRequests.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

using std::chrono::milliseconds;

const Endpoint kAddress{ "10.1.0.9", 8080 };

TargetRecord
Target(const std::string& aId, std::uint64_t aIncarnation, const Endpoint& aAddress = kAddress)
{
  TargetRecord record;
  record.id = TargetId(aId);
  record.incarnation = Incarnation(aIncarnation);
  record.endpoint = aAddress;
  return record;
}

CrashReport
Report(std::uint64_t aRequest, const std::string& aTarget = "t", std::uint64_t aIncarnation = 1)
{
  return CrashReport{ RequestFingerprint(aRequest),
                      WorkspaceId("w"),
                      ServiceName("s"),
                      TargetId(aTarget),
                      Incarnation(aIncarnation) };
}

class InterruptedRequestsTest : public testing::Test
{
protected:
  ManualClock clock;
  InterruptedRequests requests{ this->clock };
};

TEST_F(InterruptedRequestsTest, RestartUnderTheSameIdConfirmsTheCrash)
{
  this->requests.Add(Report(1), kAddress);
  EXPECT_TRUE(this->requests.TakeConfirmedByStart(Target("t", 1)).empty());
  EXPECT_EQ(this->requests.TakeConfirmedByStart(Target("t", 2)),
            std::vector<CrashReport>{ Report(1) });
  EXPECT_TRUE(this->requests.IsEmpty());
}

TEST_F(InterruptedRequestsTest, AnotherIdAtTheSameAddressConfirmsTheCrash)
{
  this->requests.Add(Report(1), kAddress);
  EXPECT_TRUE(
    this->requests.TakeConfirmedByStart(Target("other", 0, Endpoint{ "10.1.0.9", 8081 })).empty());
  EXPECT_EQ(this->requests.TakeConfirmedByStart(Target("other", 0)),
            std::vector<CrashReport>{ Report(1) });
}

TEST_F(InterruptedRequestsTest, LateStartConfirmsNothing)
{
  this->requests.Add(Report(1), kAddress);
  this->clock.Advance(InterruptedRequests::kRestartWindow + milliseconds(1));
  EXPECT_TRUE(this->requests.TakeConfirmedByStart(Target("t", 2)).empty());
}

TEST_F(InterruptedRequestsTest, LateStartOfASilentTargetConfirmsPartsOnly)
{
  CrashReport silent = Report(1);
  silent.parts = { RequestFingerprint(100) };
  silent.silent = true;
  this->requests.Add(silent, kAddress);
  this->requests.Add(Report(2), kAddress);
  this->requests.OnServiceUnreachable(ServiceName("s"));
  this->clock.Advance(InterruptedRequests::kRestartWindow + milliseconds(1));
  const std::vector<CrashReport> confirmed = this->requests.TakeConfirmedByStart(Target("t", 2));
  ASSERT_EQ(confirmed.size(), 1U);
  EXPECT_EQ(confirmed[0].request, RequestFingerprint());
  EXPECT_EQ(confirmed[0].parts, silent.parts);
}

TEST_F(InterruptedRequestsTest, SilenceConfirmsTheCrash)
{
  this->requests.Add(Report(1), kAddress);
  this->requests.Add(Report(2, "u"), kAddress);
  this->clock.Advance(InterruptedRequests::kSilenceWindow);
  EXPECT_EQ(this->requests.TakeConfirmedBySilence(Target("t", 1)),
            std::vector<CrashReport>{ Report(1).Aged(InterruptedRequests::kSilenceWindow) });
  EXPECT_FALSE(this->requests.IsEmpty());
}

// Guards against accusing parts of requests that were sent to a target when it had already ended.
TEST_F(InterruptedRequestsTest, PartsOfTheFirstRequestsToASilentTargetAreReported)
{
  for (const std::uint64_t number : { 1, 2, 3 }) {
    CrashReport report = Report(number);
    report.parts = { RequestFingerprint(100 + number) };
    report.sentAgo = std::chrono::seconds(4);
    this->requests.Add(report, kAddress);
    this->clock.Advance(milliseconds(150));
  }
  const std::vector<CrashReport> reports = this->requests.TakeConfirmedBySilence(Target("t", 1));
  ASSERT_EQ(reports.size(), 3U);
  EXPECT_EQ(reports[0].parts.size(), 1U);
  EXPECT_EQ(reports[1].parts.size(), 1U);
  EXPECT_TRUE(reports[2].parts.empty());
  EXPECT_EQ(reports[0].sentAgo, milliseconds(4450));
  EXPECT_EQ(reports[0].brokenAgo, milliseconds(4250));
  EXPECT_EQ(reports[1].brokenAgo, milliseconds(4250));
}

// Guards against accusing the requests of a host that is cut off, and against losing the evidence
// when all targets of a service have crashed.
TEST_F(InterruptedRequestsTest, OnlyAStartConfirmsCrashesAtAnUnreachableService)
{
  CrashReport report = Report(1);
  report.parts = { RequestFingerprint(100) };
  this->requests.Add(report, kAddress);
  this->requests.Add(Report(2), kAddress);
  this->requests.OnServiceUnreachable(report.service);
  EXPECT_TRUE(this->requests.TakeConfirmedBySilence(Target("t", 1)).empty());
  // Whole requests are not accused.
  report.request = RequestFingerprint();
  EXPECT_EQ(this->requests.TakeConfirmedByStart(Target("t", 2)),
            std::vector<CrashReport>{ report });
}

// A target may break or garble a single answer and keep running.
TEST_F(InterruptedRequestsTest, AnswerToALaterRequestClearsTheTarget)
{
  this->requests.Add(Report(1), kAddress);
  this->clock.Advance(milliseconds(1));
  this->requests.OnAnswered(TargetId("t"), Incarnation(1), this->clock.MonotonicNow());
  EXPECT_TRUE(this->requests.TakeConfirmedBySilence(Target("t", 1)).empty());
}

TEST_F(InterruptedRequestsTest, AnswerToAnEarlierRequestClearsNothing)
{
  const MonotonicTime before = this->clock.MonotonicNow();
  this->clock.Advance(milliseconds(1));
  this->requests.Add(Report(1), kAddress);
  this->requests.OnAnswered(TargetId("t"), Incarnation(1), before);
  EXPECT_EQ(this->requests.TakeConfirmedBySilence(Target("t", 1)).size(), 1U);
}

TEST_F(InterruptedRequestsTest, KeepsNoMoreThanTheMaximum)
{
  for (std::uint64_t request = 0; request <= InterruptedRequests::kMaxInterrupted; ++request) {
    this->requests.Add(Report(request), kAddress);
  }
  EXPECT_EQ(this->requests.TakeConfirmedBySilence(Target("t", 1)).size(),
            InterruptedRequests::kMaxInterrupted);
}

} // namespace
} // namespace damasklink
