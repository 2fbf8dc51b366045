#include "damasklink/coordination/EvacuationRegistry.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

const ZoneId kZone("hall");

SetEvacuation
Order(bool aEvacuated, std::uint64_t aSeenChanges)
{
  return SetEvacuation{ kZone, aEvacuated, aSeenChanges, WallTime() };
}

TEST(EvacuationRegistryTest, AppliesOrderAndItsWithdrawal)
{
  EvacuationRegistry evacuations;
  EXPECT_EQ(evacuations.Apply(Order(true, 0)), EvacuationResult::Applied);
  EXPECT_EQ(evacuations.Current().zones, std::set<ZoneId>{ kZone });
  EXPECT_EQ(evacuations.Apply(Order(false, 1)), EvacuationResult::Applied);
  EXPECT_TRUE(evacuations.Current().zones.empty());
  EXPECT_EQ(evacuations.Current().revision, 2U);
}

TEST(EvacuationRegistryTest, RepeatedOrderChangesNothing)
{
  EvacuationRegistry evacuations;
  evacuations.Apply(Order(true, 0));
  EXPECT_EQ(evacuations.Apply(Order(true, 0)), EvacuationResult::NoChange);
  EXPECT_EQ(evacuations.Current().revision, 1U);
}

// A copy of an order whose sender timed out may be committed after the order was withdrawn.
TEST(EvacuationRegistryTest, LateCopyOfWithdrawnOrderIsSuperseded)
{
  EvacuationRegistry evacuations;
  evacuations.Apply(Order(true, 0));
  evacuations.Apply(Order(false, 1));
  EXPECT_EQ(evacuations.Apply(Order(true, 0)), EvacuationResult::Superseded);
  EXPECT_TRUE(evacuations.Current().zones.empty());
  EXPECT_EQ(evacuations.Apply(Order(true, 2)), EvacuationResult::Applied);
}

TEST(EvacuationRegistryTest, WithdrawalThatHasNotSeenTheOrderIsSuperseded)
{
  EvacuationRegistry evacuations;
  evacuations.Apply(Order(true, 0));
  EXPECT_EQ(evacuations.Apply(Order(false, 0)), EvacuationResult::Superseded);
}

TEST(EvacuationRegistryTest, ZonesAreIndependent)
{
  EvacuationRegistry evacuations;
  evacuations.Apply(Order(true, 0));
  const SetEvacuation other{ ZoneId("other"), true, 0, WallTime() };
  EXPECT_EQ(evacuations.Apply(other), EvacuationResult::Applied);
  EXPECT_EQ(evacuations.Current().zones.size(), 2U);
  EXPECT_EQ(evacuations.ChangesOf(kZone), 1U);
}

} // namespace
} // namespace damasklink
