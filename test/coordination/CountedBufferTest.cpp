#include "damasklink/coordination/CountedBuffer.h"

#include <gtest/gtest.h>

#include "damasklink/state/Units.h"

namespace damasklink {
namespace {

class CountedBufferTest : public ::testing::Test
{
protected:
  MemoryBudget budget{ ByteCount(16 * kMebibyte) };
};

TEST_F(CountedBufferTest, CountsWhatItHolds)
{
  {
    CountedBuffer buffer(this->budget, MemoryUse::Responses);
    const std::string chunk(100 * kKibibyte, 'x');
    for (int count = 0; count < 10; ++count) {
      ASSERT_TRUE(buffer.Append(chunk));
      EXPECT_GE(this->budget.HeldFor(MemoryUse::Responses), buffer.Size());
    }
    EXPECT_EQ(buffer.TakeBytes().size(), 10 * chunk.size());
  }
  EXPECT_EQ(this->budget.Held(), 0U);
}

TEST_F(CountedBufferTest, AppendWithoutRoomChangesNothing)
{
  CountedBuffer buffer(this->budget, MemoryUse::Responses);
  ASSERT_TRUE(buffer.Append("abc"));
  EXPECT_FALSE(buffer.Append(std::string(16 * kMebibyte, 'x')));
  EXPECT_EQ(buffer.Bytes(), "abc");
}

// Guards against a buffer that holds its old and its new copy beyond the limit while it grows.
TEST_F(CountedBufferTest, GrowthCountsBothCopies)
{
  CountedBuffer buffer(this->budget, MemoryUse::Responses);
  ASSERT_TRUE(buffer.Append(std::string(4 * kMebibyte, 'x')));
  EXPECT_FALSE(buffer.Append(std::string(3 * kMebibyte, 'x')));
  EXPECT_TRUE(buffer.Append(std::string(kMebibyte / 2, 'x')));
}

TEST_F(CountedBufferTest, StatedLengthIsReservedAtOnce)
{
  CountedBuffer buffer(this->budget, MemoryUse::Responses);
  EXPECT_FALSE(buffer.Reserve(16 * kMebibyte));
  EXPECT_TRUE(buffer.Reserve(6 * kMebibyte));
  EXPECT_EQ(this->budget.Held(), 6 * kMebibyte);
  EXPECT_TRUE(buffer.Append(std::string(6 * kMebibyte, 'x')));
}

} // namespace
} // namespace damasklink
