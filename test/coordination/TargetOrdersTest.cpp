#include "damasklink/coordination/TargetOrders.h"

#include <deque>
#include <optional>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace damasklink {
namespace {

constexpr Duration kStep = std::chrono::milliseconds(200);
constexpr Duration kLoad = std::chrono::seconds(1);
const DeploymentName kName("d");

ServedModel
Version(const std::string& aVersion)
{
  return ServedModel{ ModelName("m"), WeightVersion(aVersion), {} };
}

// An engine that accepts orders, loads for kLoad and then reports what it serves.
struct FakeEngine
{
  TargetRecord record;
  FencingNumber highest;
  std::optional<ServedModel> loading;
  MonotonicTime loadedAt;
  bool failsLoads = false;

  OrderOutcome Take(const TargetOrder& aOrder, MonotonicTime aNow)
  {
    if (this->record.checksFencing && aOrder.fencing < this->highest) {
      return OrderOutcome::Refused;
    }
    this->highest = aOrder.fencing;
    this->loading = aOrder.desired;
    this->loadedAt = aNow + kLoad;
    return OrderOutcome::Accepted;
  }
};

// Engines, and hosts that lead one after the other. With `holdBack` orders are not delivered, so
// that a test can deliver them later.
class Fixture
{
public:
  explicit Fixture(std::size_t aEngines, bool aCheckFencing = true)
  {
    Deployment& deployment = this->deployments[kName];
    deployment.model = ModelName("m");
    deployment.version = WeightVersion("v2");
    deployment.loadInterval = std::chrono::seconds(2);
    deployment.loadLimit = std::chrono::seconds(10);
    for (std::size_t index = 0; index < aEngines; ++index) {
      FakeEngine engine;
      engine.record.id = TargetId("e" + std::to_string(index));
      engine.record.checksFencing = aCheckFencing;
      engine.record.models = { Version("v1") };
      deployment.targets.push_back(engine.record.id);
      this->engines.push_back(engine);
    }
    deployment.keepServing = aEngines - 1;
    this->NewLeader();
  }

  // The new leader has only the replicated state.
  void NewLeader()
  {
    this->orders = std::make_unique<TargetOrders>(this->clock, this->timings, this->machine);
  }

  void Step()
  {
    this->clock.Advance(kStep);
    for (FakeEngine& engine : this->engines) {
      this->Report(engine);
    }
    for (const OrderAction& action : this->orders->Plan(true, this->deployments, this->registry)) {
      this->Execute(action);
    }
  }

  void Run(Duration aTime)
  {
    for (Duration passed{ 0 }; passed < aTime; passed += kStep) {
      this->Step();
    }
  }

  void Report(FakeEngine& aEngine)
  {
    if (aEngine.loading && this->clock.MonotonicNow() >= aEngine.loadedAt) {
      if (!aEngine.failsLoads) {
        aEngine.record.models = { *aEngine.loading };
      }
      aEngine.loading.reset();
    }
    aEngine.record.sequence = aEngine.record.sequence.Next();
    this->registry.Merge(aEngine.record);
  }

  void Execute(const OrderAction& aAction)
  {
    const ApplyContext context{ ControlGroupId(), LogIndex(1),    Term(1),
                                WallTime(),       Incarnation(1), WallTime() };
    if (const auto* issue = std::get_if<IssueFencing>(&aAction)) {
      this->issuedAt.push_back(this->clock.MonotonicNow());
      this->orders->OnFencingIssued(
        issue->target,
        UnpackFencing(this->machine.Apply(context, PackIssueFencing(issue->target))));
    } else if (const auto* send = std::get_if<SendOrder>(&aAction)) {
      this->Deliver(send->order);
    } else {
      const auto& stop = std::get<StopRollout>(aAction);
      this->machine.Apply(context, PackStopRollout(stop.deployment, stop.desiredHash, stop.reason));
    }
  }

  void Deliver(const TargetOrder& aOrder)
  {
    this->sent.push_back(aOrder);
    if (this->holdBack) {
      return;
    }
    FakeEngine& engine = this->engines[std::stoul(aOrder.target.Value().substr(1))];
    this->orders->OnSent(aOrder.target, engine.Take(aOrder, this->clock.MonotonicNow()));
  }

  std::size_t CountAt(const std::string& aVersion) const
  {
    return static_cast<std::size_t>(
      std::count_if(this->engines.begin(), this->engines.end(), [&](const FakeEngine& aEngine) {
        return aEngine.record.models.front() == Version(aVersion);
      }));
  }

  std::size_t CountLoading() const
  {
    return static_cast<std::size_t>(
      std::count_if(this->engines.begin(), this->engines.end(), [](const FakeEngine& aEngine) {
        return aEngine.loading.has_value();
      }));
  }

  std::string State() const
  {
    return this->orders->Progress(this->deployments, this->registry).front().state;
  }

  ManualClock clock;
  OrderTimings timings;
  OrderStateMachine machine;
  TargetRegistry registry{ this->clock, std::chrono::seconds(2) };
  DeploymentSet deployments;
  std::vector<FakeEngine> engines;
  std::unique_ptr<TargetOrders> orders;
  std::vector<TargetOrder> sent;
  std::vector<MonotonicTime> issuedAt;
  bool holdBack = false;
};

TEST(TargetOrdersTest, RolloutReachesEveryEngine)
{
  Fixture system(4);
  system.Run(std::chrono::seconds(30));
  EXPECT_EQ(system.CountAt("v2"), 4U);
  EXPECT_EQ(system.State(), "complete");
  EXPECT_EQ(system.sent.size(), 4U) << "one order for each engine";
}

TEST(TargetOrdersTest, KeepServingLimitsConcurrentLoads)
{
  Fixture system(4);
  system.deployments[kName].loadInterval = Duration(0);
  for (int step = 0; step < 150; ++step) {
    system.Step();
    ASSERT_LE(system.CountLoading(), 1U);
  }
  EXPECT_EQ(system.CountAt("v2"), 4U);
}

TEST(TargetOrdersTest, LoadsKeepTheLoadInterval)
{
  Fixture system(4);
  system.deployments[kName].keepServing = 0;
  system.Run(std::chrono::seconds(30));
  ASSERT_EQ(system.issuedAt.size(), 4U);
  for (std::size_t index = 1; index < system.issuedAt.size(); ++index) {
    EXPECT_GE(system.issuedAt[index] - system.issuedAt[index - 1],
              system.deployments[kName].loadInterval);
  }
}

TEST(TargetOrdersTest, RolloutStopsAtTheFirstFailedEngine)
{
  Fixture system(4);
  system.engines[1].failsLoads = true;
  system.Run(std::chrono::minutes(2));
  EXPECT_EQ(system.CountAt("v2"), 1U);
  EXPECT_EQ(system.sent.size(), 2U);
  EXPECT_EQ(system.State(), "stopped");
  system.NewLeader();
  system.Run(std::chrono::minutes(1));
  EXPECT_EQ(system.sent.size(), 2U) << "the stop is replicated";
  system.engines[1].failsLoads = false;
  system.deployments[kName].attempt = 1;
  system.Run(std::chrono::minutes(1));
  EXPECT_EQ(system.State(), "complete");
}

TEST(TargetOrdersTest, EngineWithoutFencingIsOrderedTwiceBeforeTheRolloutStops)
{
  Fixture system(4, false);
  system.engines[1].failsLoads = true;
  system.Run(std::chrono::minutes(2));
  EXPECT_EQ(system.CountAt("v2"), 1U);
  EXPECT_EQ(system.sent.size(), 3U) << "one order of the first engine, two of the failing one";
  EXPECT_EQ(system.State(), "stopped");
}

TEST(TargetOrdersTest, LateOrderThatReplacesAnOpenOneIsRepaired)
{
  Fixture system(1, false);
  system.deployments[kName].keepServing = 0;
  system.Run(std::chrono::seconds(10));
  ASSERT_EQ(system.CountAt("v2"), 1U);
  const TargetOrder former = system.sent.front();
  system.deployments[kName].version = WeightVersion("v3");
  system.Run(kStep * 2);
  ASSERT_EQ(system.CountLoading(), 1U);
  system.engines[0].Take(former, system.clock.MonotonicNow());
  system.Run(std::chrono::seconds(30));
  EXPECT_EQ(system.CountAt("v3"), 1U);
}

TEST(TargetOrdersTest, RefusedOrderStopsTheRollout)
{
  Fixture system(2);
  system.engines[0].highest = FencingNumber(1000);
  system.Run(std::chrono::seconds(20));
  EXPECT_EQ(system.State(), "stopped");
  EXPECT_EQ(system.CountAt("v1"), 2U);
}

TEST(TargetOrdersTest, NothingIsOrderedWithoutTheLease)
{
  Fixture system(2);
  for (int step = 0; step < 50; ++step) {
    system.clock.Advance(kStep);
    for (FakeEngine& engine : system.engines) {
      system.Report(engine);
    }
    ASSERT_TRUE(system.orders->Plan(false, system.deployments, system.registry).empty());
  }
  system.Run(std::chrono::seconds(5));
  EXPECT_FALSE(system.sent.empty()) << "orders are given with the lease";
}

TEST(TargetOrdersTest, NewLeaderWaitsBeforeOrderingTargetsWithoutFencing)
{
  Fixture system(2, false);
  const Duration wait = system.timings.lease + system.timings.orderInFlight;
  system.Run(wait);
  EXPECT_TRUE(system.issuedAt.empty());
  system.Run(kStep * 2);
  EXPECT_FALSE(system.issuedAt.empty());
}

TEST(TargetOrdersTest, FencingTargetRefusesTheOrderOfAFormerLeader)
{
  Fixture system(1);
  system.deployments[kName].keepServing = 0;
  system.holdBack = true;
  system.Run(std::chrono::seconds(4));
  ASSERT_EQ(system.sent.size(), 1U);
  const TargetOrder late = system.sent.front();
  system.holdBack = false;
  system.deployments[kName].version = WeightVersion("v3");
  system.NewLeader();
  system.Run(std::chrono::seconds(10));
  EXPECT_EQ(system.CountAt("v3"), 1U);
  EXPECT_EQ(system.engines[0].Take(late, system.clock.MonotonicNow()), OrderOutcome::Refused);
}

// Guards against an engine that keeps the weights of a superseded order: a leader stops with an
// order unsent, its successor rolls out another version, and the old order then arrives at any
// time, also at targets that ignore fencing numbers. In the end every engine must serve the desired
// version.
RC_GTEST_PROP(TargetOrdersTest, LateOrderOfAFormerLeaderIsRepaired, ())
{
  Fixture system(3, *rc::gen::arbitrary<bool>());
  system.Run(kStep * *rc::gen::inRange(0, 60));
  system.holdBack = true;
  system.Run(kStep * *rc::gen::inRange(0, 30));
  system.holdBack = false;
  system.NewLeader();
  system.deployments[kName].version = WeightVersion("v3");
  system.Run(kStep * *rc::gen::inRange(0, 200));
  if (!system.sent.empty()) {
    const TargetOrder late = system.sent[*rc::gen::inRange<std::size_t>(0, system.sent.size())];
    system.engines[std::stoul(late.target.Value().substr(1))].Take(late,
                                                                   system.clock.MonotonicNow());
  }
  system.Run(std::chrono::minutes(2));
  RC_ASSERT(system.CountAt("v3") == 3U);
}

} // namespace
} // namespace damasklink
