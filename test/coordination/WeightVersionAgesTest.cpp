#include "damasklink/coordination/WeightVersionAges.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

const ModelName kModel("m");
constexpr Duration kLongest = std::chrono::seconds(12);
constexpr Duration kLimit = std::chrono::seconds(9);

class WeightVersionAgesTest : public ::testing::Test
{
protected:
  bool Take(std::uint64_t aVersion, std::optional<Duration> aAge)
  {
    return this->ages.Take(AnnouncedWeights{ kModel, aVersion, aAge });
  }

  ManualClock clock;
  WeightVersionAges ages{ this->clock, kLongest };
};

TEST_F(WeightVersionAgesTest, AgeCountsFromTheAcknowledgement)
{
  EXPECT_TRUE(this->Take(2, std::chrono::seconds(8)));
  EXPECT_EQ(this->ages.NewestOfAge(kModel, kLimit), 0U);
  this->clock.Advance(std::chrono::seconds(1));
  EXPECT_EQ(this->ages.NewestOfAge(kModel, kLimit), 2U);
}

TEST_F(WeightVersionAgesTest, GreatestAgeHolds)
{
  this->Take(2, std::chrono::seconds(3));
  EXPECT_FALSE(this->Take(2, std::chrono::seconds(9)));
  this->Take(2, Duration::zero());
  EXPECT_EQ(this->ages.NewestOfAge(kModel, kLimit), 2U);
}

TEST_F(WeightVersionAgesTest, UnknownAgeCountsAsOldUntilItIsKnown)
{
  EXPECT_TRUE(this->Take(2, std::nullopt));
  EXPECT_EQ(this->ages.NewestOfAge(kModel, kLimit), 2U);
  EXPECT_TRUE(this->Take(2, std::chrono::seconds(1)));
  EXPECT_EQ(this->ages.NewestOfAge(kModel, kLimit), 0U);
  EXPECT_FALSE(this->Take(2, std::nullopt)) << "a host that does not know it changes nothing";
  EXPECT_EQ(this->ages.NewestOfAge(kModel, kLimit), 0U);
}

TEST_F(WeightVersionAgesTest, VersionsInBetweenHaveTheirOwnAge)
{
  this->Take(4, std::chrono::seconds(2));
  this->Take(3, std::chrono::seconds(10));
  EXPECT_EQ(this->ages.Newest(kModel), 4U);
  EXPECT_EQ(this->ages.NewestOfAge(kModel, kLimit), 3U);
}

TEST_F(WeightVersionAgesTest, ForgetsWhatAnOldVersionHasSuperseded)
{
  for (std::uint64_t version = 2; version <= 60; ++version) {
    this->Take(version, Duration::zero());
    this->clock.Advance(std::chrono::seconds(1));
  }
  EXPECT_LE(this->ages.All().size(), 13U);
  EXPECT_FALSE(this->Take(2, std::chrono::seconds(60)));
  EXPECT_EQ(this->ages.NewestOfAge(kModel, kLimit), 52U);
}

TEST_F(WeightVersionAgesTest, HasRecentUntilTheNewestIsOld)
{
  EXPECT_FALSE(this->ages.HasRecent());
  this->Take(2, Duration::zero());
  EXPECT_TRUE(this->ages.HasRecent());
  this->clock.Advance(kLongest);
  EXPECT_FALSE(this->ages.HasRecent());
}

} // namespace
} // namespace damasklink
