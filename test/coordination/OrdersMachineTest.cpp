#include "damasklink/coordination/OrdersMachine.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

const ApplyContext kContext{ ControlGroupId(), LogIndex(1),    Term(1),
                             WallTime(),       Incarnation(1), WallTime() };

FencingNumber
Issue(OrdersMachine& aMachine, const std::string& aTarget)
{
  return UnpackFencing(aMachine.Apply(kContext, PackIssueOrder(TargetId(aTarget)))).value();
}

TEST(OrdersMachineTest, FencingNumbersRiseOverTargetsAndSnapshots)
{
  OrdersMachine machine;
  const FencingNumber first = Issue(machine, "a");
  const FencingNumber second = Issue(machine, "b");
  OrdersMachine restarted;
  ASSERT_TRUE(restarted.Load(machine.Save()));
  EXPECT_LT(first, second);
  EXPECT_LT(second, Issue(restarted, "a"));
}

TEST(OrdersMachineTest, StopHoldsForItsWishOnlyAndOutlivesASnapshot)
{
  OrdersMachine machine;
  const DeploymentName name("d");
  machine.Apply(kContext, PackStopRollout(name, 7, "why"));
  OrdersMachine restarted;
  ASSERT_TRUE(restarted.Load(machine.Save()));
  ASSERT_NE(restarted.FindStop(name, 7), nullptr);
  EXPECT_EQ(restarted.FindStop(name, 7)->reason, "why");
  EXPECT_EQ(restarted.FindStop(name, 8), nullptr);
}

TEST(OrdersMachineTest, DamagedSnapshotIsRefused)
{
  OrdersMachine machine;
  EXPECT_FALSE(machine.Load("\x01"));
  EXPECT_FALSE(machine.Load(""));
}

} // namespace
} // namespace damasklink
