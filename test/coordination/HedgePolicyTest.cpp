#include "damasklink/coordination/HedgePolicy.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "damasklink/coordination/ExchangeRetryPolicy.h"

namespace damasklink {
namespace {

using Milliseconds = std::chrono::milliseconds;

const HedgeKind kKind{ "read", false };

HedgeSituation
Good()
{
  HedgeSituation situation;
  situation.repeatable = true;
  situation.attemptLeft = true;
  return situation;
}

TEST(HedgePolicyTest, NoDelayWhileTooFewCallsWereObserved)
{
  HedgePolicy policy(0.03);
  for (std::size_t call = 1; call < HedgePolicy::kMinObservations; ++call) {
    policy.Observe(kKind, Milliseconds(20));
    EXPECT_FALSE(policy.DelayOf(kKind));
  }
  policy.Observe(kKind, Milliseconds(20));
  EXPECT_TRUE(policy.DelayOf(kKind));
  EXPECT_FALSE((policy.DelayOf(HedgeKind{ "read", true })));
}

TEST(HedgePolicyTest, DelayIsExceededByAsManyCallsAsTheShare)
{
  HedgePolicy policy(0.1);
  for (int call = 0; call < 200; ++call) {
    policy.Observe(kKind, Milliseconds(100 + call % 100));
  }
  EXPECT_GE(*policy.DelayOf(kKind), Milliseconds(180));
  EXPECT_LE(*policy.DelayOf(kKind), Milliseconds(225));
}

// Load: one target in ten is slow.
TEST(HedgePolicyTest, SlowTargetInTenDoesNotSetTheDelay)
{
  HedgePolicy policy(0.03);
  for (int call = 0; call < 200; ++call) {
    policy.Observe(kKind, Milliseconds(call % 10 == 0 ? 2000 : 20));
  }
  EXPECT_LE(*policy.DelayOf(kKind), Milliseconds(60));
}

// Load: all targets become slow.
TEST(HedgePolicyTest, DelayFollowsATargetsPace)
{
  HedgePolicy policy(0.03);
  for (std::size_t call = 0; call < HedgePolicy::kWindow; ++call) {
    policy.Observe(kKind, Milliseconds(20));
  }
  EXPECT_LE(*policy.DelayOf(kKind), Milliseconds(30));
  for (std::size_t call = 0; call < HedgePolicy::kWindow; ++call) {
    policy.Observe(kKind, Milliseconds(200));
  }
  EXPECT_GE(*policy.DelayOf(kKind), Milliseconds(300));
}

TEST(HedgePolicyTest, EachConditionAloneForbidsAHedge)
{
  EXPECT_EQ(HedgePolicy::Decide(Good()), HedgeVerdict::Send);
  HedgeSituation situation = Good();
  situation.attemptLeft = false;
  EXPECT_EQ(HedgePolicy::Decide(situation), HedgeVerdict::NoAttemptLeft);
  situation = Good();
  situation.forwarded = true;
  EXPECT_EQ(HedgePolicy::Decide(situation), HedgeVerdict::Forwarded);
  situation = Good();
  situation.hostShortOfTime = true;
  EXPECT_EQ(HedgePolicy::Decide(situation), HedgeVerdict::HostShortOfTime);
  situation = Good();
  situation.isolated = true;
  EXPECT_EQ(HedgePolicy::Decide(situation), HedgeVerdict::Isolated);
  situation = Good();
  situation.crowded = true;
  EXPECT_EQ(HedgePolicy::Decide(situation), HedgeVerdict::Crowded);
  situation = Good();
  situation.use = 0.9;
  EXPECT_EQ(HedgePolicy::Decide(situation), HedgeVerdict::Crowded);
  situation = Good();
  situation.brittle = true;
  EXPECT_EQ(HedgePolicy::Decide(situation), HedgeVerdict::Brittle);
}

RC_GTEST_PROP(HedgePolicyTest, NeverHedgesWhatMayNotBeRepeatedOrHasBegun, ())
{
  HedgeSituation situation;
  situation.repeatable = *rc::gen::arbitrary<bool>();
  situation.passedOn = *rc::gen::arbitrary<bool>();
  situation.attemptLeft = *rc::gen::arbitrary<bool>();
  situation.forwarded = *rc::gen::arbitrary<bool>();
  situation.hostShortOfTime = *rc::gen::arbitrary<bool>();
  situation.isolated = *rc::gen::arbitrary<bool>();
  situation.crowded = *rc::gen::arbitrary<bool>();
  situation.brittle = *rc::gen::arbitrary<bool>();
  situation.use = *rc::gen::inRange(0, 200) / 100.0;
  if (HedgePolicy::Decide(situation) == HedgeVerdict::Send) {
    RC_ASSERT(situation.repeatable && !situation.passedOn && situation.attemptLeft);
  }
}

// The last check before a hedge is sent, whatever was decided before its target was connected to.
RC_GTEST_PROP(HedgePolicyTest, NoAttemptIsAddedBeyondWhatTheCallAllows, ())
{
  const MonotonicTime now(std::chrono::hours(1));
  const bool repeatable = *rc::gen::arbitrary<bool>();
  const auto mostTargets = *rc::gen::inRange<std::uint64_t>(1, 4);
  const auto left = Milliseconds(*rc::gen::inRange(0, 100));
  const bool passedOn = *rc::gen::arbitrary<bool>();
  const auto sends = *rc::gen::inRange<std::uint64_t>(0, 4);
  ExchangeRetryPolicy plan(ExchangeLimits{ repeatable, mostTargets, now + left });
  for (std::uint64_t send = 0; send < sends; ++send) {
    plan.Begin(AttemptId("a"), TargetId("t"));
    plan.Sending();
  }
  if (passedOn) {
    plan.MarkPassedOn();
  }
  if (plan.MayHedge(now)) {
    RC_ASSERT(repeatable && !passedOn && sends == 1 && sends < mostTargets);
    RC_ASSERT(left > ExchangeRetryPolicy::kMinTimeLeft);
    plan.BeginStandby(AttemptId("a"), TargetId("u"));
    RC_ASSERT(!plan.MayHedge(now));
  }
}

} // namespace
} // namespace damasklink
