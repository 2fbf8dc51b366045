#include "damasklink/coordination/SlowStoreDetector.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

class SlowStoreDetectorTest : public ::testing::Test
{
protected:
  void Observe(const std::string& aStore, double aDelay, int aTimes)
  {
    for (int time = 0; time < aTimes; ++time) {
      this->detector.Observe(aStore, aDelay);
    }
  }

  SlowStoreDetector detector{ 1 };
};

TEST_F(SlowStoreDetectorTest, DetectsStoreMuchSlowerThanOthers)
{
  this->Observe("a", 30, 10);
  this->Observe("b", 30, 10);
  EXPECT_FALSE(this->detector.IsSlow("b"));
  this->Observe("b", 900, 5);
  EXPECT_TRUE(this->detector.IsSlow("b"));
  EXPECT_FALSE(this->detector.IsSlow("a"));
}

TEST_F(SlowStoreDetectorTest, ReportsNoStoreWhenAllAreSlow)
{
  this->Observe("a", 1500, 10);
  this->Observe("b", 1800, 10);
  EXPECT_FALSE(this->detector.IsSlow("a"));
  EXPECT_FALSE(this->detector.IsSlow("b"));
}

TEST_F(SlowStoreDetectorTest, ComparesOnlyStoreWithPromptsWithoutFetch)
{
  this->Observe("", 20, 10);
  this->Observe("a", 700, 10);
  EXPECT_TRUE(this->detector.IsSlow("a"));
}

TEST_F(SlowStoreDetectorTest, ProbesSlowStoreAndRecovers)
{
  this->Observe("a", 30, 10);
  this->Observe("b", 900, 10);
  int fetched = 0;
  for (int time = 0; time < 800; ++time) {
    fetched += this->detector.ShouldFetch("b") ? 1 : 0;
  }
  EXPECT_GT(fetched, 50);
  EXPECT_LT(fetched, 200);
  this->Observe("b", 30, 15);
  EXPECT_FALSE(this->detector.IsSlow("b"));
}

TEST_F(SlowStoreDetectorTest, IgnoresSingleOutlier)
{
  this->Observe("a", 30, 10);
  this->Observe("b", 5000, 1);
  EXPECT_FALSE(this->detector.IsSlow("b"));
}

// A part of 12,800 tokens is fetched in about 130 ms and prefilled in 340 ms, during which the
// engine prefills no other prompt. So a store that is 250 ms slower than the others is still the
// better source for it, but not for a part that is prefilled in 8 ms.
TEST_F(SlowStoreDetectorTest, ToleratesSlowerStoreForLongParts)
{
  for (int time = 0; time < 20; ++time) {
    this->detector.Observe("slow", 300);
    this->detector.Observe("good", 20);
  }
  EXPECT_TRUE(this->detector.IsSlow("slow", 8));
  EXPECT_FALSE(this->detector.IsSlow("slow", 340));
}

} // namespace
} // namespace damasklink
