#include "damasklink/coordination/StartupWaitLimiter.h"

#include <deque>

#include <gtest/gtest.h>

namespace damasklink {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(StartupWaitLimiterTest, WaitIsBoundedShareOfCallerPatience)
{
  StartupWaitLimiter waits;
  EXPECT_EQ(waits.Begin(milliseconds(400), 1), milliseconds(100));
  EXPECT_EQ(waits.Begin(seconds(12), 1), StartupWaitLimiter::kLongestWait);
  EXPECT_EQ(waits.Begin(Duration::zero(), 1), Duration::zero());
}

TEST(StartupWaitLimiterTest, RefusesCallsBeyondCountLimit)
{
  StartupWaitLimiter waits;
  for (std::size_t call = 0; call < StartupWaitLimiter::kMostCalls; ++call) {
    EXPECT_GT(waits.Begin(seconds(1), 1), Duration::zero());
  }
  EXPECT_EQ(waits.Begin(seconds(1), 1), Duration::zero());
  waits.End(1);
  EXPECT_GT(waits.Begin(seconds(1), 1), Duration::zero());
}

TEST(StartupWaitLimiterTest, RefusesCallsBeyondByteLimit)
{
  StartupWaitLimiter waits;
  EXPECT_GT(waits.Begin(seconds(1), StartupWaitLimiter::kMostBytes), Duration::zero());
  EXPECT_EQ(waits.Begin(seconds(1), 1), Duration::zero());
}

// A second without power, 80 hosts and 1,000 calls a second: the configuration comes some time
// after the hosts. Counts the calls that could be relayed before their callers had to come again.
TEST(StartupWaitLimiterTest, ServesCallsThatArriveJustBeforeFirstConfiguration)
{
  constexpr std::size_t kHosts = 80;
  constexpr Duration kBetweenCalls = milliseconds(1);
  constexpr Duration kConfigured = milliseconds(130);
  std::deque<StartupWaitLimiter> hosts(kHosts);
  std::size_t served = 0;
  std::size_t calls = 0;
  for (Duration at = Duration::zero(); at < kConfigured; at += kBetweenCalls) {
    const Duration most = hosts[calls % kHosts].Begin(seconds(3), 12'000);
    served += at + most >= kConfigured ? 1 : 0;
    ++calls;
  }
  EXPECT_EQ(served, calls);
}

} // namespace
} // namespace damasklink
