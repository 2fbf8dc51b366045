#include "damasklink/coordination/TargetHealth.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

class TargetHealthTest : public testing::Test
{
protected:
  TargetHealthTest()
  {
    for (const char* id : { "a", "b", "c", "d" }) {
      this->targets.emplace_back().id = TargetId(id);
    }
  }

  void Fail(const char* aId)
  {
    for (int index = 0; index < TargetHealth::kConsecutiveFailures; ++index) {
      this->health.OnStart(TargetId(aId));
      this->health.OnEnd(TargetId(aId), HealthSignal::Bad);
    }
  }

  bool IsEligible(const char* aId) const
  {
    for (const TargetRecord& target : this->health.Filter(this->targets)) {
      if (target.id == TargetId(aId)) {
        return true;
      }
    }
    return false;
  }

  ManualClock clock;
  TargetHealth health{ clock, 7 };
  std::vector<TargetRecord> targets;
};

TEST_F(TargetHealthTest, ConsecutiveFailuresEjectTheTarget)
{
  this->Fail("a");
  EXPECT_FALSE(this->IsEligible("a"));
  EXPECT_TRUE(this->IsEligible("b"));
}

TEST_F(TargetHealthTest, SuccessResetsTheFailureCount)
{
  for (int index = 0; index < 10; ++index) {
    this->health.OnEnd(TargetId("a"), index % 2 == 0 ? HealthSignal::Bad : HealthSignal::Good);
  }
  EXPECT_TRUE(this->IsEligible("a"));
}

// Guards against a target whose answers never end and that is sent more of them, because it answers
// small calls well in between.
TEST_F(TargetHealthTest, GoodAnswersDoNotMakeUpForAnswersWithoutEnd)
{
  for (int index = 0; index < TargetHealth::kConsecutiveFailures; ++index) {
    EXPECT_TRUE(this->IsEligible("a"));
    this->health.OnEnd(TargetId("a"), HealthSignal::Endless);
    this->health.OnEnd(TargetId("a"), HealthSignal::Good);
  }
  EXPECT_TRUE(this->health.SendsWithoutEnd(TargetId("a")));
  EXPECT_FALSE(this->IsEligible("a"));
  this->health.OnEnd(TargetId("a"), HealthSignal::Good);
  EXPECT_FALSE(this->IsEligible("a"));
}

TEST_F(TargetHealthTest, TargetThatSentWithoutEndIsHalfOpenAfterItsEjection)
{
  for (int index = 0; index < TargetHealth::kConsecutiveFailures; ++index) {
    this->health.OnEnd(TargetId("a"), HealthSignal::Endless);
  }
  this->clock.Advance(std::chrono::seconds(3));
  EXPECT_TRUE(this->IsEligible("a"));
  this->health.OnStart(TargetId("a"));
  this->health.OnEnd(TargetId("a"), HealthSignal::Good);
  this->health.OnStart(TargetId("a"));
  EXPECT_FALSE(this->IsEligible("a"));
  this->health.OnEnd(TargetId("a"), HealthSignal::Endless);
  this->clock.Advance(std::chrono::seconds(3));
  EXPECT_FALSE(this->IsEligible("a"));
}

// Guards against a target that is sent to again in full as soon as a host that lagged hears of its
// targets once more.
TEST_F(TargetHealthTest, RestoredPathClearsAllButAnswersWithoutEnd)
{
  this->Fail("b");
  for (int index = 0; index < TargetHealth::kConsecutiveFailures; ++index) {
    this->health.OnEnd(TargetId("a"), HealthSignal::Endless);
  }
  this->health.OnPathRestored(TargetId("a"));
  this->health.OnPathRestored(TargetId("b"));
  EXPECT_FALSE(this->IsEligible("a"));
  EXPECT_TRUE(this->IsEligible("b"));
}

TEST_F(TargetHealthTest, AnswersWithoutEndAreForgotten)
{
  for (int index = 0; index < 10; ++index) {
    this->health.OnEnd(TargetId("a"), HealthSignal::Endless);
    this->health.OnEnd(TargetId("a"), HealthSignal::Good);
    this->clock.Advance(TargetHealth::kEndlessMemory);
  }
  EXPECT_TRUE(this->IsEligible("a"));
  EXPECT_FALSE(this->health.SendsWithoutEnd(TargetId("a")));
}

TEST_F(TargetHealthTest, HalfOpenTargetGetsOneRequestAtATime)
{
  this->Fail("a");
  this->clock.Advance(std::chrono::seconds(3));
  EXPECT_TRUE(this->IsEligible("a"));
  this->health.OnStart(TargetId("a"));
  EXPECT_FALSE(this->IsEligible("a"));
  this->health.OnEnd(TargetId("a"), HealthSignal::Good);
  EXPECT_TRUE(this->IsEligible("a"));
}

TEST_F(TargetHealthTest, FailedProbeEjectsForLonger)
{
  this->Fail("a");
  this->clock.Advance(std::chrono::seconds(3));
  this->health.OnStart(TargetId("a"));
  this->health.OnEnd(TargetId("a"), HealthSignal::Bad);
  this->clock.Advance(std::chrono::seconds(3));
  EXPECT_FALSE(this->IsEligible("a"));
}

TEST_F(TargetHealthTest, FilterKeepsHalfOfThePoolWhenAllFail)
{
  for (const char* id : { "a", "b", "c", "d" }) {
    this->Fail(id);
  }
  EXPECT_EQ(this->health.Filter(this->targets).size(), 2U);
}

TEST_F(TargetHealthTest, UnreachableTargetIsEjectedAtOnce)
{
  this->health.OnStart(TargetId("a"));
  this->health.OnEnd(TargetId("a"), HealthSignal::NotReached);
  EXPECT_FALSE(this->IsEligible("a"));
  EXPECT_TRUE(this->IsEligible("b"));
}

TEST_F(TargetHealthTest, TargetReportedUnreachableBySeveralHostsIsEjected)
{
  const TargetId target("a");
  this->health.Take({ TargetReachabilityReport{ target, TargetHealth::kReportsToEject - 1, 0 } });
  EXPECT_TRUE(this->IsEligible("a"));
  this->health.Take({ TargetReachabilityReport{ target, 1, 0 } });
  EXPECT_FALSE(this->IsEligible("a"));
}

TEST_F(TargetHealthTest, ReportsOutsideTheWindowDoNotAddUp)
{
  for (int time = 0; time < 10; ++time) {
    this->health.Take({ TargetReachabilityReport{ TargetId("a"), 1, 0 } });
    this->clock.Advance(TargetHealth::kReportWindow);
  }
  EXPECT_TRUE(this->IsEligible("a"));
}

TEST_F(TargetHealthTest, OneReportEjectsAgainAfterAFailedProbe)
{
  const TargetId target("a");
  this->health.Take({ TargetReachabilityReport{ target, TargetHealth::kReportsToEject, 0 } });
  this->clock.Advance(TargetHealth::kFirstEjection + TargetHealth::kProbeSpread);
  EXPECT_TRUE(this->IsEligible("a"));
  this->health.Take({ TargetReachabilityReport{ target, 1, 0 } });
  EXPECT_FALSE(this->IsEligible("a"));
}

TEST_F(TargetHealthTest, RecoveryReportedByAnotherHostEndsTheEjection)
{
  const TargetId target("a");
  this->health.Take({ TargetReachabilityReport{ target, TargetHealth::kReportsToEject, 0 } });
  this->health.Take({ TargetReachabilityReport{ target, 0, 1 } });
  EXPECT_TRUE(this->IsEligible("a"));
}

TEST_F(TargetHealthTest, RecoveryReportDoesNotEndAnEjectionForOwnFailures)
{
  this->Fail("a");
  this->health.Take({ TargetReachabilityReport{ TargetId("a"), 0, 1 } });
  EXPECT_FALSE(this->IsEligible("a"));
}

TEST_F(TargetHealthTest, UnreachableTargetIsReportedOncePerEjection)
{
  const TargetId target("a");
  this->health.OnEnd(target, HealthSignal::NotReached);
  this->health.OnEnd(target, HealthSignal::NotReached);
  const std::vector<TargetReachabilityReport> expected{ TargetReachabilityReport{ target, 1, 0 } };
  EXPECT_EQ(this->health.TakeReachabilityReports(), expected);
  EXPECT_TRUE(this->health.TakeReachabilityReports().empty());
}

TEST_F(TargetHealthTest, RecoveryOfAReportedTargetIsReportedOnce)
{
  const TargetId target("a");
  this->health.Take({ TargetReachabilityReport{ target, TargetHealth::kReportsToEject, 0 } });
  this->health.OnEnd(target, HealthSignal::Good);
  const std::vector<TargetReachabilityReport> expected{ TargetReachabilityReport{ target, 0, 1 } };
  EXPECT_EQ(this->health.TakeReachabilityReports(), expected);
  this->health.OnEnd(target, HealthSignal::Good);
  EXPECT_TRUE(this->health.TakeReachabilityReports().empty());
}

// Guards against hosts that are cut off and have sound targets ejected by all others.
TEST_F(TargetHealthTest, UnconfirmedReportIsHeldBackAndDropped)
{
  const TargetId target("a");
  const auto never = [](const TargetId&, MonotonicTime) { return false; };
  this->health.OnEnd(target, HealthSignal::NotReached);
  EXPECT_TRUE(this->health.TakeReachabilityReports(never).empty());
  EXPECT_EQ(this->health.TakeReachabilityReports().size(), 1U);
  this->health.OnRestart(target);
  this->health.OnEnd(target, HealthSignal::NotReached);
  this->clock.Advance(TargetHealth::kReportRetention);
  EXPECT_TRUE(this->health.TakeReachabilityReports(never).empty());
  EXPECT_TRUE(this->health.TakeReachabilityReports().empty());
}

} // namespace
} // namespace damasklink
