#include "damasklink/transport/LogLineLimiter.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

// Returns how many of the lines are admitted in the second.
int
Admitted(LogLineLimiter& aLimiter, LogLevel aLevel, std::int64_t aSecond, int aLines)
{
  int admitted = 0;
  for (int number = 0; number < aLines; ++number) {
    admitted += aLimiter.Admit("storm", aLevel, aSecond) ? 1 : 0;
  }
  return admitted;
}

TEST(LogLineLimiterTest, LinesPerSecondAreLimited)
{
  LogLineLimiter limiter;
  EXPECT_EQ(Admitted(limiter, LogLevel::Info, 1, 150), 100);
  EXPECT_EQ(Admitted(limiter, LogLevel::Info, 2, 150), 100);
  EXPECT_EQ(limiter.Admit("storm", LogLevel::Info, 3), 50U);
}

// Guards against requests without an answer that no line names, since many had none in one second.
TEST(LogLineLimiterTest, WarningsHaveALimitOfTheirOwn)
{
  LogLineLimiter limiter;
  EXPECT_EQ(Admitted(limiter, LogLevel::Warning, 1, 600), 600);
  EXPECT_EQ(Admitted(limiter, LogLevel::Warning, 1, 10000), 400);
}

} // namespace
} // namespace damasklink
