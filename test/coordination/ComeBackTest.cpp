#include "damasklink/coordination/ComeBack.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

// The load: all hosts were down and start together. 120 calls a second meet entry hosts that have
// no configuration for 1.2 s, and each caller comes back once. None of them may be refused twice,
// nor may they all return in one moment.
TEST(ComeBackTest, WhoIsRefusedDuringAStartReturnsOnceAfterIt)
{
  constexpr Duration kReady = std::chrono::milliseconds(1200);
  constexpr Duration kStep = std::chrono::microseconds(8333);
  ComeBack comeBack(1);
  int early = 0;
  int inFirstTenth = 0;
  int all = 0;
  for (Duration arrival{ 0 }; arrival < kReady; arrival += kStep) {
    const Duration back = arrival + comeBack.WhileStarting(arrival);
    early += back < kReady ? 1 : 0;
    inFirstTenth += back < ComeBack::kStartTakes + ComeBack::kReturnOver / 10 ? 1 : 0;
    ++all;
  }
  EXPECT_EQ(early, 0);
  EXPECT_LT(inFirstTenth, all / 4);
}

TEST(ComeBackTest, StartThatTakesLongerIsAskedAgainSoon)
{
  ComeBack comeBack(1);
  EXPECT_EQ(comeBack.WhileStarting(ComeBack::kStartTakes), ComeBack::kStartIsLate);
  EXPECT_EQ(comeBack.WhileStarting(std::chrono::hours(1)), ComeBack::kStartIsLate);
}

} // namespace
} // namespace damasklink
