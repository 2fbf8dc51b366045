#include "damasklink/coordination/TargetRateLimiter.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const HostId kSelf("self");
const TargetId kTarget("t");

class TargetRateLimiterTest : public testing::Test
{
protected:
  TargetRateLimiterTest()
  {
    this->record.id = kTarget;
    this->record.incarnation = Incarnation(1);
  }

  void Answer(std::optional<double> aPerSecond, Duration aTook = Duration::zero())
  {
    std::optional<RequestRate> limit;
    if (aPerSecond) {
      limit = RequestRate{ *aPerSecond };
    }
    this->limits.OnAnswer(this->record, limit, this->clock.MonotonicNow() - aTook);
  }

  void SetShare(double aShare, const std::set<HostId>& aHosts = { kSelf })
  {
    this->limits.SetShares(
      { TargetLimit{ kTarget, Incarnation(1), RequestRate{ 4 }, RequestRate{ aShare }, aHosts } });
  }

  ManualClock clock;
  TargetRateLimiter limits{ this->clock, kSelf };
  TargetRecord record;
};

TEST_F(TargetRateLimiterTest, SendsNothingBeforeItHasAShare)
{
  EXPECT_TRUE(this->limits.MaySend(kTarget));
  this->Answer(4);
  this->clock.Advance(seconds(20));
  EXPECT_FALSE(this->limits.MaySend(kTarget));
  EXPECT_EQ(this->limits.TakeReports(),
            (std::vector<LimitReport>{ { kTarget, Incarnation(1), RequestRate{ 4 } } }));
}

TEST_F(TargetRateLimiterTest, ShareStartsEmptyAndDoesNotAccumulate)
{
  this->SetShare(2);
  EXPECT_FALSE(this->limits.MaySend(kTarget));
  this->clock.Advance(milliseconds(500));
  EXPECT_TRUE(this->limits.MaySend(kTarget));
  this->clock.Advance(seconds(60));
  this->limits.OnSent(kTarget);
  EXPECT_FALSE(this->limits.MaySend(kTarget));
  EXPECT_EQ(this->limits.TimeUntilPermit({ this->record }), milliseconds(500));
}

TEST_F(TargetRateLimiterTest, DoesNotUseSharesOfOtherHosts)
{
  this->SetShare(2, { HostId("other") });
  this->clock.Advance(seconds(20));
  EXPECT_FALSE(this->limits.MaySend(kTarget));
  EXPECT_EQ(this->limits.TimeUntilPermit({ this->record }), std::nullopt);
}

TEST_F(TargetRateLimiterTest, RepeatedSharesDoNotRefillPermits)
{
  this->SetShare(1);
  for (int repeat = 0; repeat < 100; ++repeat) {
    this->SetShare(1);
  }
  EXPECT_FALSE(this->limits.MaySend(kTarget));
  this->clock.Advance(seconds(1));
  this->SetShare(1);
  EXPECT_TRUE(this->limits.MaySend(kTarget));
}

TEST_F(TargetRateLimiterTest, AnswerToAnEarlierRequestDoesNotLiftTheLimit)
{
  this->Answer(4);
  this->clock.Advance(seconds(1));
  this->Answer(std::nullopt, seconds(5));
  EXPECT_FALSE(this->limits.MaySend(kTarget));
  this->Answer(std::nullopt, milliseconds(100));
  EXPECT_TRUE(this->limits.MaySend(kTarget));
  EXPECT_EQ(this->limits.TakeReports(),
            (std::vector<LimitReport>{ { kTarget, Incarnation(1), std::nullopt } }));
}

TEST_F(TargetRateLimiterTest, SharesOlderThanTheReportDoNotLiftTheLimit)
{
  this->Answer(4);
  this->limits.SetShares({});
  EXPECT_FALSE(this->limits.MaySend(kTarget));
  this->clock.Advance(TargetRateLimiter::kReportInFlight);
  this->limits.SetShares({});
  EXPECT_TRUE(this->limits.MaySend(kTarget));
}

TEST_F(TargetRateLimiterTest, ResendAllQueuesEveryKnownLimit)
{
  this->SetShare(2);
  EXPECT_TRUE(this->limits.TakeReports().empty());
  this->limits.ResendAll();
  EXPECT_EQ(this->limits.TakeReports().size(), 1U);
}

TEST_F(TargetRateLimiterTest, RestartRemovesTheLimit)
{
  this->Answer(4);
  this->limits.OnRestart(kTarget);
  EXPECT_TRUE(this->limits.IsEmpty());
}

constexpr Duration kColdFor = seconds(3);

TargetLimit
ColdShare(double aShare, const std::set<HostId>& aHosts)
{
  return TargetLimit{
    kTarget, Incarnation(1), std::nullopt, RequestRate{ aShare }, aHosts, kColdFor
  };
}

TEST_F(TargetRateLimiterTest, SendsNothingToAColdTargetWithoutAShare)
{
  this->limits.OnCold(this->record, kColdFor);
  EXPECT_FALSE(this->limits.MaySend(kTarget));
  EXPECT_EQ(this->limits.TimeUntilPermit({ this->record }), kColdFor);
  this->clock.Advance(kColdFor);
  EXPECT_TRUE(this->limits.MaySend(kTarget));
  EXPECT_TRUE(this->limits.TakeReports().empty());
  EXPECT_TRUE(this->limits.IsEmpty());
}

TEST_F(TargetRateLimiterTest, SpendsShareOfAColdTargetEvenly)
{
  this->limits.OnCold(this->record, kColdFor);
  this->limits.SetShares({ ColdShare(2, { kSelf }) });
  EXPECT_TRUE(this->limits.MaySend(kTarget));
  this->limits.OnSent(kTarget);
  this->clock.Advance(milliseconds(499));
  EXPECT_FALSE(this->limits.MaySend(kTarget));
  this->clock.Advance(milliseconds(1));
  EXPECT_TRUE(this->limits.MaySend(kTarget));
}

TEST_F(TargetRateLimiterTest, HostsStartSendingToAColdTargetInTurn)
{
  this->limits.SetShares({ ColdShare(1, { HostId("a"), HostId("b"), HostId("c"), kSelf }) });
  EXPECT_FALSE(this->limits.MaySend(kTarget));
  this->clock.Advance(milliseconds(750));
  EXPECT_TRUE(this->limits.MaySend(kTarget));
}

// A share that is moved to another host and back must not start with new permits each time.
TEST_F(TargetRateLimiterTest, ReturnedShareDoesNotRefillPermits)
{
  this->limits.SetShares({ ColdShare(1, { kSelf }) });
  this->limits.OnSent(kTarget);
  this->limits.SetShares({ ColdShare(1, { HostId("other") }) });
  this->limits.SetShares({ ColdShare(1, { kSelf }) });
  EXPECT_FALSE(this->limits.MaySend(kTarget));
}

TEST_F(TargetRateLimiterTest, SharesWithoutTheColdTargetKeepItLimited)
{
  this->limits.OnCold(this->record, kColdFor);
  this->limits.SetShares({});
  EXPECT_FALSE(this->limits.MaySend(kTarget));
}

TEST_F(TargetRateLimiterTest, AnswerWithoutLimitDoesNotEndTheColdPeriod)
{
  this->limits.OnCold(this->record, kColdFor);
  this->clock.Advance(milliseconds(10));
  this->Answer(std::nullopt);
  EXPECT_FALSE(this->limits.MaySend(kTarget));
  EXPECT_TRUE(this->limits.TakeReports().empty());
}

// All shares are sent whenever one of them changes, which must not restart the cold period.
TEST_F(TargetRateLimiterTest, RepeatedSharesDoNotExtendTheColdPeriod)
{
  this->limits.OnCold(this->record, kColdFor);
  this->limits.SetShares({ ColdShare(1, { kSelf }) });
  this->clock.Advance(kColdFor - milliseconds(1));
  this->limits.SetShares({ ColdShare(1, { kSelf }) });
  this->limits.OnSent(kTarget);
  this->clock.Advance(milliseconds(1));
  EXPECT_TRUE(this->limits.MaySend(kTarget));
}

TEST_F(TargetRateLimiterTest, NewHostLearnsOfAColdTargetFromShares)
{
  this->limits.SetShares({ ColdShare(1, { HostId("other") }) });
  EXPECT_FALSE(this->limits.MaySend(kTarget));
  this->clock.Advance(kColdFor);
  EXPECT_TRUE(this->limits.MaySend(kTarget));
}

} // namespace
} // namespace damasklink
