#include "damasklink/coordination/AdmissionWaitQueue.h"

#include <algorithm>

#include <gtest/gtest.h>

namespace damasklink {
namespace {

using std::chrono::milliseconds;

constexpr CallRank kUrgent{ 1, 0 };
constexpr CallRank kPatient{ 1, 2 };

class AdmissionWaitQueueTest : public ::testing::Test
{
protected:
  std::optional<AdmissionTicket> Add(const CallRank& aRank,
                                     Duration aBeginWithin = milliseconds(1000),
                                     Duration aLeavesWithin = milliseconds(3000))
  {
    const MonotonicTime now = this->clock.MonotonicNow();
    return this->queue.Add(
      AdmissionRequest{ aRank, TokenCount(1000), now + aBeginWithin, now + aLeavesWithin });
  }

  // Lets so many waiting calls begin, one each time that the step has passed.
  void Begin(int aCount, Duration aStep)
  {
    for (int index = 0; index < aCount; ++index) {
      this->clock.Advance(aStep);
      this->queue.OnBegun(*this->Add(kUrgent));
    }
  }

  ManualClock clock;
  AdmissionWaitQueue queue{ this->clock };
};

// Load: a burst of long, patient prompts beside short, urgent ones.
TEST_F(AdmissionWaitQueueTest, UrgentCallsComeFirst)
{
  const auto patient = this->Add(kPatient, milliseconds(100));
  const auto urgent = this->Add(kUrgent, milliseconds(900));
  const auto ofUrgentWorkspace = this->Add(CallRank{ 0, 2 }, milliseconds(900));
  EXPECT_EQ(this->queue.InOrder(),
            (std::vector<AdmissionTicket>{ *ofUrgentWorkspace, *urgent, *patient }));
}

TEST_F(AdmissionWaitQueueTest, CallThatMustBeginFirstComesFirst)
{
  const auto later = this->Add(kUrgent, milliseconds(500));
  const auto sooner = this->Add(kUrgent, milliseconds(200));
  EXPECT_EQ(this->queue.InOrder(), (std::vector<AdmissionTicket>{ *sooner, *later }));
}

// Load: calls that have lost their objective would keep all others from meeting theirs.
TEST_F(AdmissionWaitQueueTest, LateCallsComeAfterThoseThatCanMeetTheirObjective)
{
  const auto late = this->Add(kUrgent, milliseconds(100));
  this->clock.Advance(milliseconds(150));
  const auto inTime = this->Add(kUrgent, milliseconds(500));
  EXPECT_EQ(this->queue.InOrder(), (std::vector<AdmissionTicket>{ *inTime, *late }));
}

TEST_F(AdmissionWaitQueueTest, CallWhoseCallerLeavesIsNotKept)
{
  const auto ticket = this->Add(kUrgent, milliseconds(10), milliseconds(50));
  EXPECT_TRUE(this->queue.TakeExpired().empty());
  this->clock.Advance(milliseconds(50));
  EXPECT_EQ(this->queue.TakeExpired(), std::vector<AdmissionTicket>{ *ticket });
  EXPECT_EQ(this->queue.Size(), 0U);
  EXPECT_FALSE(this->Add(kUrgent, milliseconds(0), milliseconds(0)));
}

// Load: far more calls than places that become free. What can't be served is told at once.
TEST_F(AdmissionWaitQueueTest, CallThatIsNotExpectedToBeginIsRefusedAtOnce)
{
  this->Begin(10, milliseconds(100));
  // About six begin in a second.
  int taken = 0;
  while (taken < 60 && this->Add(kPatient, milliseconds(500), milliseconds(1000))) {
    ++taken;
  }
  EXPECT_GE(taken, 5);
  EXPECT_LE(taken, 15);
  EXPECT_TRUE(this->Add(kUrgent, milliseconds(500), milliseconds(1000)));
}

TEST_F(AdmissionWaitQueueTest, FullQueueMakesRoomForMoreUrgentCalls)
{
  std::vector<AdmissionTicket> patient;
  for (std::size_t index = 0; index < AdmissionWaitQueue::kMostWaiting; ++index) {
    patient.push_back(*this->Add(kPatient, milliseconds(1000 + index)));
  }
  EXPECT_FALSE(this->Add(kPatient, milliseconds(2000)));
  EXPECT_TRUE(this->queue.TakeDisplaced().empty());
  EXPECT_TRUE(this->Add(kUrgent));
  EXPECT_EQ(this->queue.TakeDisplaced(), std::vector<AdmissionTicket>{ patient.back() });
  EXPECT_EQ(this->queue.Size(), AdmissionWaitQueue::kMostWaiting);
}

// Load: a long prompt waits among short ones, for each of which there is room sooner.
TEST_F(AdmissionWaitQueueTest, LargeCallIsNotPassedForEver)
{
  const auto large = this->Add(kUrgent, milliseconds(10));
  for (int index = 0; index < AdmissionWaitQueue::kMostPasses; ++index) {
    const auto small = this->Add(kUrgent, milliseconds(100));
    EXPECT_EQ(this->queue.InOrder().size(), 2U);
    this->queue.OnBegun(*small);
  }
  this->Add(kUrgent, milliseconds(100));
  EXPECT_EQ(this->queue.InOrder(), std::vector<AdmissionTicket>{ *large });
  this->queue.OnBegun(*large);
  EXPECT_EQ(this->queue.InOrder().size(), 1U);
}

// Time goes on each time that it is asked for.
class RunningClock final : public Clock
{
public:
  MonotonicTime MonotonicNow() const override { return this->now += std::chrono::microseconds(1); }
  WallTime WallNow() const override { return WallTime(); }

private:
  mutable MonotonicTime now;
};

// Calls become late while they are put in order. The entry host ended when they were compared with
// different times.
TEST(AdmissionWaitQueueClockTest, OrderHasEachCallOnceWhileCallsBecomeLate)
{
  const RunningClock clock;
  AdmissionWaitQueue queue(clock);
  const MonotonicTime start = clock.MonotonicNow();
  for (std::size_t index = 0; index < AdmissionWaitQueue::kMostWaiting; ++index) {
    const Duration beginWithin = std::chrono::milliseconds(2 + (index * 37) % 64);
    const Duration leavesWithin = std::chrono::seconds(60) - std::chrono::seconds(index % 7);
    ASSERT_TRUE(queue.Add(
      AdmissionRequest{ kUrgent, TokenCount(1000), start + beginWithin, start + leavesWithin }));
  }
  for (int round = 0; round < 1000; ++round) {
    std::vector<AdmissionTicket> order = queue.InOrder();
    std::sort(order.begin(), order.end());
    ASSERT_EQ(order.size(), AdmissionWaitQueue::kMostWaiting);
    for (std::size_t index = 0; index < order.size(); ++index) {
      ASSERT_EQ(order[index].Value(), index + 1);
    }
  }
}

// An operator has changed a priority while calls wait.
TEST_F(AdmissionWaitQueueTest, NewRankChangesTheOrder)
{
  const auto first = this->Add(kUrgent, milliseconds(100));
  const auto second = this->Add(kPatient, milliseconds(100));
  this->queue.SetRank(*second, CallRank{ 0, 0 });
  EXPECT_EQ(this->queue.InOrder(), (std::vector<AdmissionTicket>{ *second, *first }));
}

} // namespace
} // namespace damasklink
