#include "damasklink/coordination/ResponseBuffer.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "damasklink/state/Units.h"

namespace damasklink {
namespace {

class ResponseBufferTest : public ::testing::Test
{
protected:
  MemoryBudget budget{ ByteCount(110 * kMebibyte) };
  const std::string chunk = std::string(16 * kKibibyte, 'x');
};

// Guards against bodies without end that grow side by side until none can be completed, and against
// more of them than a part of the memory: 68 calls at once on a host of 110 MB.
TEST_F(ResponseBufferTest, BodiesWithoutEndKeepToTheirPartAndSomeAreCompleted)
{
  std::vector<ResponseBuffer> bodies;
  for (int count = 0; count < 68; ++count) {
    bodies.emplace_back(this->budget, std::nullopt);
  }
  for (std::size_t size = 0; size < ResponseBuffer::kMaxBytes; size += this->chunk.size()) {
    for (ResponseBuffer& body : bodies) {
      if (body.Size() == size) {
        body.Append(this->chunk);
      }
    }
    ASSERT_LE(this->budget.Held(), this->budget.Limit() / 2 + 68 * MemoryBudget::kSmallBytes);
  }
  const auto completed = std::count_if(bodies.begin(), bodies.end(), [](const auto& aBody) {
    return aBody.Size() == ResponseBuffer::kMaxBytes;
  });
  EXPECT_GE(completed, 4);
}

TEST_F(ResponseBufferTest, RoomOfOneThatIsGivenUpGoesToAnother)
{
  MemoryBudget small(ByteCount(12 * kMebibyte));
  std::optional<ResponseBuffer> first(std::in_place, small, std::nullopt);
  ResponseBuffer second(small, std::nullopt);
  const std::string large(100 * kKibibyte, 'x');
  ASSERT_TRUE(first->Append(large));
  EXPECT_FALSE(second.Append(large));
  EXPECT_EQ(second.Size(), 0U);
  first.reset();
  EXPECT_TRUE(second.Append(large));
}

// Guards against slow bodies that hold the memory for all that they state.
TEST_F(ResponseBufferTest, StatedLengthIsNotReservedWhileLittleHasCome)
{
  ResponseBuffer body(this->budget, 4 * kMebibyte);
  ASSERT_TRUE(body.Append("x"));
  EXPECT_LE(this->budget.Held(), MemoryBudget::kSmallBytes);
  ASSERT_TRUE(body.Append(std::string(100 * kKibibyte, 'x')));
  EXPECT_EQ(this->budget.Held(), 4 * kMebibyte);
}

} // namespace
} // namespace damasklink
