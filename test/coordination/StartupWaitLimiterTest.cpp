#include "damasklink/coordination/StartupWaitLimiter.h"

#include <deque>

#include <gtest/gtest.h>

namespace damasklink {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(StartupWaitLimiterTest, WaitIsBoundedShareOfCallerPatience)
{
  StartupWaitLimiter wait;
  EXPECT_EQ(wait.Begin(milliseconds(400), 1), milliseconds(100));
  EXPECT_EQ(wait.Begin(seconds(12), 1), StartupWaitLimiter::kLongestWait);
  EXPECT_EQ(wait.Begin(Duration::zero(), 1), Duration::zero());
}

TEST(StartupWaitLimiterTest, RefusesCallsBeyondCountLimit)
{
  StartupWaitLimiter wait;
  for (std::size_t call = 0; call < StartupWaitLimiter::kMostCalls; ++call) {
    EXPECT_GT(wait.Begin(seconds(1), 1), Duration::zero());
  }
  EXPECT_EQ(wait.Begin(seconds(1), 1), Duration::zero());
  wait.End(1);
  EXPECT_GT(wait.Begin(seconds(1), 1), Duration::zero());
}

TEST(StartupWaitLimiterTest, RefusesCallsBeyondByteLimit)
{
  StartupWaitLimiter wait;
  EXPECT_GT(wait.Begin(seconds(1), StartupWaitLimiter::kMostBytes), Duration::zero());
  EXPECT_EQ(wait.Begin(seconds(1), 1), Duration::zero());
}

// After a power failure of one second, 80 hosts get 1,000 calls a second, and the configuration
// arrives 130 ms after the hosts have started. Counts the calls that need not be retried by their
// callers.
TEST(StartupWaitLimiterTest, ServesCallsThatArriveJustBeforeFirstConfiguration)
{
  constexpr std::size_t kHosts = 80;
  constexpr Duration kBetweenCalls = milliseconds(1);
  constexpr Duration kConfigured = milliseconds(130);
  std::deque<StartupWaitLimiter> hosts(kHosts);
  std::size_t served = 0;
  std::size_t calls = 0;
  for (Duration at = Duration::zero(); at < kConfigured; at += kBetweenCalls) {
    const Duration longest = hosts[calls % kHosts].Begin(seconds(3), 12'000);
    served += at + longest >= kConfigured ? 1 : 0;
    ++calls;
  }
  EXPECT_EQ(served, calls);
}

} // namespace
} // namespace damasklink
