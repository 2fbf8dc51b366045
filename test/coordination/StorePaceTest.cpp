#include "damasklink/coordination/StorePace.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

class StorePaceTest : public ::testing::Test
{
protected:
  void Note(const std::string& aStore, double aExcess, int aTimes)
  {
    for (int time = 0; time < aTimes; ++time) {
      this->pace.Note(aStore, aExcess);
    }
  }

  StorePace pace{ 1 };
};

TEST_F(StorePaceTest, StoreThatIsMuchSlowerThanTheOthersIsSlow)
{
  this->Note("a", 30, 10);
  this->Note("b", 30, 10);
  EXPECT_FALSE(this->pace.IsSlow("b"));
  this->Note("b", 900, 5);
  EXPECT_TRUE(this->pace.IsSlow("b"));
  EXPECT_FALSE(this->pace.IsSlow("a"));
}

TEST_F(StorePaceTest, NoStoreIsSlowWhenAllAre)
{
  this->Note("a", 1500, 10);
  this->Note("b", 1800, 10);
  EXPECT_FALSE(this->pace.IsSlow("a"));
  EXPECT_FALSE(this->pace.IsSlow("b"));
}

TEST_F(StorePaceTest, OnlyStoreIsComparedWithPromptsThatFetchNothing)
{
  this->Note("", 20, 10);
  this->Note("a", 700, 10);
  EXPECT_TRUE(this->pace.IsSlow("a"));
}

TEST_F(StorePaceTest, SlowStoreIsStillTriedNowAndThenAndComesBack)
{
  this->Note("a", 30, 10);
  this->Note("b", 900, 10);
  int fetched = 0;
  for (int time = 0; time < 800; ++time) {
    fetched += this->pace.MayFetch("b") ? 1 : 0;
  }
  EXPECT_GT(fetched, 50);
  EXPECT_LT(fetched, 200);
  this->Note("b", 30, 15);
  EXPECT_FALSE(this->pace.IsSlow("b"));
}

TEST_F(StorePaceTest, OneLateEventIsNoSign)
{
  this->Note("a", 30, 10);
  this->Note("b", 5000, 1);
  EXPECT_FALSE(this->pace.IsSlow("b"));
}

// A part of 12,800 tokens is fetched in some 130 ms and read in 340 ms, in which nobody else's
// prompt is read: a store that is 250 ms behind the others is still the better source for it,
// though not for a part that is read in 8 ms.
TEST_F(StorePaceTest, LongPartsAreWorthAWaitThatShortOnesAreNot)
{
  for (int seen = 0; seen < 20; ++seen) {
    this->pace.Note("slow", 300);
    this->pace.Note("good", 20);
  }
  EXPECT_TRUE(this->pace.IsSlow("slow", 8));
  EXPECT_FALSE(this->pace.IsSlow("slow", 340));
}

} // namespace
} // namespace damasklink
