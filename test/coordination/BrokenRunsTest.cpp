#include "damasklink/coordination/BrokenRuns.h"

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

class BrokenRunsTest : public testing::Test
{
protected:
  ManualClock clock;
  BrokenRuns runs{ this->clock };
};

TEST_F(BrokenRunsTest, ALaterStartUnderTheSameIdProvesTheEnd)
{
  this->runs.Note(Broken(1), kAddress);
  EXPECT_TRUE(this->runs.TakeEndedBy(Target("t", 1)).empty());
  EXPECT_EQ(this->runs.TakeEndedBy(Target("t", 2)), std::vector<CrashReport>{ Broken(1) });
  EXPECT_TRUE(this->runs.IsEmpty());
}

TEST_F(BrokenRunsTest, AnotherIdAtTheSameAddressProvesTheEnd)
{
  this->runs.Note(Broken(1), kAddress);
  EXPECT_TRUE(this->runs.TakeEndedBy(Target("other", 0, Endpoint{ "10.1.0.9", 8081 })).empty());
  EXPECT_EQ(this->runs.TakeEndedBy(Target("other", 0)), std::vector<CrashReport>{ Broken(1) });
}

TEST_F(BrokenRunsTest, AStartLongAfterwardsProvesNothing)
{
  this->runs.Note(Broken(1), kAddress);
  this->clock.Advance(BrokenRuns::kStartsWithin + milliseconds(1));
  EXPECT_TRUE(this->runs.TakeEndedBy(Target("t", 2)).empty());
}

TEST_F(BrokenRunsTest, ATargetThatIsSilentAfterwardsHasEnded)
{
  this->runs.Note(Broken(1), kAddress);
  this->runs.Note(Broken(2, "u"), kAddress);
  this->clock.Advance(BrokenRuns::kSilentWithin);
  EXPECT_EQ(this->runs.TakeSilent(Target("t", 1)), std::vector<CrashReport>{ Broken(1) });
  EXPECT_FALSE(this->runs.IsEmpty());
}

// Guards against targets that break or garble single answers and go on.
TEST_F(BrokenRunsTest, ATargetThatAnswersWhatCameLaterHasNotEnded)
{
  this->runs.Note(Broken(1), kAddress);
  this->clock.Advance(milliseconds(1));
  this->runs.OnAnswered(TargetId("t"), Incarnation(1), this->clock.MonotonicNow());
  EXPECT_TRUE(this->runs.TakeSilent(Target("t", 1)).empty());
}

TEST_F(BrokenRunsTest, AnAnswerToAnEarlierRequestSaysNothing)
{
  const MonotonicTime before = this->clock.MonotonicNow();
  this->clock.Advance(milliseconds(1));
  this->runs.Note(Broken(1), kAddress);
  this->runs.OnAnswered(TargetId("t"), Incarnation(1), before);
  EXPECT_EQ(this->runs.TakeSilent(Target("t", 1)).size(), 1U);
}

TEST_F(BrokenRunsTest, OnlySoManyAreKept)
{
  for (std::uint64_t request = 0; request <= BrokenRuns::kMostRuns; ++request) {
    this->runs.Note(Broken(request), kAddress);
  }
  EXPECT_EQ(this->runs.TakeSilent(Target("t", 1)).size(), BrokenRuns::kMostRuns);
}

} // namespace
} // namespace damasklink
