#include "damasklink/coordination/StartupRetryDelay.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

// The load: all hosts were down and start together. 120 calls a second meet entry hosts that have
// no configuration for 1.2 s, and each caller comes back once. None of them may be refused twice,
// nor may they all return in one moment.
TEST(StartupRetryDelayTest, SpreadsRetriesOverTheTimeAfterStartup)
{
  constexpr Duration kReady = std::chrono::milliseconds(1200);
  constexpr Duration kStep = std::chrono::microseconds(8333);
  StartupRetryDelay comeBack(1);
  int early = 0;
  int inFirstTenth = 0;
  int all = 0;
  for (Duration arrival{ 0 }; arrival < kReady; arrival += kStep) {
    const Duration back = arrival + comeBack.DelayDuringStartup(arrival);
    early += back < kReady ? 1 : 0;
    inFirstTenth +=
      back < StartupRetryDelay::kStartupDuration + StartupRetryDelay::kRetrySpread / 10 ? 1 : 0;
    ++all;
  }
  EXPECT_EQ(early, 0);
  EXPECT_LT(inFirstTenth, all / 4);
}

TEST(StartupRetryDelayTest, ReturnsShortDelayWhenStartupIsLate)
{
  StartupRetryDelay comeBack(1);
  EXPECT_EQ(comeBack.DelayDuringStartup(StartupRetryDelay::kStartupDuration),
            StartupRetryDelay::kLateStartupDelay);
  EXPECT_EQ(comeBack.DelayDuringStartup(std::chrono::hours(1)),
            StartupRetryDelay::kLateStartupDelay);
}

} // namespace
} // namespace damasklink
