#include "damasklink/coordination/StableWeightVersions.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

const ModelName kModel("m");
constexpr Duration kSettlingTime = std::chrono::seconds(3);

TargetRecord
Engine(std::uint64_t aVersion)
{
  TargetRecord record;
  record.models = { ServedModel{ kModel, WeightVersion(std::to_string(aVersion)), {} } };
  return record;
}

class StableWeightVersionsTest : public ::testing::Test
{
protected:
  std::uint64_t MinimumVersion() const
  {
    const auto minimums = this->settled.MinimumVersions();
    const auto found = minimums.find(kModel);
    return found == minimums.end() ? 0 : found->second;
  }

  ManualClock clock;
  StableWeightVersions settled{ this->clock, kSettlingTime };
};

TEST_F(StableWeightVersionsTest, ReportsLowestVersionAfterSettlingTime)
{
  this->settled.Update({ Engine(2), Engine(3) });
  EXPECT_EQ(this->MinimumVersion(), 0U);
  this->clock.Advance(kSettlingTime);
  this->settled.Update({ Engine(2), Engine(3) });
  EXPECT_EQ(this->MinimumVersion(), 2U);
}

TEST_F(StableWeightVersionsTest, UpgradeOfLastEngineRestartsSettlingTime)
{
  this->settled.Update({ Engine(1), Engine(2) });
  this->clock.Advance(kSettlingTime);
  this->settled.Update({ Engine(2), Engine(2) });
  EXPECT_EQ(this->MinimumVersion(), 0U);
  this->clock.Advance(kSettlingTime);
  EXPECT_EQ(this->MinimumVersion(), 2U);
}

TEST_F(StableWeightVersionsTest, EngineWithOlderWeightsRestartsSettlingTime)
{
  this->settled.Update({ Engine(2) });
  this->clock.Advance(kSettlingTime);
  this->settled.Update({ Engine(2), Engine(1) });
  EXPECT_EQ(this->MinimumVersion(), 0U);
  this->clock.Advance(kSettlingTime);
  EXPECT_EQ(this->MinimumVersion(), 1U);
}

} // namespace
} // namespace damasklink
