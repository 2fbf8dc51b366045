#include "damasklink/coordination/AttemptRecovery.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "damasklink/coordination/RetryBudget.h"

namespace damasklink {
namespace {

LostAttempt
MakeLost()
{
  LostAttempt lost;
  lost.outcome = RunOutcome::MayHaveRun;
  lost.tries = 1;
  lost.timeLeft = std::chrono::seconds(1);
  return lost;
}

TEST(AttemptRecoveryTest, ResumptionWithoutProgressContinuesOnAnotherTarget)
{
  LostAttempt lost = MakeLost();
  lost.tokens = 5;
  EXPECT_EQ(DecideRecoveryStep(lost), RecoveryStep::Resume);
  lost.resumed = true;
  lost.tokensBefore = 5;
  EXPECT_EQ(DecideRecoveryStep(lost), RecoveryStep::Continue);
}

TEST(AttemptRecoveryTest, GivesUpWithoutTimeLeft)
{
  LostAttempt lost = MakeLost();
  lost.timeLeft = Duration(0);
  EXPECT_EQ(DecideRecoveryStep(lost), RecoveryStep::GiveUp);
}

RC_GTEST_PROP(AttemptRecoveryProperty, NonRepeatableRunIsNeverRepeatedOnceItMayHaveBegun, ())
{
  LostAttempt lost;
  lost.kind = static_cast<ErrorKind>(*rc::gen::inRange(0, 14));
  lost.outcome = static_cast<RunOutcome>(*rc::gen::inRange(0, 3));
  lost.tokens = *rc::gen::inRange<std::uint64_t>(0, 3);
  lost.tries = *rc::gen::inRange<std::uint64_t>(0, 9);
  lost.resumed = *rc::gen::arbitrary<bool>();
  lost.repeatable = *rc::gen::arbitrary<bool>();
  lost.timeLeft = std::chrono::seconds(1);
  const RecoveryStep step = DecideRecoveryStep(lost);
  const bool harmless = lost.repeatable || lost.outcome == RunOutcome::NotRun;
  RC_ASSERT(step != RecoveryStep::Repeat || (harmless && lost.tokens == 0));
  RC_ASSERT(step == RecoveryStep::GiveUp || lost.tries < kMaxTries);
}

TEST(RetryBudgetTest, RetriesStayUnderATenthOfRequests)
{
  RetryBudget budget;
  int retries = 0;
  for (int request = 0; request < 1000; ++request) {
    budget.OnRequest();
    retries += budget.TryTake() ? 1 : 0;
  }
  EXPECT_GT(retries, 0);
  EXPECT_LT(retries, 100);
}

} // namespace
} // namespace damasklink
