#include "program/ClockTimer.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

// Guards against a stop that lasts longer by the time for which its machine was suspended before.
TEST(ClockTimerTest, WaitsAsLongByTheTimersClock)
{
  asio::io_context loop;
  asio::steady_timer timer(loop);
  ManualClock clock;
  for (const auto suspended : { std::chrono::hours(0), std::chrono::hours(1) }) {
    clock.Advance(suspended);
    ExpireAt(timer, clock, clock.MonotonicNow() + std::chrono::seconds(2));
    const Duration wait = timer.expiry() - asio::steady_timer::clock_type::now();
    EXPECT_LE(wait, std::chrono::seconds(2));
    EXPECT_GT(wait, std::chrono::seconds(1));
  }
}

} // namespace
} // namespace damasklink
