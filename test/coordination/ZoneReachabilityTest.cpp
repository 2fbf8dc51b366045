#include "damasklink/coordination/ZoneReachability.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

class ZoneReachabilityTest : public testing::Test
{
protected:
  // Reports aCount different targets of the zone as not reached.
  void FailTargets(std::size_t aCount)
  {
    for (std::size_t index = 0; index < aCount; ++index) {
      this->reach.OnEnd(this->zone, TargetId(std::to_string(index)), HealthSignal::NotReached);
    }
  }

  bool IsUnreachable() const { return this->reach.IsUnreachable(this->zone); }

  ManualClock clock;
  ZoneId zone{ "far" };
  ZoneReachability reach{ this->clock, 1 };
};

TEST_F(ZoneReachabilityTest, ZoneIsUnreachableWhenSeveralTargetsFailTogether)
{
  this->FailTargets(ZoneReachability::kUnreachableTargets - 1);
  EXPECT_FALSE(this->IsUnreachable());
  this->FailTargets(ZoneReachability::kUnreachableTargets);
  EXPECT_TRUE(this->IsUnreachable());
  EXPECT_FALSE(this->reach.IsUnreachable(ZoneId("near")));
}

TEST_F(ZoneReachabilityTest, RepeatedFailuresOfOneTargetDoNotAffectZone)
{
  for (int time = 0; time < 10; ++time) {
    this->FailTargets(1);
  }
  EXPECT_FALSE(this->IsUnreachable());
}

TEST_F(ZoneReachabilityTest, SuccessfulCallResetsFailures)
{
  this->FailTargets(ZoneReachability::kUnreachableTargets - 1);
  this->reach.OnEnd(this->zone, TargetId("good"), HealthSignal::Good);
  this->FailTargets(ZoneReachability::kUnreachableTargets - 1);
  EXPECT_FALSE(this->IsUnreachable());
}

TEST_F(ZoneReachabilityTest, ReceivedBytesResetFailures)
{
  this->FailTargets(ZoneReachability::kUnreachableTargets - 1);
  this->reach.OnBytes(this->zone);
  this->FailTargets(ZoneReachability::kUnreachableTargets - 1);
  EXPECT_FALSE(this->IsUnreachable());
  this->FailTargets(ZoneReachability::kUnreachableTargets);
  EXPECT_TRUE(this->IsUnreachable());
  this->reach.OnBytes(this->zone);
  EXPECT_FALSE(this->IsUnreachable());
}

TEST_F(ZoneReachabilityTest, FailuresOutsideDetectionWindowDoNotAddUp)
{
  this->FailTargets(ZoneReachability::kUnreachableTargets - 1);
  this->clock.Advance(ZoneReachability::kDetectionWindow * 2);
  this->reach.OnEnd(this->zone, TargetId("another"), HealthSignal::NotReached);
  EXPECT_FALSE(this->IsUnreachable());
}

TEST_F(ZoneReachabilityTest, ProbesZoneWithOneCallAtATimeAfterRetryDelay)
{
  this->FailTargets(ZoneReachability::kUnreachableTargets);
  this->clock.Advance(ZoneReachability::kRetryDelay * 2);
  EXPECT_FALSE(this->IsUnreachable());
  this->reach.OnStart(this->zone);
  EXPECT_TRUE(this->IsUnreachable());
  this->reach.OnEnd(this->zone, TargetId("0"), HealthSignal::NotReached);
  EXPECT_TRUE(this->IsUnreachable());
  this->clock.Advance(ZoneReachability::kRetryDelay * 2);
  this->reach.OnStart(this->zone);
  this->reach.OnEnd(this->zone, TargetId("0"), HealthSignal::Good);
  EXPECT_FALSE(this->IsUnreachable());
}

TEST_F(ZoneReachabilityTest, InconclusiveProbeAllowsAnother)
{
  this->FailTargets(ZoneReachability::kUnreachableTargets);
  this->clock.Advance(ZoneReachability::kRetryDelay * 2);
  this->reach.OnStart(this->zone);
  this->reach.OnEnd(this->zone, TargetId("0"), HealthSignal::None);
  EXPECT_FALSE(this->IsUnreachable());
}

} // namespace
} // namespace damasklink
