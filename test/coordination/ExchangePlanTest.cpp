#include "damasklink/coordination/ExchangePlan.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace damasklink {
namespace {

const MonotonicTime kNow = MonotonicTime(std::chrono::hours(1));

ExchangeTerms
Terms(bool aRepeatable, std::uint64_t aMostTargets)
{
  return ExchangeTerms{ aRepeatable, aMostTargets, kNow + std::chrono::seconds(2) };
}

class ExchangePlanTest : public ::testing::Test
{
protected:
  ExchangeStep Send(ExchangePlan& aPlan, AttemptEnd aEnd)
  {
    aPlan.Begin(AttemptId("a"), TargetId("t"));
    if (aEnd != AttemptEnd::Unreachable) {
      aPlan.Sending();
    }
    return aPlan.After(aEnd, kNow, this->budget);
  }

  RetryBudget budget{ 0, 100 };
};

TEST_F(ExchangePlanTest, BrokenCallThatMayNotRepeatFails)
{
  ExchangePlan plan(Terms(false, 3));
  EXPECT_EQ(this->Send(plan, AttemptEnd::Broken), ExchangeStep::Fail);
}

TEST_F(ExchangePlanTest, BrokenCallThatMayRepeatGoesToAnotherTarget)
{
  ExchangePlan plan(Terms(true, 2));
  EXPECT_EQ(this->Send(plan, AttemptEnd::Broken), ExchangeStep::TryAnother);
  EXPECT_EQ(this->Send(plan, AttemptEnd::Broken), ExchangeStep::Fail);
}

TEST_F(ExchangePlanTest, RefusedCallThatMayNotRepeatGoesToAnotherTarget)
{
  ExchangePlan plan(Terms(false, 2));
  EXPECT_EQ(this->Send(plan, AttemptEnd::Refused), ExchangeStep::TryAnother);
  EXPECT_EQ(this->Send(plan, AttemptEnd::Refused), ExchangeStep::Refuse);
}

TEST_F(ExchangePlanTest, CallThatMayHaveRunIsNeverRefused)
{
  ExchangePlan plan(Terms(true, 2));
  EXPECT_EQ(this->Send(plan, AttemptEnd::Broken), ExchangeStep::TryAnother);
  EXPECT_EQ(this->Send(plan, AttemptEnd::Refused), ExchangeStep::Fail);
}

TEST_F(ExchangePlanTest, UnreachableTargetsCostNoRetry)
{
  this->budget = RetryBudget(0, 0);
  ExchangePlan plan(Terms(false, 1));
  EXPECT_EQ(this->Send(plan, AttemptEnd::Unreachable), ExchangeStep::TryAnother);
  EXPECT_EQ(this->Send(plan, AttemptEnd::Delivered), ExchangeStep::Done);
}

TEST_F(ExchangePlanTest, UnreachableTargetsAreNotTriedWithoutEnd)
{
  ExchangePlan plan(Terms(false, 1));
  for (std::uint64_t tried = 1; tried < ExchangePlan::kMostUnreachable; ++tried) {
    EXPECT_EQ(this->Send(plan, AttemptEnd::Unreachable), ExchangeStep::TryAnother);
  }
  EXPECT_EQ(this->Send(plan, AttemptEnd::Unreachable), ExchangeStep::Refuse);
}

TEST_F(ExchangePlanTest, EmptyBudgetEndsTheCall)
{
  this->budget = RetryBudget(0, 0);
  ExchangePlan plan(Terms(true, 3));
  EXPECT_EQ(this->Send(plan, AttemptEnd::Failed), ExchangeStep::PassOn);
}

TEST_F(ExchangePlanTest, ExpiredCallIsNotTriedAgain)
{
  ExchangePlan sent(Terms(true, 3));
  EXPECT_EQ(this->Send(sent, AttemptEnd::Expired), ExchangeStep::Expire);
  ExchangePlan unsent(Terms(true, 3));
  unsent.Begin(AttemptId("a"), TargetId("t"));
  EXPECT_EQ(unsent.After(AttemptEnd::Expired, kNow, this->budget), ExchangeStep::Refuse);
}

TEST_F(ExchangePlanTest, StreamThatBrokeMidwayIsCutOffSoThatItDoesNotLookWhole)
{
  ExchangePlan plan(Terms(false, 3));
  plan.Begin(AttemptId("a"), TargetId("t"));
  plan.Sending();
  plan.NotePassedOn();
  EXPECT_EQ(plan.After(AttemptEnd::Broken, kNow, this->budget), ExchangeStep::CutOff);
}

TEST_F(ExchangePlanTest, TooLittleTimeLeftEndsTheCall)
{
  ExchangePlan plan(Terms(true, 3));
  plan.Begin(AttemptId("a"), TargetId("t"));
  plan.Sending();
  const MonotonicTime late = plan.Terms().endsAt - std::chrono::milliseconds(10);
  EXPECT_EQ(plan.After(AttemptEnd::Broken, late, this->budget), ExchangeStep::Fail);
}

// Whatever happens: what may not repeat is sent again only after promises that it did not run, no
// call goes to more targets than its route allows, and "not run" is said only when it is true.
RC_GTEST_PROP(ExchangePlanProperties, NothingRunsTwiceAndRefusalsAreTrue, ())
{
  const bool repeatable = *rc::gen::arbitrary<bool>();
  const auto most = *rc::gen::inRange<std::uint64_t>(1, 4);
  RetryBudget budget(0, *rc::gen::inRange(0, 4));
  ExchangePlan plan(Terms(repeatable, most));
  bool mayHaveRun = false;
  std::uint64_t sends = 0;
  ExchangeStep step = ExchangeStep::TryAnother;
  while (step == ExchangeStep::TryAnother) {
    RC_ASSERT(repeatable || !mayHaveRun);
    plan.Begin(AttemptId("a"), TargetId("t"));
    const auto end = *rc::gen::element(AttemptEnd::Unreachable,
                                       AttemptEnd::Refused,
                                       AttemptEnd::Failed,
                                       AttemptEnd::Broken,
                                       AttemptEnd::Expired);
    if (end != AttemptEnd::Unreachable) {
      plan.Sending();
      ++sends;
    }
    mayHaveRun = mayHaveRun || (end != AttemptEnd::Unreachable && end != AttemptEnd::Refused);
    step = plan.After(end, kNow, budget);
  }
  RC_ASSERT(sends <= most);
  RC_ASSERT(step != ExchangeStep::Refuse || !mayHaveRun);
}

} // namespace
} // namespace damasklink
