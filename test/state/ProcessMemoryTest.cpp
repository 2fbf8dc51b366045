#include "damasklink/state/ProcessMemory.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

constexpr std::size_t kPage = 4096;

TEST(ProcessMemoryTest, ReadsTheResidentPages)
{
  EXPECT_EQ(ParseResidentMemory("5000 300 200 1 0 400 0\n", kPage).value(), ByteCount(300 * kPage));
}

TEST(ProcessMemoryTest, RefusesOtherText)
{
  EXPECT_FALSE(ParseResidentMemory("", kPage));
  EXPECT_FALSE(ParseResidentMemory("5000 many", kPage));
}

TEST(ProcessMemoryTest, ThisProcessUsesSome)
{
  EXPECT_GT(ReadResidentMemory().value(), ByteCount(kPage));
}

} // namespace
} // namespace damasklink
