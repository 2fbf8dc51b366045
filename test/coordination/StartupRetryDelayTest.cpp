#include "damasklink/coordination/StartupRetryDelay.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

// All hosts start together. For 1.2 s, 120 calls a second reach entry hosts without a
// configuration, and each caller retries once. No retry may come too early and be refused again,
// and retries must not all come at one moment.
TEST(StartupRetryDelayTest, SpreadsRetriesOverTheTimeAfterStartup)
{
  constexpr Duration kReady = std::chrono::milliseconds(1200);
  constexpr Duration kStep = std::chrono::microseconds(8333);
  StartupRetryDelay retryDelay(1);
  int tooEarly = 0;
  int inFirstTenth = 0;
  int callers = 0;
  for (Duration arrival{ 0 }; arrival < kReady; arrival += kStep) {
    const Duration retryAt = arrival + retryDelay.DelayDuringStartup(arrival);
    tooEarly += retryAt < kReady ? 1 : 0;
    inFirstTenth +=
      retryAt < StartupRetryDelay::kStartTakes + StartupRetryDelay::kRetrySpread / 10 ? 1 : 0;
    ++callers;
  }
  EXPECT_EQ(tooEarly, 0);
  EXPECT_LT(inFirstTenth, callers / 4);
}

TEST(StartupRetryDelayTest, ReturnsShortDelayWhenStartupIsLate)
{
  StartupRetryDelay retryDelay(1);
  EXPECT_EQ(retryDelay.DelayDuringStartup(StartupRetryDelay::kStartTakes),
            StartupRetryDelay::kLateStartupDelay);
  EXPECT_EQ(retryDelay.DelayDuringStartup(std::chrono::hours(1)),
            StartupRetryDelay::kLateStartupDelay);
}

} // namespace
} // namespace damasklink
