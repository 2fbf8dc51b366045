#include "damasklink/coordination/OrderStateMachine.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

const ApplyContext kContext{ ControlGroupId(), LogIndex(1),    Term(1),
                             WallTime(),       Incarnation(1), WallTime() };

FencingNumber
Issue(OrderStateMachine& aMachine, const std::string& aTarget)
{
  return UnpackFencing(aMachine.Apply(kContext, PackIssueFencing(TargetId(aTarget)))).value();
}

TEST(OrderStateMachineTest, FencingNumbersIncreaseAcrossTargetsAndSnapshots)
{
  OrderStateMachine machine;
  const FencingNumber first = Issue(machine, "a");
  const FencingNumber second = Issue(machine, "b");
  OrderStateMachine restarted;
  ASSERT_TRUE(restarted.Load(machine.Save()));
  EXPECT_LT(first, second);
  EXPECT_LT(second, Issue(restarted, "a"));
}

TEST(OrderStateMachineTest, StopAppliesToItsDesiredStateOnlyAndSurvivesASnapshot)
{
  OrderStateMachine machine;
  const DeploymentName name("d");
  machine.Apply(kContext, PackStopRollout(name, 7, "why"));
  OrderStateMachine restarted;
  ASSERT_TRUE(restarted.Load(machine.Save()));
  ASSERT_NE(restarted.FindStop(name, 7), nullptr);
  EXPECT_EQ(restarted.FindStop(name, 7)->reason, "why");
  EXPECT_EQ(restarted.FindStop(name, 8), nullptr);
}

TEST(OrderStateMachineTest, DamagedSnapshotIsRefused)
{
  OrderStateMachine machine;
  EXPECT_FALSE(machine.Load("\x01"));
  EXPECT_FALSE(machine.Load(""));
}

} // namespace
} // namespace damasklink
