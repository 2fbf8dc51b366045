#include "damasklink/coordination/ServingStateMachine.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace damasklink {
namespace {

ServingCommandResult
Apply(ServingStateMachine& aMachine, const ServingCommand& aCommand)
{
  const std::string answer = aMachine.Apply(ApplyContext{}, EncodeServingCommand(aCommand));
  return DecodeServingCommandResult(answer).value();
}

TEST(ServingStateMachineTest, HigherVersionReplacesTheDocument)
{
  ServingStateMachine machine;
  EXPECT_EQ(Apply(machine, PutDocument{ Revision(3), "three" }).version, Revision(3));
  EXPECT_EQ(Apply(machine, PutDocument{ Revision(9), "nine" }).version, Revision(9));
  EXPECT_EQ(machine.Document(), "nine");
}

TEST(ServingStateMachineTest, LowerVersionIsAcknowledgedAndChangesNothing)
{
  ServingStateMachine machine;
  Apply(machine, PutDocument{ Revision(9), "nine" });
  const std::uint64_t changes = machine.Changes();
  EXPECT_TRUE(Apply(machine, PutDocument{ Revision(3), "three" }).understood);
  EXPECT_EQ(machine.Document(), "nine");
  EXPECT_EQ(machine.Changes(), changes);
}

TEST(ServingStateMachineTest, KeepsFirstContentOfAVersion)
{
  ServingStateMachine machine;
  Apply(machine, PutDocument{ Revision(9), "nine" });
  Apply(machine, PutDocument{ Revision(9), "another nine" });
  EXPECT_EQ(machine.Document(), "nine");
}

TEST(ServingStateMachineTest, WeightVersionsNeverDecrease)
{
  ServingStateMachine machine;
  Apply(machine, SetWeightVersion{ ModelName("m"), 3 });
  Apply(machine, SetWeightVersion{ ModelName("m"), 2 });
  EXPECT_EQ(machine.Weights().at(ModelName("m")), 3U);
}

const RequestFingerprint kRequest(7);

RefuseRequest
Refuse(RequestFingerprint aRequest, std::int64_t aSince)
{
  return RefuseRequest{ aRequest,
                        { WorkspaceId("w"), WallTime(std::chrono::milliseconds(aSince)) } };
}

TEST(ServingStateMachineTest, RefusedRequestKeepsFirstTimeUntilReleased)
{
  ServingStateMachine machine;
  Apply(machine, Refuse(kRequest, 5));
  Apply(machine, Refuse(kRequest, 9));
  ASSERT_EQ(machine.Refused().size(), 1U);
  EXPECT_EQ(machine.Refused().at(kRequest), Refuse(kRequest, 5).facts);
  Apply(machine, ReleaseRequest{ kRequest });
  EXPECT_TRUE(machine.Refused().empty());
}

TEST(ServingStateMachineTest, RefusedRequestsSurviveRestart)
{
  ServingStateMachine machine;
  Apply(machine, PutDocument{ Revision(9), "nine" });
  Apply(machine, Refuse(kRequest, 5));
  ServingStateMachine restarted;
  ASSERT_TRUE(restarted.Load(machine.Save()));
  EXPECT_EQ(restarted.Refused(), machine.Refused());
}

TEST(ServingStateMachineTest, LoadsSnapshotWithoutRefusedRequests)
{
  ServingStateMachine machine;
  Apply(machine, PutDocument{ Revision(9), "nine" });
  ServingStateMachine restarted;
  ASSERT_TRUE(restarted.Load(machine.Save()));
  EXPECT_TRUE(restarted.Refused().empty());
}

TEST(ServingStateMachineTest, EvictsOldestRefusedRequestAtLimit)
{
  ServingStateMachine machine;
  for (std::uint64_t index = 0; index <= ServingStateMachine::kMostRefused; ++index) {
    Apply(machine, Refuse(RequestFingerprint(index), static_cast<std::int64_t>(index)));
  }
  EXPECT_EQ(machine.Refused().size(), ServingStateMachine::kMostRefused);
  EXPECT_FALSE(machine.Refused().contains(RequestFingerprint(0)));
}

TEST(ServingStateMachineTest, ReadBarrierReturnsVersionAndChangesNothing)
{
  ServingStateMachine machine;
  Apply(machine, PutDocument{ Revision(9), "nine" });
  const std::uint64_t changes = machine.Changes();
  EXPECT_EQ(Apply(machine, ReadBarrier{}).version, Revision(9));
  EXPECT_EQ(machine.Changes(), changes);
}

TEST(ServingStateMachineTest, ReportsUnreadableCommand)
{
  ServingStateMachine machine;
  const std::string answer = machine.Apply(ApplyContext{}, "\x07nonsense");
  EXPECT_FALSE(DecodeServingCommandResult(answer).value().understood);
}

TEST(ServingStateMachineTest, RejectsDamagedSnapshotAndKeepsState)
{
  ServingStateMachine machine;
  Apply(machine, PutDocument{ Revision(9), "nine" });
  EXPECT_FALSE(machine.Load("short"));
  EXPECT_EQ(machine.Document(), "nine");
}

RC_GTEST_PROP(ServingStateMachineTest, SnapshotRestoresState, ())
{
  ServingStateMachine machine;
  const auto versions =
    *rc::gen::container<std::vector<std::uint8_t>>(rc::gen::arbitrary<std::uint8_t>());
  for (const std::uint8_t version : versions) {
    Apply(machine, PutDocument{ Revision(version), std::string(version, 'x') });
    Apply(machine, SetWeightVersion{ ModelName(version % 2 == 0 ? "a" : "b"), version });
  }
  ServingStateMachine loaded;
  RC_ASSERT(static_cast<bool>(loaded.Load(machine.Save())));
  RC_ASSERT(loaded.Version() == machine.Version());
  RC_ASSERT(loaded.Document() == machine.Document());
  RC_ASSERT(loaded.Weights() == machine.Weights());
}

const ZoneId kZone("hall");

TEST(ServingStateMachineTest, EvacuationsSurviveRestart)
{
  ServingStateMachine machine;
  Apply(machine, PutDocument{ Revision(9), "nine" });
  Apply(machine, SetEvacuation{ kZone, true, 0, WallTime(std::chrono::milliseconds(7)) });
  ServingStateMachine restarted;
  ASSERT_TRUE(restarted.Load(machine.Save()));
  EXPECT_EQ(restarted.Evacuated().All(), machine.Evacuated().All());
  EXPECT_EQ(restarted.Evacuated().Current().zones, std::set<ZoneId>{ kZone });
}

TEST(ServingStateMachineTest, RefusedRequestsAndEvacuationsSurviveRestartTogether)
{
  ServingStateMachine machine;
  Apply(machine, Refuse(kRequest, 5));
  Apply(machine, SetEvacuation{ kZone, true, 0, WallTime() });
  ServingStateMachine restarted;
  ASSERT_TRUE(restarted.Load(machine.Save()));
  EXPECT_EQ(restarted.Refused(), machine.Refused());
  EXPECT_EQ(restarted.Evacuated().All(), machine.Evacuated().All());
}

TEST(ServingStateMachineTest, SoftwareVersionsSurviveRestart)
{
  const ServiceName service("s");
  const SoftwareVersions versions{ SoftwareVersion("v1"), SoftwareVersion() };
  ServingStateMachine machine;
  Apply(machine, SetSoftwareVersions{ service, versions });
  Apply(machine, SetSoftwareVersions{ ServiceName("gone"), versions });
  const std::uint64_t changes = machine.Changes();
  Apply(machine, SetSoftwareVersions{ service, versions });
  EXPECT_EQ(machine.Changes(), changes);
  Apply(machine, SetSoftwareVersions{ ServiceName("gone"), {} });
  Apply(machine, SetSoftwareVersions{ ServiceName("never seen"), {} });
  EXPECT_EQ(machine.Changes(), changes + 1);
  ServingStateMachine restarted;
  ASSERT_TRUE(restarted.Load(machine.Save()));
  EXPECT_EQ(restarted.Software(),
            (std::map<ServiceName, SoftwareVersions>{ { service, versions } }));
  EXPECT_TRUE(restarted.Refused().empty());
}

TEST(ServingStateMachineTest, ReportsSupersededEvacuationOrder)
{
  ServingStateMachine machine;
  EXPECT_FALSE(Apply(machine, SetEvacuation{ kZone, true, 0, WallTime() }).superseded);
  Apply(machine, SetEvacuation{ kZone, false, 1, WallTime() });
  const std::uint64_t changes = machine.Changes();
  const ServingCommandResult result = Apply(machine, SetEvacuation{ kZone, true, 0, WallTime() });
  EXPECT_TRUE(result.understood);
  EXPECT_TRUE(result.superseded);
  EXPECT_EQ(machine.Changes(), changes);
}

// Random orders, some of them resent: replicas that apply the same orders have the same state, and
// the last order that was not superseded is in force.
RC_GTEST_PROP(ServingStateMachineTest, EvacuationsFollowLastOrderNotSuperseded, ())
{
  ServingStateMachine machine;
  ServingStateMachine replica;
  const auto orders = *rc::gen::container<std::vector<std::pair<bool, std::uint8_t>>>(
    rc::gen::pair(rc::gen::arbitrary<bool>(), rc::gen::inRange<std::uint8_t>(0, 6)));
  bool expected = false;
  for (const auto& [evacuated, lag] : orders) {
    const std::uint64_t changes = machine.Evacuated().ChangesOf(kZone);
    const std::uint64_t seen = changes - std::min<std::uint64_t>(changes, lag);
    const SetEvacuation order{ kZone, evacuated, seen, WallTime() };
    const bool superseded = Apply(machine, order).superseded;
    Apply(replica, order);
    expected = superseded ? expected : evacuated;
    RC_ASSERT(machine.Evacuated().Current().zones.contains(kZone) == expected);
  }
  RC_ASSERT(machine.Save() == replica.Save());
}

TEST(ServingStateMachineTest, DeparturesSurviveRestart)
{
  ServingStateMachine machine;
  Apply(machine, PutDocument{ Revision(9), "nine" });
  const DepartedTarget first{ TargetId("t"), Incarnation(5) };
  const DepartedTarget second{ TargetId("u"), Incarnation() };
  EXPECT_TRUE(Apply(machine, RecordDepartures{ { first, second, first } }).understood);
  ServingStateMachine restarted;
  ASSERT_TRUE(restarted.Load(machine.Save()));
  EXPECT_EQ(restarted.Departed().After(0), (std::vector<DepartedTarget>{ first, second }));
  EXPECT_EQ(restarted.Departed().Count(), 2U);
  EXPECT_EQ(restarted.Version(), Revision(9));
}

} // namespace
} // namespace damasklink
