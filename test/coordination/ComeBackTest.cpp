#include "damasklink/coordination/ComeBack.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

// All hosts start together. For 1.2 s, 120 calls a second reach entry hosts without a
// configuration, and each caller retries once. No retry may come too early and be refused again,
// and retries must not all come at one moment.
TEST(ComeBackTest, SpreadsRetriesOverTheTimeAfterStartup)
{
  constexpr Duration kReady = std::chrono::milliseconds(1200);
  constexpr Duration kStep = std::chrono::microseconds(8333);
  ComeBack retryDelay(1);
  int tooEarly = 0;
  int inFirstTenth = 0;
  int callers = 0;
  for (Duration arrival{ 0 }; arrival < kReady; arrival += kStep) {
    const Duration retryAt = arrival + retryDelay.DelayDuringStartup(arrival);
    tooEarly += retryAt < kReady ? 1 : 0;
    inFirstTenth += retryAt < ComeBack::kStartTakes + ComeBack::kRetrySpread / 10 ? 1 : 0;
    ++callers;
  }
  EXPECT_EQ(tooEarly, 0);
  EXPECT_LT(inFirstTenth, callers / 4);
}

TEST(ComeBackTest, ReturnsShortDelayWhenStartupIsLate)
{
  ComeBack retryDelay(1);
  EXPECT_EQ(retryDelay.DelayDuringStartup(ComeBack::kStartTakes), ComeBack::kLateStartupDelay);
  EXPECT_EQ(retryDelay.DelayDuringStartup(std::chrono::hours(1)), ComeBack::kLateStartupDelay);
}

} // namespace
} // namespace damasklink
