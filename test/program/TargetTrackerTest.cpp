#include "program/TargetTracker.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

constexpr Duration kSilence = std::chrono::seconds(4);

TargetRecord
Record(const std::string& aId, std::uint64_t aSequence, std::uint16_t aPort = 8080)
{
  TargetRecord record;
  record.id = TargetId(aId);
  record.service = ServiceName("s");
  record.sequence = Sequence(aSequence);
  record.endpoint = Endpoint{ "10.1.0.9", aPort };
  record.models = { ServedModel{ ModelName("m"), WeightVersion("1"), {} } };
  return record;
}

class TargetTrackerTest : public ::testing::Test
{
protected:
  ManualClock clock;
  TargetTracker tracker{ this->clock, kSilence };
};

TEST_F(TargetTrackerTest, UnchangedHeartbeatIsNoChange)
{
  this->tracker.OnHeartbeat(Record("t", 1));
  ASSERT_EQ(this->tracker.TakeChanges().size(), 1U);
  this->tracker.OnHeartbeat(Record("t", 2));
  EXPECT_TRUE(this->tracker.TakeChanges().empty());
}

// Guards against a change of every cold target with each of its heartbeats.
TEST_F(TargetTrackerTest, HeartbeatsOfAColdTargetAreNoChangeWhileItWarmsUp)
{
  TargetRecord cold = Record("t", 1);
  cold.coldFor = std::chrono::milliseconds(2900);
  this->tracker.OnHeartbeat(cold);
  ASSERT_EQ(this->tracker.TakeChanges().size(), 1U);
  for (std::uint64_t sequence = 2; sequence <= 4; ++sequence) {
    cold.sequence = Sequence(sequence);
    cold.coldFor -= std::chrono::milliseconds(960);
    this->tracker.OnHeartbeat(cold);
    EXPECT_TRUE(this->tracker.TakeChanges().empty());
  }
  this->tracker.OnHeartbeat(Record("t", 5));
  EXPECT_TRUE(this->tracker.TakeChanges().empty());
  cold.sequence = Sequence(6);
  cold.coldFor = std::chrono::milliseconds(2900);
  this->tracker.OnHeartbeat(cold);
  EXPECT_EQ(this->tracker.TakeChanges().size(), 1U);
}

TEST_F(TargetTrackerTest, OnlyHeartbeatsThatChangedSomethingAreRelayedAtOnce)
{
  this->tracker.OnHeartbeat(Record("t", 1));
  this->tracker.TakeChanges();
  EXPECT_EQ(this->tracker.TakeChangedDirectUpdates().size(), 1U);
  this->tracker.OnHeartbeat(Record("t", 2));
  this->tracker.OnHeartbeat(Record("u", 1, 8081));
  this->tracker.OnRelayedRecord(Record("v", 1, 8082));
  this->tracker.TakeChanges();
  const auto changed = this->tracker.TakeChangedDirectUpdates();
  ASSERT_EQ(changed.size(), 1U);
  EXPECT_EQ(changed.front().record.id, TargetId("u"));
  const auto all = this->tracker.TakeDirectUpdates();
  ASSERT_EQ(all.size(), 1U);
  EXPECT_EQ(all.front().record.sequence, Sequence(2));
}

TEST_F(TargetTrackerTest, CountsTargetsThatHaveNotLeft)
{
  this->tracker.OnHeartbeat(Record("t", 1));
  this->tracker.OnHeartbeat(Record("u", 1));
  this->tracker.OnHeartbeat(Record("t", 2));
  this->tracker.TakeChanges();
  EXPECT_EQ(this->tracker.TargetCounts().at(ServiceName("s")), 2U);
  this->tracker.OnDeparture(TargetId("t"));
  this->tracker.OnDeparture(TargetId("never-seen"));
  this->tracker.TakeChanges();
  EXPECT_EQ(this->tracker.TargetCounts().at(ServiceName("s")), 1U);
  this->clock.Advance(kSilence);
  this->tracker.TakeChanges();
  EXPECT_EQ(this->tracker.TargetCounts().at(ServiceName("s")), 1U) << "it may come back";
}

TEST_F(TargetTrackerTest, SilenceIsAChange)
{
  this->tracker.OnHeartbeat(Record("t", 1));
  this->tracker.TakeChanges();
  this->clock.Advance(kSilence);
  const auto changes = this->tracker.TakeChanges();
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes.front().standing, TargetAvailability::Silent);
}

TEST_F(TargetTrackerTest, DepartedTargetStaysLeavingAfterLateHeartbeat)
{
  this->tracker.OnHeartbeat(Record("t", 1));
  this->tracker.OnDeparture(TargetId("t"));
  this->tracker.OnHeartbeat(Record("t", 9));
  const auto changes = this->tracker.TakeChanges();
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes.front().standing, TargetAvailability::Leaving);
}

TEST_F(TargetTrackerTest, NewTargetReplacesOldOneAtSameAddress)
{
  this->tracker.OnHeartbeat(Record("old", 5));
  this->tracker.OnHeartbeat(Record("new", 1));
  this->tracker.TakeChanges();
  EXPECT_FALSE(this->tracker.Registry().IsUsable(TargetId("old")));
  EXPECT_TRUE(this->tracker.Registry().IsUsable(TargetId("new")));
}

TEST_F(TargetTrackerTest, LateHeartbeatOfReplacedTargetIsUndoneByNextOfNewTarget)
{
  this->tracker.OnHeartbeat(Record("new", 1));
  this->tracker.OnHeartbeat(Record("old", 5));
  this->tracker.OnHeartbeat(Record("new", 2));
  EXPECT_TRUE(this->tracker.Registry().IsUsable(TargetId("new")));
}

TEST_F(TargetTrackerTest, OnlyDirectRecordsArePassedOn)
{
  this->tracker.OnHeartbeat(Record("direct", 1, 1));
  this->tracker.OnRelayedRecord(Record("second", 1, 2));
  const auto updates = this->tracker.TakeDirectUpdates();
  ASSERT_EQ(updates.size(), 1U);
  EXPECT_EQ(updates.front().record.id, TargetId("direct"));
  EXPECT_TRUE(this->tracker.TakeDirectUpdates().empty());
}

TEST_F(TargetTrackerTest, ReportedWeightsOverrideOlderHeartbeats)
{
  this->tracker.OnHeartbeat(Record("t", 1));
  this->tracker.TakeChanges();
  this->tracker.SetReportedWeights({ { { TargetId("t"), ModelName("m") }, 2 } });
  const auto changes = this->tracker.TakeChanges();
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes.front().record.models.front().version, WeightVersion("2"));
}

TEST_F(TargetTrackerTest, RestartedTargetBeginsNewHeartbeatSequence)
{
  TargetRecord earlier = Record("t", 50);
  earlier.incarnation = Incarnation(1000);
  this->tracker.OnHeartbeat(earlier);
  this->tracker.OnDeparture(TargetId("t"), Incarnation(1000));
  TargetRecord later = Record("t", 1);
  later.incarnation = Incarnation(2000);
  this->tracker.OnHeartbeat(later);
  // Both of these arrive late.
  this->tracker.OnHeartbeat(earlier);
  this->tracker.OnDeparture(TargetId("t"), Incarnation(1000));
  const auto changes = this->tracker.TakeChanges();
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes.front().standing, TargetAvailability::Usable);
  EXPECT_EQ(changes.front().record.incarnation, Incarnation(2000));
}

TEST_F(TargetTrackerTest, ListsEnginesInTheirCurrentState)
{
  this->tracker.OnHeartbeat(Record("a", 1, 1));
  this->tracker.OnHeartbeat(Record("b", 1, 2));
  TargetRecord service = Record("c", 1, 3);
  service.kind = TargetKind::Service;
  this->tracker.OnHeartbeat(service);
  EXPECT_EQ(this->tracker.UsableEngines().size(), 2U);
  this->clock.Advance(kSilence / 2);
  this->tracker.OnHeartbeat(Record("b", 2, 2));
  this->clock.Advance(kSilence / 2);
  ASSERT_EQ(this->tracker.UsableEngines().size(), 1U);
  EXPECT_EQ(this->tracker.UsableEngines().front().id, TargetId("b"));
  EXPECT_EQ(this->tracker.RemainingEngines().size(), 2U);
  this->tracker.OnDeparture(TargetId("a"));
  EXPECT_EQ(this->tracker.RemainingEngines().size(), 1U);
  TargetRecord newer = Record("b", 3, 2);
  newer.models.front().version = WeightVersion("2");
  this->tracker.OnHeartbeat(newer);
  EXPECT_EQ(this->tracker.UsableEngines().front().models.front().version, WeightVersion("2"));
}

TEST_F(TargetTrackerTest, PublishesPauseAndResumeOnceEach)
{
  this->tracker.OnHeartbeat(Record("t", 1));
  this->tracker.TakeChanges();
  for (const bool paused : { true, false }) {
    const std::set<TargetId> targets{ TargetId("t") };
    this->tracker.SetPaused(paused ? targets : std::set<TargetId>());
    const auto changes = this->tracker.TakeChanges();
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes.front().paused, paused);
    EXPECT_TRUE(this->tracker.TakeChanges().empty());
  }
}

TEST_F(TargetTrackerTest, RefusesTargetOfUnknownServiceAndKeepsKnownTargetOfSameId)
{
  this->tracker.SetServices({ ServiceName("s") });
  this->tracker.OnHeartbeat(Record("t", 1));
  TargetRecord foreign = Record("t", 99);
  foreign.service = ServiceName("other");
  EXPECT_FALSE(this->tracker.OnHeartbeat(foreign));
  const auto changes = this->tracker.TakeChanges();
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes.front().standing, TargetAvailability::Usable);
  EXPECT_EQ(changes.front().record.service, ServiceName("s"));
}

TEST_F(TargetTrackerTest, TargetOfRemovedServiceMaySignOff)
{
  this->tracker.OnHeartbeat(Record("t", 1));
  this->tracker.SetServices({ ServiceName("other") });
  TargetRecord leaving = Record("t", 2);
  leaving.leaving = true;
  EXPECT_TRUE(this->tracker.OnHeartbeat(leaving));
}

TEST_F(TargetTrackerTest, ReturnsColdTargetsOnce)
{
  const ColdStartSpec spec{ RequestRate{ 16 }, std::chrono::seconds(3) };
  this->tracker.SetColdStartSpecs({ { ServiceName("s"), spec } });
  TargetRecord record = Record("t", 1);
  record.coldFor = std::chrono::seconds(2);
  this->tracker.OnHeartbeat(record);
  const std::vector<ColdTarget> cold = this->tracker.TakeColdTargets();
  ASSERT_EQ(cold.size(), 1U);
  EXPECT_EQ(cold[0], (ColdTarget{ TargetId("t"), Incarnation(), record.coldFor, spec.rate }));
  EXPECT_TRUE(this->tracker.TakeColdTargets().empty());
}

TEST_F(TargetTrackerTest, TargetsOfServicesWithoutColdStartSpecAreNeverCold)
{
  TargetRecord record = Record("t", 1);
  record.coldFor = std::chrono::seconds(2);
  this->tracker.OnHeartbeat(record);
  EXPECT_TRUE(this->tracker.TakeColdTargets().empty());
}

TEST_F(TargetTrackerTest, TargetsOfReturnedZoneCountAsCold)
{
  const ColdStartSpec spec{ RequestRate{ 16 }, std::chrono::seconds(3) };
  this->tracker.SetColdStartSpecs({ { ServiceName("s"), spec } });
  TargetRecord here = Record("here", 1);
  here.zone = ZoneId("hall");
  this->tracker.OnHeartbeat(here);
  this->tracker.OnHeartbeat(Record("elsewhere", 1, 8081));
  this->tracker.OnZoneReturned(here.zone);
  const std::vector<ColdTarget> cold = this->tracker.TakeColdTargets();
  ASSERT_EQ(cold.size(), 1U);
  EXPECT_EQ(cold[0].target, here.id);
  EXPECT_EQ(cold[0].coldFor, spec.lasts);
}

// Guards against a control host that starts without memory of the targets that have left.
TEST_F(TargetTrackerTest, LateHeartbeatOfACommittedDepartureDoesNotBringTheTargetBack)
{
  DepartedTargets departed;
  departed.Add(DepartedTarget{ TargetId("t"), Incarnation() });
  this->tracker.SetCommittedDepartures(departed);
  EXPECT_TRUE(this->tracker.OnHeartbeat(Record("t", 7)));
  this->tracker.OnRelayedRecord(Record("u", 1, 8081));
  std::vector<TargetUpdate> changes = this->tracker.TakeChanges();
  ASSERT_EQ(changes.size(), 2U);
  EXPECT_EQ(changes[0].standing, TargetAvailability::Leaving);
  EXPECT_EQ(changes[1].standing, TargetAvailability::Usable);
  const std::vector<TargetUpdate> relayed = this->tracker.TakeDirectUpdates();
  ASSERT_EQ(relayed.size(), 1U);
  EXPECT_TRUE(relayed.front().record.leaving);
  // Known as usable before the departure is applied.
  const DepartedTarget later{ TargetId("u"), Incarnation() };
  departed.Add(later);
  this->tracker.OnDepartureCommitted(later);
  changes = this->tracker.TakeChanges();
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].standing, TargetAvailability::Leaving);
}

TEST_F(TargetTrackerTest, LaterIncarnationOfADepartedTargetIsUsable)
{
  DepartedTargets departed;
  const DepartedTarget earlier{ TargetId("t"), Incarnation(4) };
  departed.Add(earlier);
  this->tracker.SetCommittedDepartures(departed);
  TargetRecord restarted = Record("t", 1);
  restarted.incarnation = Incarnation(5);
  this->tracker.OnHeartbeat(restarted);
  this->tracker.OnDepartureCommitted(earlier);
  const std::vector<TargetUpdate> changes = this->tracker.TakeChanges();
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].standing, TargetAvailability::Usable);
}

} // namespace
} // namespace damasklink
