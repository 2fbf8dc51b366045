#include "damasklink/coordination/InterruptedRequests.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

using std::chrono::milliseconds;

const Endpoint kAddress{ "10.1.0.9", 8080 };

TargetRecord
Target(const std::string& aId, std::uint64_t aStart, const Endpoint& aAddress = kAddress)
{
  TargetRecord record;
  record.id = TargetId(aId);
  record.incarnation = Incarnation(aStart);
  record.endpoint = aAddress;
  return record;
}

CrashReport
Broken(std::uint64_t aRequest, const std::string& aTarget = "t", std::uint64_t aStart = 1)
{
  return CrashReport{ RequestFingerprint(aRequest),
                      WorkspaceId("w"),
                      ServiceName("s"),
                      TargetId(aTarget),
                      Incarnation(aStart) };
}

class InterruptedRequestsTest : public testing::Test
{
protected:
  ManualClock clock;
  InterruptedRequests runs{ this->clock };
};

TEST_F(InterruptedRequestsTest, RestartUnderTheSameIdConfirmsTheCrash)
{
  this->runs.Note(Broken(1), kAddress);
  EXPECT_TRUE(this->runs.TakeConfirmedByStart(Target("t", 1)).empty());
  EXPECT_EQ(this->runs.TakeConfirmedByStart(Target("t", 2)), std::vector<CrashReport>{ Broken(1) });
  EXPECT_TRUE(this->runs.IsEmpty());
}

TEST_F(InterruptedRequestsTest, AnotherIdAtTheSameAddressConfirmsTheCrash)
{
  this->runs.Note(Broken(1), kAddress);
  EXPECT_TRUE(
    this->runs.TakeConfirmedByStart(Target("other", 0, Endpoint{ "10.1.0.9", 8081 })).empty());
  EXPECT_EQ(this->runs.TakeConfirmedByStart(Target("other", 0)),
            std::vector<CrashReport>{ Broken(1) });
}

TEST_F(InterruptedRequestsTest, LateStartConfirmsNothing)
{
  this->runs.Note(Broken(1), kAddress);
  this->clock.Advance(InterruptedRequests::kRestartWindow + milliseconds(1));
  EXPECT_TRUE(this->runs.TakeConfirmedByStart(Target("t", 2)).empty());
}

TEST_F(InterruptedRequestsTest, SilenceConfirmsTheCrash)
{
  this->runs.Note(Broken(1), kAddress);
  this->runs.Note(Broken(2, "u"), kAddress);
  this->clock.Advance(InterruptedRequests::kSilenceWindow);
  EXPECT_EQ(this->runs.TakeConfirmedBySilence(Target("t", 1)),
            std::vector<CrashReport>{ Broken(1) });
  EXPECT_FALSE(this->runs.IsEmpty());
}

// Guards against targets that break or garble single answers and go on.
TEST_F(InterruptedRequestsTest, AnswerToALaterRequestClearsTheTarget)
{
  this->runs.Note(Broken(1), kAddress);
  this->clock.Advance(milliseconds(1));
  this->runs.OnAnswered(TargetId("t"), Incarnation(1), this->clock.MonotonicNow());
  EXPECT_TRUE(this->runs.TakeConfirmedBySilence(Target("t", 1)).empty());
}

TEST_F(InterruptedRequestsTest, AnswerToAnEarlierRequestClearsNothing)
{
  const MonotonicTime before = this->clock.MonotonicNow();
  this->clock.Advance(milliseconds(1));
  this->runs.Note(Broken(1), kAddress);
  this->runs.OnAnswered(TargetId("t"), Incarnation(1), before);
  EXPECT_EQ(this->runs.TakeConfirmedBySilence(Target("t", 1)).size(), 1U);
}

TEST_F(InterruptedRequestsTest, KeepsNoMoreThanTheMaximum)
{
  for (std::uint64_t request = 0; request <= InterruptedRequests::kMaxInterrupted; ++request) {
    this->runs.Note(Broken(request), kAddress);
  }
  EXPECT_EQ(this->runs.TakeConfirmedBySilence(Target("t", 1)).size(),
            InterruptedRequests::kMaxInterrupted);
}

} // namespace
} // namespace damasklink
