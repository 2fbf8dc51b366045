#include "damasklink/coordination/RefusalLimiter.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class RefusalLimiterTest : public ::testing::Test
{
protected:
  // Refuses as many connections as permitted, up to aOffered, and returns how many these were.
  std::size_t Refuse(std::size_t aOffered)
  {
    std::size_t refused = 0;
    for (std::size_t number = 0; number < aOffered; ++number) {
      if (this->limiter.TryBegin()) {
        this->limiter.End();
        ++refused;
      }
    }
    return refused;
  }

  ManualClock clock;
  RefusalLimiter limiter{ this->clock };
};

// Guards against callers of a lost host that another host closes unread.
TEST_F(RefusalLimiterTest, BurstIsRefused)
{
  EXPECT_EQ(this->Refuse(300), 300U);
  this->clock.Advance(milliseconds(500));
  EXPECT_EQ(this->Refuse(300), 300U);
}

// Guards against a host that spends its processor on refusals.
TEST_F(RefusalLimiterTest, RateIsBounded)
{
  std::size_t refused = this->Refuse(10000);
  EXPECT_EQ(refused, 500U);
  refused = 0;
  for (int tenth = 0; tenth < 100; ++tenth) {
    this->clock.Advance(milliseconds(100));
    refused += this->Refuse(1000);
  }
  EXPECT_LE(refused, 10000U);
  EXPECT_GE(refused, 9990U);
}

// Guards against a burst that grows with the time for which nothing was refused.
TEST_F(RefusalLimiterTest, BurstIsBoundedAfterAPause)
{
  this->clock.Advance(seconds(3600));
  EXPECT_EQ(this->Refuse(10000), 500U);
}

// Guards against callers that connect and send nothing until the host has no descriptor left.
TEST_F(RefusalLimiterTest, RefusalsInProgressAreBounded)
{
  std::size_t begun = 0;
  for (int second = 0; second < 10; ++second) {
    this->clock.Advance(seconds(1));
    while (this->limiter.TryBegin()) {
      ++begun;
    }
  }
  EXPECT_EQ(begun, RefusalLimiter::kMostAtOnce);
  EXPECT_EQ(this->limiter.Count(), RefusalLimiter::kMostAtOnce);
  this->limiter.End();
  EXPECT_TRUE(this->limiter.TryBegin());
  EXPECT_FALSE(this->limiter.TryBegin());
}

} // namespace
} // namespace damasklink
