#include "damasklink/coordination/HedgeBudget.h"

#include <cmath>
#include <vector>

#include <gtest/gtest.h>

#include "damasklink/coordination/ServiceRetryBudgets.h"

namespace damasklink {
namespace {

const ServiceName kService("s");
constexpr double kShare = 0.01;
constexpr std::uint64_t kCallsPerMillisecond = 32;

// Calls of many hosts, all of which would be hedged while they may be.
class HedgingHosts
{
public:
  explicit HedgingHosts(std::uint64_t aCount)
    : random(1)
  {
    for (std::uint64_t host = 0; host < aCount; ++host) {
      this->Start(host);
    }
  }

  // A host that has no budget of the retries yet.
  void Start(std::uint64_t aHost)
  {
    this->hosts.resize(std::max<std::size_t>(this->hosts.size(), aHost + 1));
    this->hosts[aHost] = { HedgeBudgets(kShare, this->random()),
                           ServiceRetryBudgets(RetryAllowance{}, this->random()) };
  }

  // Plays one second and returns the hedges that were sent.
  std::uint64_t PlaySecond(bool aSlow)
  {
    std::uint64_t sent = 0;
    for (int step = 0; step < 1000; ++step) {
      this->now += std::chrono::milliseconds(1);
      for (std::uint64_t call = 0; call < kCallsPerMillisecond; ++call) {
        Host& host = this->hosts[this->random() % this->hosts.size()];
        host.hedges.SetHosts(this->hosts.size());
        host.retries.SetHosts(this->hosts.size());
        host.hedges.OnCall(kService, this->now);
        host.retries.OnCall(kService);
        const bool hedged =
          aSlow && host.hedges.TryTake(kService, this->now, host.retries.Of(kService));
        sent += hedged ? 1U : 0U;
      }
    }
    return sent;
  }

  std::mt19937_64 random;

private:
  struct Host
  {
    HedgeBudgets hedges;
    ServiceRetryBudgets retries{ RetryAllowance{}, 1 };
  };

  MonotonicTime now = MonotonicTime(std::chrono::hours(1));
  std::vector<Host> hosts;
};

class HedgeBudgetTest : public ::testing::TestWithParam<std::uint64_t>
{
protected:
  // What the calls of so many seconds allow, with the burst and four deviations of the draws.
  static double Limit(int aSeconds)
  {
    const double share = kShare * 1000 * kCallsPerMillisecond * aSeconds;
    return share + HedgeBudgets::kBurst + 4 * std::sqrt(share);
  }
};

TEST_P(HedgeBudgetTest, AllHostsTogetherKeepToTheShareAndUseIt)
{
  HedgingHosts hosts(GetParam());
  std::uint64_t sent = 0;
  for (int second = 0; second < 10; ++second) {
    const std::uint64_t now = hosts.PlaySecond(true);
    EXPECT_LE(static_cast<double>(now), Limit(2));
    sent += now;
  }
  EXPECT_LE(static_cast<double>(sent), Limit(10));
  EXPECT_GE(static_cast<double>(sent), 0.7 * kShare * 10000 * kCallsPerMillisecond);
}

// Load: no call is slow for long, then all are at the same moment.
TEST_P(HedgeBudgetTest, HostsSaveNothingForABurst)
{
  HedgingHosts hosts(GetParam());
  for (int second = 0; second < 10; ++second) {
    hosts.PlaySecond(false);
  }
  EXPECT_LE(static_cast<double>(hosts.PlaySecond(true)), Limit(3));
}

// Load: hosts start anew all the time, and others take no calls meanwhile.
TEST_P(HedgeBudgetTest, HostsThatComeAndGoAddNothing)
{
  HedgingHosts hosts(GetParam());
  std::uint64_t sent = 0;
  for (int second = 0; second < 10; ++second) {
    for (std::uint64_t start = 0; start < GetParam() / 3; ++start) {
      hosts.Start(hosts.random() % GetParam());
    }
    sent += hosts.PlaySecond(true);
  }
  EXPECT_LE(static_cast<double>(sent), Limit(10));
}

INSTANTIATE_TEST_SUITE_P(Hosts, HedgeBudgetTest, ::testing::Values(1, 9, 72, 985));

TEST(HedgeBudgetsTest, LeavesTheRetriesOfFailures)
{
  const MonotonicTime now(std::chrono::hours(1));
  HedgeBudgets hedges(0.2, 1);
  hedges.SetHosts(1);
  RetryBudget retries(0.2, 3);
  std::uint64_t sent = 0;
  for (int call = 0; call < 1000; ++call) {
    hedges.OnCall(kService, now);
    retries.OnRequest();
    sent += hedges.TryTake(kService, now, retries) ? 1U : 0U;
  }
  EXPECT_GT(sent, 100U);
  EXPECT_TRUE(retries.TryTake());
  EXPECT_TRUE(retries.TryTake());
  EXPECT_TRUE(retries.TryTake());
}

// Load: failures use up all retries.
TEST(HedgeBudgetsTest, NoHedgeWhileRetriesAreShort)
{
  const MonotonicTime now(std::chrono::hours(1));
  HedgeBudgets hedges(0.2, 1);
  hedges.SetHosts(1);
  RetryBudget retries(0.2, 3);
  for (int call = 0; call < 1000; ++call) {
    hedges.OnCall(kService, now);
    retries.OnRequest();
    retries.TryTake();
    EXPECT_FALSE(hedges.TryTake(kService, now, retries));
  }
}

TEST(HedgeBudgetsTest, ShareOfZeroAllowsNone)
{
  const MonotonicTime now(std::chrono::hours(1));
  HedgeBudgets hedges;
  hedges.SetHosts(1);
  RetryBudget retries(1, 1);
  for (int call = 0; call < 100; ++call) {
    hedges.OnCall(kService, now);
    retries.OnRequest();
    EXPECT_FALSE(hedges.TryTake(kService, now, retries));
  }
}

} // namespace
} // namespace damasklink
