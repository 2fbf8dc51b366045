#include "damasklink/coordination/SoftwareVersionHistory.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

using std::chrono::seconds;
using Versions = std::set<SoftwareVersion>;

const ServiceName kService("s");
const SoftwareVersion kOld("v1");
const SoftwareVersion kNew("v2");

class SoftwareVersionHistoryTest : public ::testing::Test
{
protected:
  SoftwareVersionHistoryTest() { this->history.SetRetention(seconds(30)); }

  ManualClock clock;
  SoftwareVersionHistory history{ this->clock };
};

TEST_F(SoftwareVersionHistoryTest, NamesVersionsUntilTheirStreamsHaveEnded)
{
  this->history.Observe(kService, kOld);
  this->clock.Advance(seconds(20));
  this->history.Observe(kService, kNew);
  EXPECT_EQ(this->history.Versions(kService), (Versions{ kOld, kNew }));
  this->clock.Advance(seconds(10));
  EXPECT_EQ(this->history.Versions(kService), Versions{ kNew });
  this->history.RemoveExpired();
  this->clock.Advance(seconds(20));
  EXPECT_TRUE(this->history.Versions(kService).empty());
  EXPECT_TRUE(this->history.Versions(ServiceName("other")).empty());
}

TEST_F(SoftwareVersionHistoryTest, IsCompleteOnceTheHostHasHeardOfAllTargetsForLongEnough)
{
  EXPECT_FALSE(this->history.IsComplete());
  this->clock.Advance(seconds(30));
  EXPECT_TRUE(this->history.IsComplete());
  this->history.OnIsolated();
  EXPECT_FALSE(this->history.IsComplete());
  this->clock.Advance(seconds(29));
  EXPECT_FALSE(this->history.IsComplete());
  this->clock.Advance(seconds(1));
  EXPECT_TRUE(this->history.IsComplete());
}

// Guards against a host that stood still while targets of a new version joined, and then vouches
// for the versions that it knows.
TEST_F(SoftwareVersionHistoryTest, IsNotCompleteAfterTheHostStoodStill)
{
  for (int step = 0; step < 31; ++step) {
    this->history.OnStep();
    this->clock.Advance(seconds(1));
  }
  EXPECT_TRUE(this->history.IsComplete());
  EXPECT_FALSE(this->history.HasJustStoodStill());
  this->clock.Advance(seconds(5));
  this->history.OnStep();
  EXPECT_FALSE(this->history.IsComplete());
  EXPECT_TRUE(this->history.HasJustStoodStill());
  this->clock.Advance(SoftwareVersionHistory::kCatchUpTime);
  EXPECT_FALSE(this->history.HasJustStoodStill());
}

} // namespace
} // namespace damasklink
