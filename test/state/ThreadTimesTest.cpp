#include "damasklink/state/ThreadTimes.h"

#include <ctime>

#include <gtest/gtest.h>

namespace damasklink {
namespace {

TEST(ThreadTimesTest, ReadsBothTimes)
{
  const ThreadTimes times = ParseThreadTimes("5000 300 7\n").value();
  EXPECT_EQ(times.running, Duration(5000));
  EXPECT_EQ(times.waitingForProcessor, Duration(300));
}

TEST(ThreadTimesTest, RefusesOtherText)
{
  EXPECT_FALSE(ParseThreadTimes(""));
  EXPECT_FALSE(ParseThreadTimes("5000 many 7"));
  EXPECT_FALSE(ParseThreadTimes("5000 300"));
}

// Some kernels count the running time in steps of several milliseconds.
TEST(ThreadTimesTest, ThisThreadHasRun)
{
  const auto processorTime = [] {
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
  };
  const Duration before = ReadThreadTimes().value().running;
  const auto end = processorTime() + std::chrono::milliseconds(50);
  while (processorTime() < end) {
  }
  EXPECT_GT(ReadThreadTimes().value().running - before, std::chrono::milliseconds(25));
}

} // namespace
} // namespace damasklink
