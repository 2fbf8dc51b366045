#include "damasklink/coordination/ExchangeRetryPolicy.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace damasklink {
namespace {

const MonotonicTime kNow = MonotonicTime(std::chrono::hours(1));

ExchangeLimits
MakeLimits(bool aRepeatable, std::uint64_t aMostTargets)
{
  return ExchangeLimits{ aRepeatable, aMostTargets, kNow + std::chrono::seconds(2) };
}

class ExchangeRetryPolicyTest : public ::testing::Test
{
protected:
  ExchangeStep Send(ExchangeRetryPolicy& aPlan, AttemptResult aResult)
  {
    aPlan.Begin(AttemptId("a"), TargetId("t"));
    if (aResult != AttemptResult::Unreachable && aResult != AttemptResult::NotSent) {
      aPlan.Sending();
    }
    return aPlan.After(aResult, kNow, this->budget);
  }

  RetryBudget budget{ 0, 100 };
};

TEST_F(ExchangeRetryPolicyTest, BrokenNonRepeatableCallFails)
{
  ExchangeRetryPolicy plan(MakeLimits(false, 3));
  EXPECT_EQ(this->Send(plan, AttemptResult::Broken), ExchangeStep::Fail);
}

TEST_F(ExchangeRetryPolicyTest, BrokenRepeatableCallIsRetried)
{
  ExchangeRetryPolicy plan(MakeLimits(true, 2));
  EXPECT_EQ(this->Send(plan, AttemptResult::Broken), ExchangeStep::TryAnother);
  EXPECT_EQ(this->Send(plan, AttemptResult::Broken), ExchangeStep::Fail);
}

TEST_F(ExchangeRetryPolicyTest, RefusedNonRepeatableCallIsRetried)
{
  ExchangeRetryPolicy plan(MakeLimits(false, 2));
  EXPECT_EQ(this->Send(plan, AttemptResult::Refused), ExchangeStep::TryAnother);
  EXPECT_EQ(this->Send(plan, AttemptResult::Refused), ExchangeStep::Refuse);
}

TEST_F(ExchangeRetryPolicyTest, CallThatMayHaveRunIsNeverRefused)
{
  ExchangeRetryPolicy plan(MakeLimits(true, 2));
  EXPECT_EQ(this->Send(plan, AttemptResult::Broken), ExchangeStep::TryAnother);
  EXPECT_EQ(this->Send(plan, AttemptResult::Refused), ExchangeStep::Fail);
}

TEST_F(ExchangeRetryPolicyTest, UnreachableTargetsTakeNothingFromTheBudget)
{
  this->budget = RetryBudget(0, 0);
  ExchangeRetryPolicy plan(MakeLimits(false, 1));
  EXPECT_EQ(this->Send(plan, AttemptResult::Unreachable), ExchangeStep::TryAnother);
  EXPECT_EQ(this->Send(plan, AttemptResult::Delivered), ExchangeStep::Done);
}

TEST_F(ExchangeRetryPolicyTest, AttemptThatWasNotSentIsNoRetryAndNoRun)
{
  this->budget = RetryBudget(0, 0);
  ExchangeRetryPolicy first(MakeLimits(false, 1));
  for (int attempt = 0; attempt < 10; ++attempt) {
    EXPECT_EQ(this->Send(first, AttemptResult::NotSent), ExchangeStep::TryAnother);
  }
  EXPECT_EQ(first.WithoutTarget(), ExchangeStep::Refuse);
  this->budget = RetryBudget(0, 1);
  ExchangeRetryPolicy second(MakeLimits(false, 2));
  EXPECT_EQ(this->Send(second, AttemptResult::Refused), ExchangeStep::TryAnother);
  EXPECT_EQ(this->Send(second, AttemptResult::NotSent), ExchangeStep::TryAnother);
  EXPECT_EQ(this->Send(second, AttemptResult::Delivered), ExchangeStep::Done);
}

// Guards against a target's own answer that is replaced by a failure of this host.
TEST_F(ExchangeRetryPolicyTest, FailureOfTargetIsPassedOnWhenNoOtherTargetAnswers)
{
  ExchangeRetryPolicy withoutTarget(MakeLimits(true, 2));
  EXPECT_EQ(this->Send(withoutTarget, AttemptResult::Failed), ExchangeStep::TryAnother);
  EXPECT_EQ(withoutTarget.WithoutTarget(), ExchangeStep::PassOn);
  ExchangeRetryPolicy refused(MakeLimits(true, 2));
  EXPECT_EQ(this->Send(refused, AttemptResult::Failed), ExchangeStep::TryAnother);
  EXPECT_EQ(this->Send(refused, AttemptResult::Refused), ExchangeStep::PassOn);
  ExchangeRetryPolicy expired(MakeLimits(true, 2));
  EXPECT_EQ(this->Send(expired, AttemptResult::Failed), ExchangeStep::TryAnother);
  EXPECT_EQ(this->Send(expired, AttemptResult::Expired), ExchangeStep::Expire);
}

TEST_F(ExchangeRetryPolicyTest, UnreachableTargetsAreLimited)
{
  ExchangeRetryPolicy plan(MakeLimits(false, 1));
  for (std::uint64_t tried = 1; tried < ExchangeRetryPolicy::kMaxUnreachable; ++tried) {
    EXPECT_EQ(this->Send(plan, AttemptResult::Unreachable), ExchangeStep::TryAnother);
  }
  EXPECT_EQ(this->Send(plan, AttemptResult::Unreachable), ExchangeStep::Refuse);
}

TEST_F(ExchangeRetryPolicyTest, EmptyBudgetEndsTheCall)
{
  this->budget = RetryBudget(0, 0);
  ExchangeRetryPolicy plan(MakeLimits(true, 3));
  EXPECT_EQ(this->Send(plan, AttemptResult::Failed), ExchangeStep::PassOn);
}

// Guards against more attempts that are given up than retries that may follow.
TEST_F(ExchangeRetryPolicyTest, ReservedRetryIsTakenOnce)
{
  this->budget = RetryBudget(0, 1);
  ExchangeRetryPolicy first(MakeLimits(true, 2));
  ExchangeRetryPolicy second(MakeLimits(true, 2));
  for (ExchangeRetryPolicy* plan : { &first, &second }) {
    plan->Begin(AttemptId("a"), TargetId("t"));
    plan->Sending();
  }
  EXPECT_TRUE(first.ReserveRetry(kNow, this->budget));
  EXPECT_TRUE(first.ReserveRetry(kNow, this->budget));
  EXPECT_FALSE(second.ReserveRetry(kNow, this->budget));
  EXPECT_EQ(first.After(AttemptResult::Broken, kNow, this->budget), ExchangeStep::TryAnother);
  EXPECT_EQ(second.After(AttemptResult::Broken, kNow, this->budget), ExchangeStep::Fail);
}

// Guards against calls that end because a target, which the reserved retry was meant for, was not
// reached.
TEST_F(ExchangeRetryPolicyTest, ReservedRetryIsLeftByTargetThatIsNotReached)
{
  this->budget = RetryBudget(0, 1);
  ExchangeRetryPolicy plan(MakeLimits(true, 3));
  plan.Begin(AttemptId("a"), TargetId("silent"));
  plan.Sending();
  ASSERT_TRUE(plan.ReserveRetry(kNow, this->budget));
  ASSERT_EQ(plan.After(AttemptResult::Broken, kNow, this->budget), ExchangeStep::TryAnother);
  EXPECT_EQ(this->Send(plan, AttemptResult::Unreachable), ExchangeStep::TryAnother);
  EXPECT_EQ(this->Send(plan, AttemptResult::Broken), ExchangeStep::Fail);
}

TEST_F(ExchangeRetryPolicyTest, NoRetryIsReservedForCallThatMayNotBeSentAgain)
{
  ExchangeRetryPolicy once(MakeLimits(false, 2));
  ExchangeRetryPolicy sentOften(MakeLimits(true, 1));
  for (ExchangeRetryPolicy* plan : { &once, &sentOften }) {
    plan->Begin(AttemptId("a"), TargetId("t"));
    plan->Sending();
    EXPECT_FALSE(plan->ReserveRetry(kNow, this->budget));
  }
}

TEST_F(ExchangeRetryPolicyTest, ExpiredCallIsNotRetried)
{
  ExchangeRetryPolicy sent(MakeLimits(true, 3));
  EXPECT_EQ(this->Send(sent, AttemptResult::Expired), ExchangeStep::Expire);
  ExchangeRetryPolicy unsent(MakeLimits(true, 3));
  unsent.Begin(AttemptId("a"), TargetId("t"));
  EXPECT_EQ(unsent.After(AttemptResult::Expired, kNow, this->budget), ExchangeStep::Refuse);
}

TEST_F(ExchangeRetryPolicyTest, PartlyDeliveredAnswerIsCutOff)
{
  ExchangeRetryPolicy plan(MakeLimits(false, 3));
  plan.Begin(AttemptId("a"), TargetId("t"));
  plan.Sending();
  plan.MarkPassedOn();
  EXPECT_EQ(plan.After(AttemptResult::Broken, kNow, this->budget), ExchangeStep::CutOff);
}

TEST_F(ExchangeRetryPolicyTest, TooLittleTimeLeftEndsTheCall)
{
  ExchangeRetryPolicy plan(MakeLimits(true, 3));
  plan.Begin(AttemptId("a"), TargetId("t"));
  plan.Sending();
  const MonotonicTime late = plan.Limits().endsAt - std::chrono::milliseconds(10);
  EXPECT_EQ(plan.After(AttemptResult::Broken, late, this->budget), ExchangeStep::Fail);
}

// For any sequence of results: a call that is not repeatable is sent again only after targets
// stated that they did not run it, no call is sent to more targets than its route allows, and it is
// refused as "not run" only when that is true.
RC_GTEST_PROP(ExchangeRetryPolicyProperties, NonRepeatableCallsRunAtMostOnceAndRefusalsAreTrue, ())
{
  const bool repeatable = *rc::gen::arbitrary<bool>();
  const auto most = *rc::gen::inRange<std::uint64_t>(1, 4);
  RetryBudget budget(0, *rc::gen::inRange(0, 4));
  ExchangeRetryPolicy plan(MakeLimits(repeatable, most));
  bool mayHaveRun = false;
  std::uint64_t sends = 0;
  ExchangeStep step = ExchangeStep::TryAnother;
  while (step == ExchangeStep::TryAnother) {
    RC_ASSERT(repeatable || !mayHaveRun);
    plan.Begin(AttemptId("a"), TargetId("t"));
    const auto end = *rc::gen::element(AttemptResult::Unreachable,
                                       AttemptResult::Refused,
                                       AttemptResult::Failed,
                                       AttemptResult::Broken,
                                       AttemptResult::Expired);
    if (end != AttemptResult::Unreachable) {
      plan.Sending();
      ++sends;
    }
    mayHaveRun = mayHaveRun || (end != AttemptResult::Unreachable && end != AttemptResult::Refused);
    step = plan.After(end, kNow, budget);
  }
  RC_ASSERT(sends <= most);
  RC_ASSERT(step != ExchangeStep::Refuse || !mayHaveRun);
}

// Guards against a refusal of the silent target that is told as "not run" though another target may
// run the call.
TEST_F(ExchangeRetryPolicyTest, CallWhoseStandbyMayHaveRunIsNotRefused)
{
  ExchangeRetryPolicy plan(MakeLimits(true, 2));
  plan.Begin(AttemptId("a"), TargetId("silent"));
  plan.Sending();
  EXPECT_TRUE(plan.ReserveRetry(kNow, this->budget));
  plan.BeginStandby(AttemptId("a"), TargetId("other"));
  EXPECT_EQ(plan.Sent(), 2U);
  plan.EndStandby(AttemptStage::Lost, false);
  EXPECT_EQ(plan.After(AttemptResult::Refused, kNow, this->budget), ExchangeStep::Fail);
}

TEST_F(ExchangeRetryPolicyTest, RefusedStandbyDoesNotChangeTheFirstAttempt)
{
  ExchangeRetryPolicy plan(MakeLimits(true, 3));
  plan.Begin(AttemptId("a"), TargetId("silent"));
  plan.Sending();
  EXPECT_TRUE(plan.ReserveRetry(kNow, this->budget));
  plan.BeginStandby(AttemptId("a"), TargetId("other"));
  plan.EndStandby(AttemptStage::Refused, false);
  EXPECT_EQ(plan.Record().Outcome(), RunOutcome::MayHaveRun);
  EXPECT_EQ(plan.After(AttemptResult::Delivered, kNow, this->budget), ExchangeStep::Done);
}

TEST_F(ExchangeRetryPolicyTest, DeclinedStandbyIsNotCountedAsASend)
{
  ExchangeRetryPolicy plan(MakeLimits(true, 2));
  plan.Begin(AttemptId("a"), TargetId("silent"));
  plan.Sending();
  EXPECT_TRUE(plan.ReserveRetry(kNow, this->budget));
  plan.BeginStandby(AttemptId("a"), TargetId("host"));
  plan.EndStandby(AttemptStage::Refused, true);
  EXPECT_EQ(plan.Sent(), 1U);
  EXPECT_TRUE(plan.ReserveRetry(kNow, this->budget));
}

TEST_F(ExchangeRetryPolicyTest, StandbyThatTakesOverIsTheAttemptInProgress)
{
  ExchangeRetryPolicy plan(MakeLimits(true, 2));
  plan.Begin(AttemptId("a"), TargetId("silent"));
  plan.Sending();
  EXPECT_TRUE(plan.ReserveRetry(kNow, this->budget));
  plan.BeginStandby(AttemptId("a"), TargetId("other"));
  plan.ContinueAtStandby(AttemptResult::Broken);
  EXPECT_EQ(plan.After(AttemptResult::Refused, kNow, this->budget), ExchangeStep::Fail);
  EXPECT_EQ(plan.Record().Attempts().back().stage, AttemptStage::Refused);
}

TEST_F(ExchangeRetryPolicyTest, DeclinedCallIsTriedElsewhereWithoutARetry)
{
  RetryBudget empty{ 0, 0 };
  ExchangeRetryPolicy plan(MakeLimits(false, 1));
  for (std::uint64_t decline = 1; decline <= ExchangeRetryPolicy::kMaxDeclined; ++decline) {
    plan.Begin(AttemptId("a"), TargetId("host"));
    plan.Sending();
    const ExchangeStep expected =
      decline < ExchangeRetryPolicy::kMaxDeclined ? ExchangeStep::TryAnother : ExchangeStep::Refuse;
    EXPECT_EQ(plan.After(AttemptResult::Declined, kNow, empty), expected);
    EXPECT_EQ(plan.Sent(), 0U);
  }
}

} // namespace
} // namespace damasklink
