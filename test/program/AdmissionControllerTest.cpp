#include "AdmissionController.h"

#include <thread>

#include <absl/synchronization/notification.h>

#include "TrafficFixture.h"

namespace damasklink {
namespace {

// A controller with one target that runs one request at a time.
class AdmissionControllerTest : public TrafficFixture
{
protected:
  AdmissionControllerTest()
  {
    TargetRecord& target = this->call.targets.emplace_back();
    target.id = TargetId("e-1");
    target.load.slots = 1;
    this->policy.workspace = WorkspaceId("office");
    this->call.deadline = this->clock.MonotonicNow() + std::chrono::minutes(1);
  }

  ResolvedPolicy policy;
  AdmissionCall call{ policy, PoolId("model/m") };
  TrafficState state;
  AdmissionController controller{ context, state };
};

TEST_F(AdmissionControllerTest, AdmitsWaitingRequestWhenRunningOneEnds)
{
  auto first = std::make_unique<AdmissionSlot>(this->controller);
  ASSERT_FALSE(first->Enter(this->call));
  absl::Notification entered;
  std::thread waiting([&] {
    AdmissionSlot second(this->controller);
    EXPECT_FALSE(second.Enter(this->call));
    entered.Notify();
  });
  EXPECT_FALSE(entered.WaitForNotificationWithTimeout(absl::Milliseconds(50)));
  first.reset();
  waiting.join();
  EXPECT_TRUE(entered.HasBeenNotified());
}

TEST_F(AdmissionControllerTest, RefusesWaitingRequestWhenHostStops)
{
  AdmissionSlot first(this->controller);
  ASSERT_FALSE(first.Enter(this->call));
  this->state.StopNow();
  AdmissionSlot second(this->controller);
  const auto refusal = second.Enter(this->call);
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->outcome, RunOutcome::NotRun);
  EXPECT_TRUE(refusal->retryAfter);
}

TEST_F(AdmissionControllerTest, RefusesRequestWhoseDeadlinePassesInQueue)
{
  AdmissionSlot first(this->controller);
  ASSERT_FALSE(first.Enter(this->call));
  this->call.deadline = this->clock.MonotonicNow() + std::chrono::milliseconds(20);
  AdmissionSlot second(this->controller);
  EXPECT_TRUE(second.Enter(this->call));
}

} // namespace
} // namespace damasklink
