#include "program/QueuedRequestMemory.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

constexpr std::size_t kBody = 4 * kMebibyte;

// A budget that large requests have filled, on an event loop of its own.
class QueuedRequestMemoryTest : public ::testing::Test
{
protected:
  QueuedRequestMemoryTest()
  {
    while (auto reserved = this->budget.TryReserve(MemoryUse::RequestBodies, kBody)) {
      this->held.push_back(std::move(*reserved));
    }
  }

  Awaitable<void> ReserveInto(std::optional<Result<MemoryReservation>>& aTo, std::size_t aBytes)
  {
    const HttpRequestHead head;
    aTo.emplace(co_await this->memory.Reserve(head, aBytes));
  }

  // Begins to reserve and runs the loop until nothing is left to do at once.
  void Begin(std::optional<Result<MemoryReservation>>& aTo, std::size_t aBytes = kBody)
  {
    asio::co_spawn(this->loop, this->ReserveInto(aTo, aBytes), asio::detached);
    this->Poll();
  }

  void Poll()
  {
    this->loop.restart();
    this->loop.poll();
  }

  // Runs the loop until it has nothing to wait for.
  void RunToEnd()
  {
    this->loop.restart();
    this->loop.run();
  }

  NoMetrics metrics;
  ManualClock clock;
  MemoryBudget budget{ ByteCount(100 * kMebibyte) };
  asio::io_context loop{ 1 };
  std::vector<MemoryReservation> held;
  RequestUrgency urgency{ RequestId("r"), 1, std::chrono::milliseconds(80) };
  std::size_t asked = 0;
  std::function<void(std::size_t)> makeRoom = [](std::size_t /*aBytes*/) {};
  QueuedRequestMemory memory{ this->loop,
                              this->clock,
                              this->budget,
                              this->metrics,
                              [this](const auto& /*aHead*/) { return this->urgency; },
                              [this](std::size_t aBytes) {
                                this->asked = aBytes;
                                this->makeRoom(aBytes);
                              },
                              1 };
};

TEST_F(QueuedRequestMemoryTest, LargeRequestWaitsUntilMemoryIsGivenBack)
{
  std::optional<Result<MemoryReservation>> reserved;
  this->Begin(reserved);
  EXPECT_FALSE(reserved);
  this->held.pop_back();
  this->RunToEnd();
  ASSERT_TRUE(reserved);
  EXPECT_TRUE(reserved->has_value());
}

TEST_F(QueuedRequestMemoryTest, LargeRequestIsRefusedAfterItsShareOfThePatience)
{
  std::optional<Result<MemoryReservation>> reserved;
  this->Begin(reserved);
  this->RunToEnd();
  ASSERT_TRUE(reserved);
  EXPECT_EQ(reserved->error().kind, ErrorKind::Unavailable);
}

TEST_F(QueuedRequestMemoryTest, SmallRequestDoesNotWaitForLargeOnes)
{
  std::optional<Result<MemoryReservation>> large;
  std::optional<Result<MemoryReservation>> small;
  this->Begin(large);
  this->Begin(small, kKibibyte);
  ASSERT_TRUE(small);
  EXPECT_TRUE(small->has_value());
  EXPECT_FALSE(large);
  this->RunToEnd();
}

TEST_F(QueuedRequestMemoryTest, RequestTakesWhatOthersGiveBackForIt)
{
  this->makeRoom = [this](std::size_t /*aBytes*/) { this->held.pop_back(); };
  std::optional<Result<MemoryReservation>> reserved;
  this->Begin(reserved);
  ASSERT_TRUE(reserved);
  EXPECT_TRUE(reserved->has_value());
  EXPECT_GT(this->asked, 0U);
  EXPECT_LE(this->asked, kBody);
}

// Guards against requests that are refused at once since nothing but messages between hosts came
// and went of late.
TEST_F(QueuedRequestMemoryTest, MessagesBetweenHostsSayNothingAboutTheWait)
{
  for (int count = 0; count < 30; ++count) {
    this->clock.Advance(std::chrono::milliseconds(100));
    this->budget.TryReserve(MemoryUse::PeerQueues, 100);
  }
  std::optional<Result<MemoryReservation>> reserved;
  this->Begin(reserved);
  EXPECT_FALSE(reserved);
  this->held.pop_back();
  this->RunToEnd();
  EXPECT_TRUE(reserved->has_value());
}

} // namespace
} // namespace damasklink
