#include "damasklink/coordination/SlowStoreDetector.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

class SlowStoreDetectorTest : public ::testing::Test
{
protected:
  void Observe(const std::string& aStore, double aExcess, int aTimes)
  {
    for (int time = 0; time < aTimes; ++time) {
      this->pace.Observe(aStore, aExcess);
    }
  }

  SlowStoreDetector pace{ 1 };
};

TEST_F(SlowStoreDetectorTest, DetectsStoreMuchSlowerThanOthers)
{
  this->Observe("a", 30, 10);
  this->Observe("b", 30, 10);
  EXPECT_FALSE(this->pace.IsSlow("b"));
  this->Observe("b", 900, 5);
  EXPECT_TRUE(this->pace.IsSlow("b"));
  EXPECT_FALSE(this->pace.IsSlow("a"));
}

TEST_F(SlowStoreDetectorTest, ReportsNoStoreWhenAllAreSlow)
{
  this->Observe("a", 1500, 10);
  this->Observe("b", 1800, 10);
  EXPECT_FALSE(this->pace.IsSlow("a"));
  EXPECT_FALSE(this->pace.IsSlow("b"));
}

TEST_F(SlowStoreDetectorTest, ComparesOnlyStoreWithPromptsWithoutFetch)
{
  this->Observe("", 20, 10);
  this->Observe("a", 700, 10);
  EXPECT_TRUE(this->pace.IsSlow("a"));
}

TEST_F(SlowStoreDetectorTest, ProbesSlowStoreAndRecovers)
{
  this->Observe("a", 30, 10);
  this->Observe("b", 900, 10);
  int fetched = 0;
  for (int time = 0; time < 800; ++time) {
    fetched += this->pace.ShouldFetch("b") ? 1 : 0;
  }
  EXPECT_GT(fetched, 50);
  EXPECT_LT(fetched, 200);
  this->Observe("b", 30, 15);
  EXPECT_FALSE(this->pace.IsSlow("b"));
}

TEST_F(SlowStoreDetectorTest, IgnoresSingleOutlier)
{
  this->Observe("a", 30, 10);
  this->Observe("b", 5000, 1);
  EXPECT_FALSE(this->pace.IsSlow("b"));
}

// A part of 12,800 tokens is fetched in some 130 ms and read in 340 ms, in which nobody else's
// prompt is read: a store that is 250 ms behind the others is still the better source for it,
// though not for a part that is read in 8 ms.
TEST_F(SlowStoreDetectorTest, ToleratesSlowerStoreForLongParts)
{
  for (int observations = 0; observations < 20; ++observations) {
    this->pace.Observe("slow", 300);
    this->pace.Observe("good", 20);
  }
  EXPECT_TRUE(this->pace.IsSlow("slow", 8));
  EXPECT_FALSE(this->pace.IsSlow("slow", 340));
}

} // namespace
} // namespace damasklink
