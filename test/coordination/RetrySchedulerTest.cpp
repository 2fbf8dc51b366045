#include "damasklink/coordination/RetryScheduler.h"

#include <algorithm>
#include <functional>
#include <map>

#include <gtest/gtest.h>

namespace damasklink {
namespace {

// Simulates targets of a fixed rate behind one host. Refused callers retry once.
class RetrySchedulerTest : public ::testing::Test
{
protected:
  static constexpr Duration kStep = std::chrono::milliseconds(10);
  // Queue limit of the targets, 0.4 s of their work; calls beyond it would be late.
  static constexpr double kMaxQueued = 4;

  // Runs the simulation for aTime with aArrivals(now) new calls in each step. Returns how many
  // calls are refused twice.
  int CountRefusedTwice(const std::function<double(Duration)>& aArrivals,
                        Duration aTime,
                        double aServedPerStep,
                        const std::function<Duration()>& aRetryDelay)
  {
    std::map<Duration, int> returning;
    double arriving = 0;
    double queued = 0;
    int refusedTwice = 0;
    for (Duration now{ 0 }; now < aTime; now += kStep) {
      queued = std::max(queued - aServedPerStep, 0.0);
      arriving += aArrivals(now);
      int retries = 0;
      while (!returning.empty() && returning.begin()->first <= now) {
        retries += returning.begin()->second;
        returning.erase(returning.begin());
      }
      const int newCalls = static_cast<int>(arriving);
      arriving -= newCalls;
      for (int call = 0; call < newCalls + retries; ++call) {
        if (queued < kMaxQueued) {
          queued += 1;
          this->scheduler.OnAdmitted();
        } else if (call < newCalls) {
          ++returning[now + aRetryDelay()];
        } else {
          ++refusedTwice;
        }
      }
      this->clock.Advance(kStep);
    }
    return refusedTwice;
  }

  ManualClock clock;
  RetryScheduler scheduler{ this->clock, 1 };
};

// After an outage of all hosts the calls of two seconds arrive within 0.8 s, followed by the usual
// load of 80 % of what the targets can take. With equal delays the refused callers return together
// and are refused again.
TEST_F(RetrySchedulerTest, SpreadsRetriesAfterOutage)
{
  const auto surge = [](Duration aNow) {
    return aNow < std::chrono::milliseconds(800) ? 0.25 : 0.08;
  };
  constexpr Duration kTime = std::chrono::seconds(6);
  const int withEqualDelays =
    this->CountRefusedTwice(surge, kTime, 0.1, [] { return RetryScheduler::kMinRetryDelay; });
  const int withScheduler =
    this->CountRefusedTwice(surge, kTime, 0.1, [this] { return this->scheduler.NextRetryDelay(); });
  EXPECT_GT(withEqualDelays, 4);
  EXPECT_LE(withScheduler * 2, withEqualDelays);
}

TEST_F(RetrySchedulerTest, SingleRefusedCallerGetsMinDelay)
{
  for (int call = 0; call < 20; ++call) {
    this->scheduler.OnAdmitted();
  }
  EXPECT_EQ(this->scheduler.NextRetryDelay(), RetryScheduler::kMinRetryDelay);
  this->clock.Advance(std::chrono::seconds(2));
  EXPECT_EQ(this->scheduler.NextRetryDelay(), RetryScheduler::kMinRetryDelay);
}

TEST_F(RetrySchedulerTest, DelayStaysWithinBounds)
{
  for (int caller = 0; caller < 1'000; ++caller) {
    const Duration after = this->scheduler.NextRetryDelay();
    EXPECT_GE(after, RetryScheduler::kMinRetryDelay);
    EXPECT_LE(after, RetryScheduler::kMaxRetryDelay);
  }
}

} // namespace
} // namespace damasklink
