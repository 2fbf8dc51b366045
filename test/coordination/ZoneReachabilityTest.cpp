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
      this->reachability.OnEnd(this->zone, TargetId(std::to_string(index)), HealthSign::Gone);
    }
  }

  bool IsUnreachable() const { return this->reachability.IsUnreachable(this->zone); }

  ManualClock clock;
  ZoneId zone{ "far" };
  ZoneReachability reachability{ this->clock, 1 };
};

TEST_F(ZoneReachabilityTest, ZoneIsUnreachableWhenSeveralTargetsFailTogether)
{
  this->FailTargets(ZoneReachability::kUnreachableTargets - 1);
  EXPECT_FALSE(this->IsUnreachable());
  this->FailTargets(ZoneReachability::kUnreachableTargets);
  EXPECT_TRUE(this->IsUnreachable());
  EXPECT_FALSE(this->reachability.IsUnreachable(ZoneId("near")));
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
  this->reachability.OnEnd(this->zone, TargetId("good"), HealthSign::Good);
  this->FailTargets(ZoneReachability::kUnreachableTargets - 1);
  EXPECT_FALSE(this->IsUnreachable());
}

TEST_F(ZoneReachabilityTest, ReceivedBytesResetFailures)
{
  this->FailTargets(ZoneReachability::kUnreachableTargets - 1);
  this->reachability.OnBytes(this->zone);
  this->FailTargets(ZoneReachability::kUnreachableTargets - 1);
  EXPECT_FALSE(this->IsUnreachable());
  this->FailTargets(ZoneReachability::kUnreachableTargets);
  EXPECT_TRUE(this->IsUnreachable());
  this->reachability.OnBytes(this->zone);
  EXPECT_FALSE(this->IsUnreachable());
}

TEST_F(ZoneReachabilityTest, FailuresOutsideDetectionWindowDoNotAddUp)
{
  this->FailTargets(ZoneReachability::kUnreachableTargets - 1);
  this->clock.Advance(ZoneReachability::kDetectionWindow * 2);
  this->reachability.OnEnd(this->zone, TargetId("another"), HealthSign::Gone);
  EXPECT_FALSE(this->IsUnreachable());
}

TEST_F(ZoneReachabilityTest, ProbesZoneWithOneCallAtATimeAfterRetryDelay)
{
  this->FailTargets(ZoneReachability::kUnreachableTargets);
  this->clock.Advance(ZoneReachability::kRetryDelay * 2);
  EXPECT_FALSE(this->IsUnreachable());
  this->reachability.OnStart(this->zone);
  EXPECT_TRUE(this->IsUnreachable());
  this->reachability.OnEnd(this->zone, TargetId("0"), HealthSign::Gone);
  EXPECT_TRUE(this->IsUnreachable());
  this->clock.Advance(ZoneReachability::kRetryDelay * 2);
  this->reachability.OnStart(this->zone);
  this->reachability.OnEnd(this->zone, TargetId("0"), HealthSign::Good);
  EXPECT_FALSE(this->IsUnreachable());
}

TEST_F(ZoneReachabilityTest, InconclusiveProbeAllowsAnother)
{
  this->FailTargets(ZoneReachability::kUnreachableTargets);
  this->clock.Advance(ZoneReachability::kRetryDelay * 2);
  this->reachability.OnStart(this->zone);
  this->reachability.OnEnd(this->zone, TargetId("0"), HealthSign::None);
  EXPECT_FALSE(this->IsUnreachable());
}

} // namespace
} // namespace damasklink
