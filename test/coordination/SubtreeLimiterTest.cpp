#include "damasklink/coordination/SubtreeLimiter.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

class SubtreeLimiterTest : public testing::Test
{
protected:
  SubtreeLimiterTest()
  {
    this->policy.workspace = WorkspaceId("office");
    this->policy.team = TeamId("counter");
  }

  bool Enters(std::uint64_t aPromptTokens = 1)
  {
    return !this->limiter.Enter(this->policy, TokenCount(aPromptTokens));
  }

  ManualClock clock;
  SubtreeLimiter limiter{ clock, 3 };
  ResolvedPolicy policy;
};

TEST_F(SubtreeLimiterTest, EachHostEnforcesItsPartOfTheConcurrencyLimit)
{
  this->policy.limits.concurrentRequests = 6;
  EXPECT_TRUE(this->Enters());
  EXPECT_TRUE(this->Enters());
  EXPECT_FALSE(this->Enters());
  this->limiter.Leave(this->policy);
  EXPECT_TRUE(this->Enters());
}

TEST_F(SubtreeLimiterTest, RefusesExcessRequestsPerSecondWithRetryAfter)
{
  this->policy.limits.requestsPerSecond = 6;
  EXPECT_TRUE(this->Enters());
  EXPECT_TRUE(this->Enters());
  const auto refusal = this->limiter.Enter(this->policy, TokenCount(1));
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->retryAfter, std::chrono::milliseconds(500));
  this->clock.Advance(refusal->retryAfter);
  EXPECT_TRUE(this->Enters());
}

TEST_F(SubtreeLimiterTest, LongPromptIsRefused)
{
  this->policy.limits.promptTokens = 100;
  EXPECT_TRUE(this->Enters(100));
  EXPECT_FALSE(this->Enters(101));
}

TEST_F(SubtreeLimiterTest, LimitsOfOneTeamDoNotAffectAnother)
{
  this->policy.limits.concurrentRequests = 1;
  EXPECT_TRUE(this->Enters());
  this->policy.workspace = WorkspaceId("branch");
  EXPECT_TRUE(this->Enters());
}

} // namespace
} // namespace damasklink
