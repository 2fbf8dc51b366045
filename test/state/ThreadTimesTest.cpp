#include "damasklink/state/ThreadTimes.h"

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

TEST(ThreadTimesTest, ThisThreadHasRun)
{
  EXPECT_GT(ReadThreadTimes().value().running, Duration::zero());
}

} // namespace
} // namespace damasklink
