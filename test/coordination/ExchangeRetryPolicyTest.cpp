#include "damasklink/coordination/ExchangeRetryPolicy.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace damasklink {
namespace {

const MonotonicTime kNow = MonotonicTime(std::chrono::hours(1));

ExchangeLimits
Terms(bool aRepeatable, std::uint64_t aMostTargets)
{
  return ExchangeLimits{ aRepeatable, aMostTargets, kNow + std::chrono::seconds(2) };
}

class ExchangeRetryPolicyTest : public ::testing::Test
{
protected:
  ExchangeStep Send(ExchangeRetryPolicy& aPlan, AttemptResult aEnd)
  {
    aPlan.Begin(AttemptId("a"), TargetId("t"));
    if (aEnd != AttemptResult::Unreachable) {
      aPlan.Sending();
    }
    return aPlan.After(aEnd, kNow, this->budget);
  }

  RetryBudget budget{ 0, 100 };
};

TEST_F(ExchangeRetryPolicyTest, BrokenNonRepeatableCallFails)
{
  ExchangeRetryPolicy plan(Terms(false, 3));
  EXPECT_EQ(this->Send(plan, AttemptResult::Broken), ExchangeStep::Fail);
}

TEST_F(ExchangeRetryPolicyTest, BrokenRepeatableCallIsRetried)
{
  ExchangeRetryPolicy plan(Terms(true, 2));
  EXPECT_EQ(this->Send(plan, AttemptResult::Broken), ExchangeStep::TryAnother);
  EXPECT_EQ(this->Send(plan, AttemptResult::Broken), ExchangeStep::Fail);
}

TEST_F(ExchangeRetryPolicyTest, RefusedNonRepeatableCallIsRetried)
{
  ExchangeRetryPolicy plan(Terms(false, 2));
  EXPECT_EQ(this->Send(plan, AttemptResult::Refused), ExchangeStep::TryAnother);
  EXPECT_EQ(this->Send(plan, AttemptResult::Refused), ExchangeStep::Refuse);
}

TEST_F(ExchangeRetryPolicyTest, CallThatMayHaveRunIsNeverRefused)
{
  ExchangeRetryPolicy plan(Terms(true, 2));
  EXPECT_EQ(this->Send(plan, AttemptResult::Broken), ExchangeStep::TryAnother);
  EXPECT_EQ(this->Send(plan, AttemptResult::Refused), ExchangeStep::Fail);
}

TEST_F(ExchangeRetryPolicyTest, UnreachableTargetsTakeNothingFromTheBudget)
{
  this->budget = RetryBudget(0, 0);
  ExchangeRetryPolicy plan(Terms(false, 1));
  EXPECT_EQ(this->Send(plan, AttemptResult::Unreachable), ExchangeStep::TryAnother);
  EXPECT_EQ(this->Send(plan, AttemptResult::Delivered), ExchangeStep::Done);
}

TEST_F(ExchangeRetryPolicyTest, UnreachableTargetsAreLimited)
{
  ExchangeRetryPolicy plan(Terms(false, 1));
  for (std::uint64_t tried = 1; tried < ExchangeRetryPolicy::kMaxUnreachable; ++tried) {
    EXPECT_EQ(this->Send(plan, AttemptResult::Unreachable), ExchangeStep::TryAnother);
  }
  EXPECT_EQ(this->Send(plan, AttemptResult::Unreachable), ExchangeStep::Refuse);
}

TEST_F(ExchangeRetryPolicyTest, EmptyBudgetEndsTheCall)
{
  this->budget = RetryBudget(0, 0);
  ExchangeRetryPolicy plan(Terms(true, 3));
  EXPECT_EQ(this->Send(plan, AttemptResult::Failed), ExchangeStep::PassOn);
}

TEST_F(ExchangeRetryPolicyTest, ExpiredCallIsNotRetried)
{
  ExchangeRetryPolicy sent(Terms(true, 3));
  EXPECT_EQ(this->Send(sent, AttemptResult::Expired), ExchangeStep::Expire);
  ExchangeRetryPolicy unsent(Terms(true, 3));
  unsent.Begin(AttemptId("a"), TargetId("t"));
  EXPECT_EQ(unsent.After(AttemptResult::Expired, kNow, this->budget), ExchangeStep::Refuse);
}

TEST_F(ExchangeRetryPolicyTest, PartlyDeliveredAnswerIsCutOff)
{
  ExchangeRetryPolicy plan(Terms(false, 3));
  plan.Begin(AttemptId("a"), TargetId("t"));
  plan.Sending();
  plan.NotePassedOn();
  EXPECT_EQ(plan.After(AttemptResult::Broken, kNow, this->budget), ExchangeStep::CutOff);
}

TEST_F(ExchangeRetryPolicyTest, TooLittleTimeLeftEndsTheCall)
{
  ExchangeRetryPolicy plan(Terms(true, 3));
  plan.Begin(AttemptId("a"), TargetId("t"));
  plan.Sending();
  const MonotonicTime late = plan.Terms().endsAt - std::chrono::milliseconds(10);
  EXPECT_EQ(plan.After(AttemptResult::Broken, late, this->budget), ExchangeStep::Fail);
}

// Whatever happens: what may not repeat is sent again only after promises that it did not run, no
// call goes to more targets than its route allows, and "not run" is said only when it is true.
RC_GTEST_PROP(ExchangeRetryPolicyProperties, NonRepeatableCallsRunAtMostOnceAndRefusalsAreTrue, ())
{
  const bool repeatable = *rc::gen::arbitrary<bool>();
  const auto most = *rc::gen::inRange<std::uint64_t>(1, 4);
  RetryBudget budget(0, *rc::gen::inRange(0, 4));
  ExchangeRetryPolicy plan(Terms(repeatable, most));
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

} // namespace
} // namespace damasklink
