#include "damasklink/coordination/MemoryWaitQueue.h"

#include <gtest/gtest.h>

#include "damasklink/state/Units.h"

namespace damasklink {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kBody = 4 * kMebibyte;
constexpr Duration kWait = milliseconds(800);

// A budget that large requests have filled.
class MemoryWaitQueueTest : public ::testing::Test
{
protected:
  MemoryWaitQueueTest()
  {
    while (auto reserved = this->budget.TryReserve(MemoryUse::RequestBodies, kBody)) {
      this->held.push_back(std::move(*reserved));
    }
  }

  std::optional<MemoryTicket> Add(int aPriority = 1, Duration aWait = kWait)
  {
    return this->queue.Add(MemoryRequest{ aPriority, kBody, aWait });
  }

  // Gives back the memory of one request.
  void Release()
  {
    this->held.pop_back();
    this->queue.OnReleased(kBody);
  }

  // Gives back and takes the memory of one request each time that the step has passed.
  void TurnOver(Duration aStep, int aTimes)
  {
    for (int count = 0; count < aTimes; ++count) {
      this->clock.Advance(aStep);
      this->Release();
      this->held.push_back(*this->budget.TryReserve(MemoryUse::RequestBodies, kBody));
    }
  }

  ManualClock clock;
  MemoryBudget budget{ ByteCount(100 * kMebibyte) };
  std::vector<MemoryReservation> held;
  MemoryWaitQueue queue{ this->clock, this->budget };
};

TEST_F(MemoryWaitQueueTest, NextFitsOnceMemoryWasGivenBack)
{
  const auto ticket = this->Add();
  ASSERT_TRUE(ticket);
  EXPECT_FALSE(this->queue.NextThatFits());
  this->Release();
  EXPECT_EQ(this->queue.NextThatFits(), ticket);
}

TEST_F(MemoryWaitQueueTest, MoreUrgentRequestsComeFirst)
{
  this->Add(2);
  const auto urgent = this->Add(0);
  this->Release();
  EXPECT_EQ(this->queue.NextThatFits(), urgent);
}

TEST_F(MemoryWaitQueueTest, EarlierRequestsComeFirst)
{
  const auto first = this->Add();
  this->Add();
  this->Release();
  EXPECT_EQ(this->queue.NextThatFits(), first);
}

TEST_F(MemoryWaitQueueTest, UrgentRequestDisplacesTheLeastUrgent)
{
  std::optional<MemoryTicket> last;
  for (std::size_t count = 0; count < MemoryWaitQueue::kMostWaiting; ++count) {
    last = this->Add(2);
  }
  EXPECT_FALSE(this->Add(2));
  EXPECT_TRUE(this->Add(1));
  EXPECT_EQ(this->queue.TakeDisplaced(), std::vector<MemoryTicket>{ *last });
}

TEST_F(MemoryWaitQueueTest, RequestThatNeverFitsIsRefusedAtOnce)
{
  EXPECT_FALSE(this->queue.Add(MemoryRequest{ 0, 100 * kMebibyte, kWait }));
}

TEST_F(MemoryWaitQueueTest, RequestWhoseCallerHasNoTimeIsRefusedAtOnce)
{
  EXPECT_FALSE(this->Add(0, Duration::zero()));
}

TEST_F(MemoryWaitQueueTest, RequestIsRefusedAtOnceAfterOthersWaitedInVain)
{
  const auto ticket = this->Add();
  this->clock.Advance(kWait);
  this->queue.OnExpired(*ticket);
  EXPECT_FALSE(this->Add());
  this->Release();
  EXPECT_TRUE(this->Add());
}

TEST_F(MemoryWaitQueueTest, RequestWaitsOnlyIfItsTurnIsExpectedInTime)
{
  this->TurnOver(milliseconds(500), 10);
  EXPECT_TRUE(this->Add());
  this->Add();
  EXPECT_FALSE(this->Add());
  EXPECT_TRUE(this->Add(0));
}

TEST_F(MemoryWaitQueueTest, RemovedRequestIsNotServed)
{
  const auto first = this->Add();
  const auto second = this->Add();
  this->queue.Remove(*first);
  this->Release();
  EXPECT_EQ(this->queue.NextThatFits(), second);
}

} // namespace
} // namespace damasklink
