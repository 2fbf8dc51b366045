#include "damasklink/coordination/StreamOriginTable.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

using std::chrono::seconds;

StreamOrigin
Origin(std::uint64_t aStream, const std::string& aSoftware, Duration aKeepFor = seconds(10))
{
  return StreamOrigin{ StreamKey(aStream), ServiceName("s"), SoftwareVersion(aSoftware), aKeepFor };
}

class StreamOriginTableTest : public ::testing::Test
{
protected:
  ManualClock clock;
  StreamOriginTable origins{ this->clock };
};

TEST_F(StreamOriginTableTest, FindsOriginUntilItExpires)
{
  EXPECT_EQ(this->origins.Find(StreamKey(1)), std::nullopt);
  EXPECT_TRUE(this->origins.Add(Origin(1, "v1")));
  this->clock.Advance(seconds(4));
  EXPECT_EQ(this->origins.Find(StreamKey(1)), Origin(1, "v1", seconds(6)));
  this->clock.Advance(seconds(6));
  EXPECT_EQ(this->origins.Find(StreamKey(1)), std::nullopt);
  EXPECT_TRUE(this->origins.All().empty());
  EXPECT_EQ(this->origins.Size(), 1U);
  this->origins.RemoveExpired();
  EXPECT_EQ(this->origins.Size(), 0U);
}

TEST_F(StreamOriginTableTest, KeepsTheFirstOriginOfAStream)
{
  this->origins.Add(Origin(1, "v1"));
  this->origins.Add(Origin(1, "v2"));
  EXPECT_EQ(this->origins.Find(StreamKey(1))->software, SoftwareVersion("v1"));
  EXPECT_EQ(this->origins.TakeAdded().size(), 1U);
}

TEST_F(StreamOriginTableTest, ReplacesAnExpiredOriginThatIsNotRemovedYet)
{
  this->origins.Add(Origin(1, "v1"));
  this->clock.Advance(seconds(10));
  this->origins.Add(Origin(1, "v2"));
  EXPECT_EQ(this->origins.Find(StreamKey(1))->software, SoftwareVersion("v2"));
}

TEST_F(StreamOriginTableTest, TakesEachAddedOriginOnce)
{
  this->origins.Add(Origin(1, "v1"));
  this->origins.Add(Origin(2, "v1", seconds(1)));
  this->clock.Advance(seconds(1));
  EXPECT_EQ(this->origins.TakeAdded(), std::vector{ Origin(1, "v1", seconds(9)) });
  EXPECT_TRUE(this->origins.TakeAdded().empty());
  this->origins.ResendAll();
  EXPECT_EQ(this->origins.TakeAdded().size(), 1U);
}

TEST_F(StreamOriginTableTest, IsBounded)
{
  for (std::uint64_t stream = 0; stream < StreamOriginTable::kMaxOrigins; ++stream) {
    ASSERT_TRUE(this->origins.Add(Origin(stream, "v1")));
  }
  EXPECT_FALSE(this->origins.Add(Origin(StreamOriginTable::kMaxOrigins, "v1")));
  EXPECT_TRUE(this->origins.Add(Origin(0, "v1")));
  EXPECT_EQ(this->origins.Size(), StreamOriginTable::kMaxOrigins);
}

TEST(StreamKeyTest, DependsOnTheWholeRequestId)
{
  EXPECT_EQ(StreamKeyOf(RequestId("9c41d07be2a35f68")), StreamKeyOf(RequestId("9c41d07be2a35f68")));
  EXPECT_NE(StreamKeyOf(RequestId("9c41d07be2a35f68")), StreamKeyOf(RequestId("9c41d07be2a35f69")));
}

} // namespace
} // namespace damasklink
