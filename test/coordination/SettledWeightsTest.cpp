#include "damasklink/coordination/SettledWeights.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

const ModelName kModel("m");
constexpr Duration kSettling = std::chrono::seconds(3);

TargetRecord
Engine(std::uint64_t aVersion)
{
  TargetRecord record;
  record.models = { ServedModel{ kModel, WeightVersion(std::to_string(aVersion)), {} } };
  return record;
}

class SettledWeightsTest : public ::testing::Test
{
protected:
  std::uint64_t Least() const
  {
    const auto least = this->settled.Least();
    const auto found = least.find(kModel);
    return found == least.end() ? 0 : found->second;
  }

  ManualClock clock;
  SettledWeights settled{ this->clock, kSettling };
};

TEST_F(SettledWeightsTest, LowestEngineCountsOnceItHasSettled)
{
  this->settled.Note({ Engine(2), Engine(3) });
  EXPECT_EQ(this->Least(), 0U);
  this->clock.Advance(kSettling);
  this->settled.Note({ Engine(2), Engine(3) });
  EXPECT_EQ(this->Least(), 2U);
}

TEST_F(SettledWeightsTest, LastEngineThatIsExchangedBeginsTheTimeAnew)
{
  this->settled.Note({ Engine(1), Engine(2) });
  this->clock.Advance(kSettling);
  this->settled.Note({ Engine(2), Engine(2) });
  EXPECT_EQ(this->Least(), 0U);
  this->clock.Advance(kSettling);
  EXPECT_EQ(this->Least(), 2U);
}

TEST_F(SettledWeightsTest, EngineThatComesBackWithOlderWeightsHoldsItUp)
{
  this->settled.Note({ Engine(2) });
  this->clock.Advance(kSettling);
  this->settled.Note({ Engine(2), Engine(1) });
  EXPECT_EQ(this->Least(), 0U);
  this->clock.Advance(kSettling);
  EXPECT_EQ(this->Least(), 1U);
}

} // namespace
} // namespace damasklink
