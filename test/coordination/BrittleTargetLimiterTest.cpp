#include "damasklink/coordination/BrittleTargetLimiter.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr RequestRate kTolerated{ 3 };

class BrittleTargetLimiterTest : public testing::Test
{
protected:
  BrittleTargetLimiterTest()
  {
    this->target.id = TargetId("t");
    this->target.service = ServiceName("app");
    this->target.incarnation = Incarnation(1);
    this->target.load.slots = 12;
  }

  void SayBrittle() { this->limiter.OnAnswer(this->target, kTolerated, this->Now()); }
  bool MaySend(std::uint64_t aLoad, std::uint64_t aHosts = 1)
  {
    return this->limiter.MaySend(this->target, aLoad, aHosts);
  }
  // Sends as many requests as the host may and returns their number.
  int Fill(std::uint64_t aLoad, std::uint64_t aHosts)
  {
    int sent = 0;
    while (this->MaySend(aLoad, aHosts)) {
      this->limiter.OnSent(this->target);
      ++sent;
    }
    return sent;
  }
  MonotonicTime Now() const { return this->clock.MonotonicNow(); }

  ManualClock clock;
  BrittleTargetLimiter limiter{ this->clock, 1 };
  TargetRecord target;
};

TEST_F(BrittleTargetLimiterTest, DoesNotLimitOtherServices)
{
  EXPECT_TRUE(this->limiter.IsEmpty());
  EXPECT_TRUE(this->MaySend(1000));
  this->SayBrittle();
  EXPECT_GT(this->Fill(0, 1), 0);
  EXPECT_FALSE(this->MaySend(1000));
  this->target.service = ServiceName("other");
  this->target.id = TargetId("u");
  EXPECT_TRUE(this->MaySend(1000));
}

TEST_F(BrittleTargetLimiterTest, KeepsToItsPartOfThePlaces)
{
  this->SayBrittle();
  EXPECT_EQ(this->Fill(12, 3), 4);
  this->clock.Advance(BrittleTargetLimiter::kAdjustInterval);
  EXPECT_EQ(this->Fill(12, 3), 0);
  this->limiter.OnEnded(this->target.id, this->target.incarnation, milliseconds(20));
  EXPECT_EQ(this->Fill(12, 3), 1);
}

TEST_F(BrittleTargetLimiterTest, RejectionCostsThePlaceForAWhile)
{
  this->SayBrittle();
  EXPECT_EQ(this->Fill(12, 3), 4);
  this->limiter.OnEnded(this->target.id, this->target.incarnation, std::nullopt);
  this->limiter.OnRejected(this->target);
  EXPECT_EQ(this->Fill(12, 3), 0);
  this->clock.Advance(BrittleTargetLimiter::kAdjustInterval);
  EXPECT_EQ(this->Fill(12, 3), 0);
}

// Guards against hosts that each send to a target that has fewer places than there are hosts.
TEST_F(BrittleTargetLimiterTest, ManyHostsSendByRate)
{
  constexpr std::uint64_t kHosts = 1000;
  this->SayBrittle();
  int sent = 0;
  for (std::uint64_t host = 0; host < kHosts; ++host) {
    BrittleTargetLimiter other(this->clock, host);
    other.OnAnswer(this->target, kTolerated, this->Now());
    sent += other.MaySend(this->target, 0, kHosts) ? 1 : 0;
  }
  EXPECT_EQ(sent, 0);
  EXPECT_FALSE(this->MaySend(0, kHosts));
  for (int call = 0; call < 10'000; ++call) {
    this->clock.Advance(BrittleTargetLimiter::kAdjustInterval);
    this->SayBrittle();
    sent += this->MaySend(0, kHosts) ? 1 : 0;
  }
  // 0.0036 places in ten thousand run times.
  EXPECT_GT(sent, 10);
  EXPECT_LT(sent, 80);
}

TEST_F(BrittleTargetLimiterTest, AnswerThatSaysNothingEndsItUnlessItWasOvertaken)
{
  const MonotonicTime before = this->Now();
  this->clock.Advance(milliseconds(1));
  this->SayBrittle();
  this->limiter.OnAnswer(this->target, std::nullopt, before);
  EXPECT_TRUE(this->limiter.IsBrittle(this->target.service));
  this->clock.Advance(milliseconds(1));
  this->limiter.OnAnswer(this->target, std::nullopt, this->Now());
  EXPECT_FALSE(this->limiter.IsBrittle(this->target.service));
}

TEST_F(BrittleTargetLimiterTest, ReportsAServiceOnceInAnInterval)
{
  EXPECT_TRUE(this->limiter.TakeReports().empty());
  this->SayBrittle();
  const std::vector<BrittleService> first = this->limiter.TakeReports();
  ASSERT_EQ(first.size(), 1U);
  EXPECT_EQ(first[0], (BrittleService{ this->target.service, kTolerated, Duration::zero() }));
  this->SayBrittle();
  EXPECT_TRUE(this->limiter.TakeReports().empty());
  this->limiter.OnSent(this->target);
  this->limiter.OnEnded(this->target.id, this->target.incarnation, milliseconds(20));
  this->clock.Advance(BrittleTargetLimiter::kReportInterval);
  const std::vector<BrittleService> second = this->limiter.TakeReports();
  ASSERT_EQ(second.size(), 1U);
  EXPECT_EQ(second[0].runTime, milliseconds(20));
  this->clock.Advance(BrittleTargetLimiter::kReportInterval);
  EXPECT_TRUE(this->limiter.TakeReports().empty());
}

TEST_F(BrittleTargetLimiterTest, ReportOfAnotherHostLimitsThisOne)
{
  this->limiter.OnReport(BrittleService{ this->target.service, kTolerated, milliseconds(20) });
  EXPECT_TRUE(this->limiter.IsBrittle(this->target.service));
  EXPECT_EQ(this->Fill(12, 3), 4);
  // No host repeats what another one has just reported.
  this->SayBrittle();
  EXPECT_TRUE(this->limiter.TakeReports().empty());
}

TEST_F(BrittleTargetLimiterTest, AnswerThatSaysNothingEndsAReport)
{
  this->limiter.OnReport(BrittleService{ this->target.service, kTolerated, Duration::zero() });
  this->clock.Advance(milliseconds(1));
  this->limiter.OnAnswer(this->target, std::nullopt, this->Now());
  EXPECT_FALSE(this->limiter.IsBrittle(this->target.service));
}

TEST_F(BrittleTargetLimiterTest, ForgetsServicesThatSayNothingForLong)
{
  this->SayBrittle();
  EXPECT_GT(this->Fill(0, 1), 0);
  this->clock.Advance(BrittleTargetLimiter::kRetention);
  this->limiter.RemoveExpired();
  EXPECT_TRUE(this->limiter.IsEmpty());
  EXPECT_TRUE(this->MaySend(1000));
}

TEST_F(BrittleTargetLimiterTest, NextIncarnationStartsWithoutRequestsInProgress)
{
  this->SayBrittle();
  EXPECT_GE(this->Fill(12, 3), 3);
  const Incarnation before = this->target.incarnation;
  this->target.incarnation = Incarnation(2);
  EXPECT_GE(this->Fill(12, 3), 3);
  this->limiter.OnEnded(this->target.id, before, std::nullopt);
  EXPECT_FALSE(this->MaySend(12, 3));
}

} // namespace
} // namespace damasklink
