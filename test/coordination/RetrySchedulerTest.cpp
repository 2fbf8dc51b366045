#include "damasklink/coordination/RetryScheduler.h"

#include <algorithm>
#include <functional>
#include <map>

#include <gtest/gtest.h>

namespace damasklink {
namespace {

// Targets of a fixed rate behind one host, under callers that come back once.
class RetrySchedulerTest : public ::testing::Test
{
protected:
  static constexpr Duration kStep = std::chrono::milliseconds(10);
  // What waits at the targets beyond this would be late; 0.4 s of their work.
  static constexpr double kMostWaiting = 4;

  // Lets calls arrive, so many in each step by aArrivals, and returns how many are refused twice.
  int CountLost(const std::function<double(Duration)>& aArrivals,
                Duration aTime,
                double aServedAStep,
                const std::function<Duration()>& aComeBack)
  {
    std::map<Duration, int> returning;
    double arriving = 0;
    double waiting = 0;
    int lost = 0;
    for (Duration now{ 0 }; now < aTime; now += kStep) {
      waiting = std::max(waiting - aServedAStep, 0.0);
      arriving += aArrivals(now);
      int again = 0;
      while (!returning.empty() && returning.begin()->first <= now) {
        again += returning.begin()->second;
        returning.erase(returning.begin());
      }
      const int fresh = static_cast<int>(arriving);
      arriving -= fresh;
      for (int call = 0; call < fresh + again; ++call) {
        if (waiting < kMostWaiting) {
          waiting += 1;
          this->queue.OnAdmitted();
        } else if (call < fresh) {
          ++returning[now + aComeBack()];
        } else {
          ++lost;
        }
      }
      this->clock.Advance(kStep);
    }
    return lost;
  }

  ManualClock clock;
  RetryScheduler queue{ this->clock, 1 };
};

// The load: all hosts were dark for some seconds, and for 0.8 s as many callers ask as in two
// seconds; then the usual 80 in 100 of what targets can take.
TEST_F(RetrySchedulerTest, SpreadsRetriesAfterOutage)
{
  const auto surge = [](Duration aNow) {
    return aNow < std::chrono::milliseconds(800) ? 0.25 : 0.08;
  };
  constexpr Duration kTime = std::chrono::seconds(6);
  const int together =
    this->CountLost(surge, kTime, 0.1, [] { return RetryScheduler::kMinRetryDelay; });
  const int inTurn =
    this->CountLost(surge, kTime, 0.1, [this] { return this->queue.NextRetryDelay(); });
  EXPECT_GT(together, 4);
  EXPECT_LE(inTurn * 2, together);
}

TEST_F(RetrySchedulerTest, SingleRefusedCallerGetsMinDelay)
{
  for (int call = 0; call < 20; ++call) {
    this->queue.OnAdmitted();
  }
  EXPECT_EQ(this->queue.NextRetryDelay(), RetryScheduler::kMinRetryDelay);
  this->clock.Advance(std::chrono::seconds(2));
  EXPECT_EQ(this->queue.NextRetryDelay(), RetryScheduler::kMinRetryDelay);
}

TEST_F(RetrySchedulerTest, DelayStaysWithinBounds)
{
  for (int caller = 0; caller < 1'000; ++caller) {
    const Duration after = this->queue.NextRetryDelay();
    EXPECT_GE(after, RetryScheduler::kMinRetryDelay);
    EXPECT_LE(after, RetryScheduler::kMaxRetryDelay);
  }
}

} // namespace
} // namespace damasklink
