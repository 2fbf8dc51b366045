#include "damasklink/coordination/ZoneReachability.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

class ZoneReachabilityTest : public testing::Test
{
protected:
  // Lets so many targets of the zone be found gone.
  void LoseTargets(std::size_t aCount)
  {
    for (std::size_t index = 0; index < aCount; ++index) {
      this->reach.OnEnd(this->zone, TargetId(std::to_string(index)), HealthSign::Gone);
    }
  }

  bool IsUnreachable() const { return this->reach.IsUnreachable(this->zone); }

  ManualClock clock;
  ZoneId zone{ "far" };
  ZoneReachability reach{ this->clock, 1 };
};

TEST_F(ZoneReachabilityTest, ZoneIsUnreachableWhenSeveralTargetsFailTogether)
{
  this->LoseTargets(ZoneReachability::kUnreachableTargets - 1);
  EXPECT_FALSE(this->IsUnreachable());
  this->LoseTargets(ZoneReachability::kUnreachableTargets);
  EXPECT_TRUE(this->IsUnreachable());
  EXPECT_FALSE(this->reach.IsUnreachable(ZoneId("near")));
}

TEST_F(ZoneReachabilityTest, RepeatedFailuresOfOneTargetDoNotAffectZone)
{
  for (int time = 0; time < 10; ++time) {
    this->LoseTargets(1);
  }
  EXPECT_FALSE(this->IsUnreachable());
}

TEST_F(ZoneReachabilityTest, SuccessfulCallResetsFailures)
{
  this->LoseTargets(ZoneReachability::kUnreachableTargets - 1);
  this->reach.OnEnd(this->zone, TargetId("good"), HealthSign::Good);
  this->LoseTargets(ZoneReachability::kUnreachableTargets - 1);
  EXPECT_FALSE(this->IsUnreachable());
}

TEST_F(ZoneReachabilityTest, ReceivedBytesResetFailures)
{
  this->LoseTargets(ZoneReachability::kUnreachableTargets - 1);
  this->reach.OnBytes(this->zone);
  this->LoseTargets(ZoneReachability::kUnreachableTargets - 1);
  EXPECT_FALSE(this->IsUnreachable());
  this->LoseTargets(ZoneReachability::kUnreachableTargets);
  EXPECT_TRUE(this->IsUnreachable());
  this->reach.OnBytes(this->zone);
  EXPECT_FALSE(this->IsUnreachable());
}

TEST_F(ZoneReachabilityTest, FailuresOutsideDetectionWindowDoNotAddUp)
{
  this->LoseTargets(ZoneReachability::kUnreachableTargets - 1);
  this->clock.Advance(ZoneReachability::kDetectionWindow * 2);
  this->reach.OnEnd(this->zone, TargetId("another"), HealthSign::Gone);
  EXPECT_FALSE(this->IsUnreachable());
}

TEST_F(ZoneReachabilityTest, ProbesZoneWithOneCallAtATimeAfterRetryDelay)
{
  this->LoseTargets(ZoneReachability::kUnreachableTargets);
  this->clock.Advance(ZoneReachability::kRetryDelay * 2);
  EXPECT_FALSE(this->IsUnreachable());
  this->reach.OnStart(this->zone);
  EXPECT_TRUE(this->IsUnreachable());
  this->reach.OnEnd(this->zone, TargetId("0"), HealthSign::Gone);
  EXPECT_TRUE(this->IsUnreachable());
  this->clock.Advance(ZoneReachability::kRetryDelay * 2);
  this->reach.OnStart(this->zone);
  this->reach.OnEnd(this->zone, TargetId("0"), HealthSign::Good);
  EXPECT_FALSE(this->IsUnreachable());
}

TEST_F(ZoneReachabilityTest, InconclusiveProbeAllowsAnother)
{
  this->LoseTargets(ZoneReachability::kUnreachableTargets);
  this->clock.Advance(ZoneReachability::kRetryDelay * 2);
  this->reach.OnStart(this->zone);
  this->reach.OnEnd(this->zone, TargetId("0"), HealthSign::None);
  EXPECT_FALSE(this->IsUnreachable());
}

} // namespace
} // namespace damasklink
