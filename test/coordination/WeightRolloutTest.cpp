#include "damasklink/coordination/WeightRollout.h"

#include <gtest/gtest.h>

#include <deque>

namespace damasklink {
namespace {

const ModelName kModel("m");
constexpr Duration kStep = std::chrono::milliseconds(100);

// An engine that loads weights in one second. With `delayOrders` its orders are kept in `late`
// instead of being delivered.
struct Engine
{
  TargetRecord record;
  std::uint64_t version = 1;
  std::uint64_t accepted = 0;
  std::uint64_t loading = 0;
  MonotonicTime loadedAt;
  int loads = 0;
  // It loads nothing any more.
  bool hangs = false;
};

class WeightRolloutTest : public ::testing::Test
{
protected:
  WeightRolloutTest()
  {
    for (int number = 0; number < 10; ++number) {
      Engine& engine = this->engines.emplace_back();
      engine.record.id = TargetId("e" + std::to_string(number));
      engine.record.kind = TargetKind::Engine;
      engine.record.models = { ServedModel{ kModel, WeightVersion("1"), {} } };
    }
  }

  Engine& Find(const TargetId& aTarget)
  {
    for (Engine& engine : this->engines) {
      if (engine.record.id == aTarget) {
        return engine;
      }
    }
    throw std::out_of_range("no such engine");
  }

  void Accept(Engine& aEngine, const OrderWeights& aOrder)
  {
    if (aEngine.loading != 0 || aOrder.ordersAccepted != aEngine.accepted) {
      ++this->refused;
      return;
    }
    ++aEngine.accepted;
    aEngine.loading = aOrder.version;
    aEngine.loadedAt = this->clock.MonotonicNow() + std::chrono::seconds(1);
  }

  void Act(const RolloutAction& aAction)
  {
    if (const auto* read = std::get_if<ReadEngine>(&aAction)) {
      const Engine& engine = this->Find(read->target);
      const WeightVersion version(std::to_string(engine.version));
      this->rollout.OnReport(read->target,
                             EngineReport{ engine.loading != 0,
                                           engine.accepted,
                                           { ServedModel{ kModel, version, {} } },
                                           Incarnation() });
      return;
    }
    const auto& order = std::get<OrderWeights>(aAction);
    ++this->ordered;
    if (this->delayOrders) {
      this->late.push_back(order);
    } else {
      this->Accept(this->Find(order.target), order);
    }
    this->rollout.OnOrdered(order.target);
  }

  void Run(Duration aTime, bool aLeading = true)
  {
    for (Duration passed{ 0 }; passed < aTime; passed += kStep) {
      std::vector<TargetRecord> records;
      for (Engine& engine : this->engines) {
        const bool loaded = engine.loading != 0 && this->clock.MonotonicNow() >= engine.loadedAt;
        if (loaded && !engine.hangs) {
          engine.version = std::exchange(engine.loading, 0);
          ++engine.loads;
        }
        records.push_back(engine.record);
      }
      for (const RolloutAction& action : this->rollout.Plan(aLeading, this->desired, records)) {
        this->Act(action);
      }
      this->mostPaused = std::max(this->mostPaused, this->rollout.Paused().size());
      this->clock.Advance(kStep);
    }
  }

  std::size_t CountAt(std::uint64_t aVersion) const
  {
    return static_cast<std::size_t>(
      std::count_if(this->engines.begin(), this->engines.end(), [&](const Engine& aEngine) {
        return aEngine.version == aVersion;
      }));
  }

  ManualClock clock;
  WeightRollout rollout{ this->clock, RolloutOptions() };
  std::map<ModelName, DesiredWeights> desired{ { kModel, DesiredWeights{ 2 } } };
  std::deque<Engine> engines;
  std::deque<OrderWeights> late;
  bool delayOrders = false;
  int ordered = 0;
  int refused = 0;
  std::size_t mostPaused = 0;
};

TEST_F(WeightRolloutTest, RolloutReachesAllEngines)
{
  this->Run(std::chrono::seconds(13));
  EXPECT_EQ(this->CountAt(2), 10U);
  EXPECT_EQ(this->ordered, 10);
  EXPECT_TRUE(this->rollout.Paused().empty());
}

TEST_F(WeightRolloutTest, SecondRolloutReachesAllEngines)
{
  this->Run(std::chrono::seconds(13));
  this->desired[kModel].version = 3;
  this->Run(std::chrono::seconds(13));
  EXPECT_EQ(this->CountAt(3), 10U);
  EXPECT_EQ(this->refused, 0);
}

// Guards against engines that get no version for as long as new ones are named, because those that
// were just updated come first again.
TEST_F(WeightRolloutTest, NoEngineStarvesWhileVersionsKeepComing)
{
  for (std::uint64_t version = 2; version <= 12; ++version) {
    this->desired[kModel].version = version;
    this->Run(std::chrono::seconds(4));
  }
  EXPECT_EQ(this->CountAt(1), 0U);
  // An engine may be behind by what is named within 18 s.
  for (const Engine& engine : this->engines) {
    EXPECT_GE(engine.version, 8U) << engine.record.id.Value();
  }
}

// Guards against engines that keep their place while versions come faster than a load, so that the
// others get none.
TEST_F(WeightRolloutTest, EnginesTakeTurnsWhileVersionsComeFasterThanALoad)
{
  for (std::uint64_t version = 2; version <= 60; ++version) {
    this->desired[kModel].version = version;
    this->Run(std::chrono::seconds(1));
  }
  const auto [least, most] = std::minmax_element(
    this->engines.begin(), this->engines.end(), [](const Engine& aLeft, const Engine& aRight) {
      return aLeft.loads < aRight.loads;
    });
  EXPECT_GE(least->loads, 4);
  EXPECT_LE(most->loads - least->loads, 1);
}

// Guards against an engine that hangs in its update and holds its place without end, which stops
// all others where there is one place only.
TEST_F(WeightRolloutTest, EngineThatHangsGivesItsPlaceToOthers)
{
  this->engines.resize(5);
  this->engines.front().hangs = true;
  this->Run(std::chrono::seconds(30));
  EXPECT_EQ(this->CountAt(2), 4U);
  this->engines.front().hangs = false;
  this->Run(std::chrono::seconds(20));
  EXPECT_EQ(this->CountAt(2), 5U);
}

TEST_F(WeightRolloutTest, UnavailableEnginesStayWithinTheShare)
{
  this->Run(std::chrono::seconds(13));
  EXPECT_EQ(this->mostPaused, 2U);
}

// Guards against a rollout that spares callers whom no engine may serve: all came back with weights
// whose time is over.
TEST_F(WeightRolloutTest, EnginesThatServeNobodyAreUpdatedWithoutPauses)
{
  this->Run(RolloutOptions().orderLease);
  ASSERT_EQ(this->ordered, 0);
  this->desired[kModel].least = 2;
  this->Run(std::chrono::milliseconds(4500));
  EXPECT_EQ(this->CountAt(2), 10U);
  EXPECT_EQ(this->mostPaused, 5U);
}

TEST_F(WeightRolloutTest, EnginesThatServeAreSparedBesideOthersThatDoNot)
{
  for (int number = 0; number < 8; ++number) {
    this->engines[static_cast<std::size_t>(number)].record.models.front().version =
      WeightVersion("3");
    this->engines[static_cast<std::size_t>(number)].version = 3;
  }
  this->desired[kModel] = DesiredWeights{ 4, 3 };
  this->Run(RolloutOptions().orderLease + std::chrono::milliseconds(1500));
  EXPECT_EQ(this->mostPaused, 2U);
  this->Run(std::chrono::seconds(13));
  EXPECT_EQ(this->CountAt(4), 10U);
}

TEST_F(WeightRolloutTest, OnlyTheLeaderOrders)
{
  this->Run(std::chrono::seconds(13), false);
  EXPECT_EQ(this->ordered, 0);
}

TEST_F(WeightRolloutTest, NewLeaderWaitsForTheOrderLease)
{
  this->Run(RolloutOptions().orderLease);
  EXPECT_EQ(this->ordered, 0);
  this->Run(std::chrono::seconds(2));
  EXPECT_GT(this->ordered, 0);
}

TEST_F(WeightRolloutTest, LeaderThatLostItsLeaseWaitsAgain)
{
  this->Run(std::chrono::seconds(5));
  const int before = this->ordered;
  this->Run(kStep, false);
  this->Run(RolloutOptions().orderLease);
  EXPECT_EQ(this->ordered, before);
}

TEST_F(WeightRolloutTest, LateOrderIsRefused)
{
  this->delayOrders = true;
  this->Run(std::chrono::seconds(6));
  ASSERT_FALSE(this->late.empty());
  this->delayOrders = false;
  this->desired[kModel].version = 3;
  this->Run(std::chrono::seconds(20));
  EXPECT_EQ(this->CountAt(3), 10U);
  for (const OrderWeights& order : this->late) {
    this->Accept(this->Find(order.target), order);
  }
  this->Run(std::chrono::seconds(5));
  EXPECT_EQ(this->CountAt(3), 10U);
  EXPECT_EQ(this->refused, static_cast<int>(this->late.size()));
}

TEST_F(WeightRolloutTest, LostOrderIsRepeated)
{
  this->delayOrders = true;
  this->Run(std::chrono::seconds(6));
  this->delayOrders = false;
  this->Run(std::chrono::seconds(20));
  EXPECT_EQ(this->CountAt(2), 10U);
}

TEST_F(WeightRolloutTest, RemovedEngineDoesNotBlockTheOthers)
{
  this->Run(RolloutOptions().orderLease + std::chrono::seconds(1));
  this->engines.pop_front();
  this->Run(std::chrono::seconds(13));
  EXPECT_EQ(this->CountAt(2), 9U);
}

TEST_F(WeightRolloutTest, RestartedEngineIsReadAndOrderedAgain)
{
  this->Run(std::chrono::milliseconds(4500));
  Engine& engine = this->engines.front();
  engine.record.incarnation = Incarnation(2);
  engine.version = 1;
  engine.accepted = 0;
  engine.loading = 0;
  this->Run(std::chrono::seconds(16));
  EXPECT_EQ(this->CountAt(2), 10U);
}

TEST_F(WeightRolloutTest, ReportOfAnEarlierIncarnationIsIgnored)
{
  for (Engine& engine : this->engines) {
    engine.record.incarnation = Incarnation(2000);
  }
  const std::vector<TargetRecord> engines{ this->engines.front().record };
  this->rollout.Plan(true, this->desired, engines);
  this->clock.Advance(RolloutOptions().orderLease);
  ASSERT_EQ(this->rollout.Plan(true, this->desired, engines).size(), 1U);
  const ServedModel newest{ kModel, WeightVersion("2"), {} };
  this->rollout.OnReport(engines.front().id, EngineReport{ false, 4, { newest }, Incarnation(1) });
  EXPECT_EQ(this->rollout.ReportedVersion(engines.front().id, kModel), 0U);
}

} // namespace
} // namespace damasklink
