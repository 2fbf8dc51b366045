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
    this->limiter.OnAnswer(this->record, limit, this->clock.MonotonicNow() - aTook);
  }

  void SetShare(double aShare, const std::set<HostId>& aHosts = { kSelf })
  {
    this->limiter.SetShares(
      { TargetLimit{ kTarget, Incarnation(1), RequestRate{ 4 }, RequestRate{ aShare }, aHosts } });
  }

  ManualClock clock;
  TargetRateLimiter limiter{ this->clock, kSelf };
  TargetRecord record;
};

TEST_F(TargetRateLimiterTest, SendsNothingBeforeItHasAShare)
{
  EXPECT_TRUE(this->limiter.MaySend(kTarget));
  this->Answer(4);
  this->clock.Advance(seconds(20));
  EXPECT_FALSE(this->limiter.MaySend(kTarget));
  EXPECT_EQ(this->limiter.TakeReports(),
            (std::vector<LimitReport>{ { kTarget, Incarnation(1), RequestRate{ 4 } } }));
}

TEST_F(TargetRateLimiterTest, ShareStartsEmptyAndDoesNotAccumulate)
{
  this->SetShare(2);
  EXPECT_FALSE(this->limiter.MaySend(kTarget));
  this->clock.Advance(milliseconds(500));
  EXPECT_TRUE(this->limiter.MaySend(kTarget));
  this->clock.Advance(seconds(60));
  this->limiter.OnSent(kTarget);
  EXPECT_FALSE(this->limiter.MaySend(kTarget));
  EXPECT_EQ(this->limiter.TimeUntilPermit({ this->record }), milliseconds(500));
}

TEST_F(TargetRateLimiterTest, DoesNotUseSharesOfOtherHosts)
{
  this->SetShare(2, { HostId("other") });
  this->clock.Advance(seconds(20));
  EXPECT_FALSE(this->limiter.MaySend(kTarget));
  EXPECT_EQ(this->limiter.TimeUntilPermit({ this->record }), std::nullopt);
}

TEST_F(TargetRateLimiterTest, RepeatedSharesDoNotRefillPermits)
{
  this->SetShare(1);
  for (int repeat = 0; repeat < 100; ++repeat) {
    this->SetShare(1);
  }
  EXPECT_FALSE(this->limiter.MaySend(kTarget));
  this->clock.Advance(seconds(1));
  this->SetShare(1);
  EXPECT_TRUE(this->limiter.MaySend(kTarget));
}

TEST_F(TargetRateLimiterTest, AnswerToAnEarlierRequestDoesNotLiftTheLimit)
{
  this->Answer(4);
  this->clock.Advance(seconds(1));
  this->Answer(std::nullopt, seconds(5));
  EXPECT_FALSE(this->limiter.MaySend(kTarget));
  this->Answer(std::nullopt, milliseconds(100));
  EXPECT_TRUE(this->limiter.MaySend(kTarget));
  EXPECT_EQ(this->limiter.TakeReports(),
            (std::vector<LimitReport>{ { kTarget, Incarnation(1), std::nullopt } }));
}

TEST_F(TargetRateLimiterTest, SharesOlderThanTheReportDoNotLiftTheLimit)
{
  this->Answer(4);
  this->limiter.SetShares({});
  EXPECT_FALSE(this->limiter.MaySend(kTarget));
  this->clock.Advance(TargetRateLimiter::kReportInFlight);
  this->limiter.SetShares({});
  EXPECT_TRUE(this->limiter.MaySend(kTarget));
}

TEST_F(TargetRateLimiterTest, ResendAllQueuesEveryKnownLimit)
{
  this->SetShare(2);
  EXPECT_TRUE(this->limiter.TakeReports().empty());
  this->limiter.ResendAll();
  EXPECT_EQ(this->limiter.TakeReports().size(), 1U);
}

TEST_F(TargetRateLimiterTest, RestartRemovesTheLimit)
{
  this->Answer(4);
  this->limiter.OnRestart(kTarget);
  EXPECT_TRUE(this->limiter.IsEmpty());
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
  this->limiter.OnCold(this->record, kColdFor);
  EXPECT_FALSE(this->limiter.MaySend(kTarget));
  EXPECT_EQ(this->limiter.TimeUntilPermit({ this->record }), kColdFor);
  this->clock.Advance(kColdFor);
  EXPECT_TRUE(this->limiter.MaySend(kTarget));
  EXPECT_TRUE(this->limiter.TakeReports().empty());
  EXPECT_TRUE(this->limiter.IsEmpty());
}

TEST_F(TargetRateLimiterTest, SpendsShareOfAColdTargetEvenly)
{
  this->limiter.OnCold(this->record, kColdFor);
  this->limiter.SetShares({ ColdShare(2, { kSelf }) });
  EXPECT_TRUE(this->limiter.MaySend(kTarget));
  this->limiter.OnSent(kTarget);
  this->clock.Advance(milliseconds(499));
  EXPECT_FALSE(this->limiter.MaySend(kTarget));
  this->clock.Advance(milliseconds(1));
  EXPECT_TRUE(this->limiter.MaySend(kTarget));
}

TEST_F(TargetRateLimiterTest, HostsStartSendingToAColdTargetInTurn)
{
  this->limiter.SetShares({ ColdShare(1, { HostId("a"), HostId("b"), HostId("c"), kSelf }) });
  EXPECT_FALSE(this->limiter.MaySend(kTarget));
  this->clock.Advance(milliseconds(750));
  EXPECT_TRUE(this->limiter.MaySend(kTarget));
}

// A share that is moved to another host and back must not start with new permits each time.
TEST_F(TargetRateLimiterTest, ReturnedShareDoesNotRefillPermits)
{
  this->limiter.SetShares({ ColdShare(1, { kSelf }) });
  this->limiter.OnSent(kTarget);
  this->limiter.SetShares({ ColdShare(1, { HostId("other") }) });
  this->limiter.SetShares({ ColdShare(1, { kSelf }) });
  EXPECT_FALSE(this->limiter.MaySend(kTarget));
}

TEST_F(TargetRateLimiterTest, SharesWithoutTheColdTargetKeepItLimited)
{
  this->limiter.OnCold(this->record, kColdFor);
  this->limiter.SetShares({});
  EXPECT_FALSE(this->limiter.MaySend(kTarget));
}

TEST_F(TargetRateLimiterTest, AnswerWithoutLimitDoesNotEndTheColdPeriod)
{
  this->limiter.OnCold(this->record, kColdFor);
  this->clock.Advance(milliseconds(10));
  this->Answer(std::nullopt);
  EXPECT_FALSE(this->limiter.MaySend(kTarget));
  EXPECT_TRUE(this->limiter.TakeReports().empty());
}

// All shares are sent whenever one of them changes, which must not restart the cold period.
TEST_F(TargetRateLimiterTest, RepeatedSharesDoNotExtendTheColdPeriod)
{
  this->limiter.OnCold(this->record, kColdFor);
  this->limiter.SetShares({ ColdShare(1, { kSelf }) });
  this->clock.Advance(kColdFor - milliseconds(1));
  this->limiter.SetShares({ ColdShare(1, { kSelf }) });
  this->limiter.OnSent(kTarget);
  this->clock.Advance(milliseconds(1));
  EXPECT_TRUE(this->limiter.MaySend(kTarget));
}

TEST_F(TargetRateLimiterTest, NewHostLearnsOfAColdTargetFromShares)
{
  this->limiter.SetShares({ ColdShare(1, { HostId("other") }) });
  EXPECT_FALSE(this->limiter.MaySend(kTarget));
  this->clock.Advance(kColdFor);
  EXPECT_TRUE(this->limiter.MaySend(kTarget));
}

} // namespace
} // namespace damasklink
