#include "damasklink/coordination/AdmissionQueue.h"

#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace damasklink {
namespace {

const PoolId kPool("model/plates-7b");

class AdmissionQueueTest : public testing::Test
{
protected:
  AdmissionRequest Request(const std::string& aWorkspace, std::uint64_t aShare = 1) const
  {
    AdmissionRequest request;
    request.workspace = WorkspaceId(aWorkspace);
    request.pool = kPool;
    request.share = aShare;
    request.deadline = this->clock.MonotonicNow() + std::chrono::minutes(1);
    return request;
  }

  // Returns the ids that were admitted since the last call, and adds the refusals to `refusals`.
  std::vector<AdmissionId> Admitted()
  {
    std::vector<AdmissionId> admitted;
    for (const AdmissionDecision& decision : this->queue.TakeDecisions()) {
      if (decision.refusal) {
        this->refusals.push_back(*decision.refusal);
      } else {
        admitted.push_back(decision.id);
      }
    }
    return admitted;
  }

  // Finishes the running request aTurns times and counts the requests admitted by workspace.
  std::map<std::string, int> AdmitOneByOne(int aTurns)
  {
    std::map<std::string, int> counts;
    for (int turn = 0; turn < aTurns; ++turn) {
      this->queue.Finish(this->last, true);
      const auto admitted = this->Admitted();
      this->last = admitted.at(0);
      ++counts[this->workspaces.at(this->last)];
    }
    return counts;
  }

  void Offer(const std::string& aWorkspace, std::uint64_t aShare, int aCount)
  {
    for (int index = 0; index < aCount; ++index) {
      this->workspaces[this->queue.Offer(this->Request(aWorkspace, aShare))] = aWorkspace;
    }
  }

  void FillPool()
  {
    this->queue.SetCapacity(kPool, 1);
    this->last = this->queue.Offer(this->Request("filler"));
    this->Admitted();
  }

  ManualClock clock;
  AdmissionQueue queue{ clock, 8 };
  AdmissionId last;
  std::map<AdmissionId, std::string> workspaces;
  std::vector<AdmissionRefusal> refusals;
};

TEST_F(AdmissionQueueTest, SharesCapacityByWeightWhateverTheDemand)
{
  this->FillPool();
  this->Offer("large", 1, 5);
  this->Offer("small", 2, 3);
  const auto counts = this->AdmitOneByOne(3);
  EXPECT_EQ(counts.at("small"), 2);
  EXPECT_EQ(counts.at("large"), 1);
}

TEST_F(AdmissionQueueTest, OrdersRequestsOfOneWorkspaceByPriority)
{
  this->FillPool();
  this->Offer("office", 1, 1);
  AdmissionRequest urgent = this->Request("office");
  urgent.priority = 0;
  const AdmissionId id = this->queue.Offer(urgent);
  this->queue.Finish(this->last, true);
  EXPECT_EQ(this->Admitted(), std::vector<AdmissionId>{ id });
}

TEST_F(AdmissionQueueTest, FullQueueEvictsFromTheWorkspaceWithMostWaiting)
{
  this->FillPool();
  this->Offer("large", 1, 8);
  this->Offer("small", 1, 1);
  EXPECT_TRUE(this->Admitted().empty());
  ASSERT_EQ(this->refusals.size(), 1U);
  EXPECT_EQ(this->queue.Waiting(), 8U);
  EXPECT_EQ(this->AdmitOneByOne(2).at("small"), 1);
}

TEST_F(AdmissionQueueTest, FullQueueRefusesNewRequestOfItsLargestWorkspace)
{
  this->FillPool();
  this->Offer("large", 1, 9);
  this->Admitted();
  ASSERT_EQ(this->refusals.size(), 1U);
  EXPECT_EQ(this->refusals[0].error.kind, ErrorKind::Overloaded);
  EXPECT_GT(this->refusals[0].retryAfter, Duration(0));
}

TEST_F(AdmissionQueueTest, RefusesRequestThatCannotMeetItsDeadlineWithRetryAfter)
{
  this->FillPool();
  this->clock.Advance(std::chrono::seconds(10));
  this->queue.Finish(this->last, true);
  this->Offer("office", 1, 4);
  AdmissionRequest shortDeadline = this->Request("office");
  shortDeadline.deadline = this->clock.MonotonicNow() + std::chrono::seconds(30);
  this->queue.Offer(shortDeadline);
  this->Admitted();
  ASSERT_EQ(this->refusals.size(), 1U);
  EXPECT_EQ(this->refusals[0].retryAfter, std::chrono::seconds(40));
}

// The mean time of other requests says little about this one, and nobody else waits for the
// capacity.
TEST_F(AdmissionQueueTest, AdmitsShortDeadlineWhileCapacityIsFree)
{
  this->FillPool();
  this->clock.Advance(std::chrono::seconds(10));
  this->queue.Finish(this->last, true);
  AdmissionRequest shortDeadline = this->Request("office");
  shortDeadline.deadline = this->clock.MonotonicNow() + std::chrono::seconds(1);
  const AdmissionId id = this->queue.Offer(shortDeadline);
  EXPECT_EQ(this->Admitted(), std::vector<AdmissionId>{ id });
}

// A request that is sent with too little time left only wastes capacity.
TEST_F(AdmissionQueueTest, RefusesQueuedRequestThatCanNoLongerMeetItsDeadline)
{
  this->FillPool();
  this->clock.Advance(std::chrono::seconds(10));
  this->queue.Finish(this->last, true);
  this->FillPool();
  AdmissionRequest request = this->Request("office");
  request.deadline = this->clock.MonotonicNow() + std::chrono::seconds(25);
  this->queue.Offer(request);
  this->clock.Advance(std::chrono::seconds(20));
  this->queue.Finish(this->last, false);
  EXPECT_TRUE(this->Admitted().empty());
  EXPECT_EQ(this->refusals.size(), 1U);
}

TEST_F(AdmissionQueueTest, RemoteUseCountsAgainstTheShare)
{
  this->FillPool();
  this->queue.AddRemoteUse(WorkspaceId("elsewhere"), 4);
  this->Offer("elsewhere", 1, 4);
  this->Offer("here", 1, 4);
  EXPECT_EQ(this->AdmitOneByOne(4).at("here"), 4);
}

// Each request is decided once or cancelled, the running requests stay within the capacity of the
// pool, and the waiting ones within the bound of the queue.
RC_GTEST_PROP(AdmissionQueueProperty, EveryRequestIsDecidedOnceWithinTheBounds, ())
{
  ManualClock clock;
  AdmissionQueue queue(clock, 5);
  queue.SetCapacity(kPool, 3);
  std::set<AdmissionId> open;
  std::set<AdmissionId> running;
  const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 60));
  for (const int step : steps) {
    AdmissionRequest request;
    request.workspace = WorkspaceId(std::to_string(step % 4));
    request.pool = kPool;
    request.share = 1 + static_cast<std::uint64_t>(step) % 3;
    request.priority = static_cast<std::uint64_t>(step) % 2;
    request.deadline = clock.MonotonicNow() + std::chrono::seconds(step);
    if (step % 5 == 0 && !running.empty()) {
      queue.Finish(*running.begin(), step % 2 == 0);
      running.erase(running.begin());
    } else if (step % 7 == 0 && !open.empty()) {
      RC_ASSERT(queue.Cancel(*open.begin()));
      open.erase(open.begin());
    } else {
      open.insert(queue.Offer(request));
    }
    clock.Advance(std::chrono::milliseconds(step * 10));
    for (const AdmissionDecision& decision : queue.TakeDecisions()) {
      RC_ASSERT(open.erase(decision.id) == 1U);
      if (!decision.refusal) {
        running.insert(decision.id);
      }
    }
    RC_ASSERT(running.size() <= 3U);
    RC_ASSERT(queue.Waiting() == open.size());
    RC_ASSERT(open.size() <= 5U);
    RC_ASSERT(open.empty() || running.size() == 3U);
  }
}

} // namespace
} // namespace damasklink
