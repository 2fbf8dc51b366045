#include "damasklink/coordination/StreamOriginLookup.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

using Versions = std::set<SoftwareVersion>;

const ServiceName kService("s");
const StreamKey kStream(7);
const SoftwareVersion kOld("v1");
const SoftwareVersion kNew("v2");
const HostId kFirst("a");
const HostId kSecond("b");
const HostId kThird("c");

StreamOriginResponse
Known(const SoftwareVersion& aSoftware)
{
  const StreamOrigin origin{ kStream, kService, aSoftware, std::chrono::seconds(9) };
  return StreamOriginResponse{ {}, origin, { kOld, kNew }, false };
}

StreamOriginResponse
Unknown(Versions aVersions, bool aComplete)
{
  return StreamOriginResponse{ {}, std::nullopt, std::move(aVersions), aComplete };
}

class StreamOriginLookupTest : public ::testing::Test
{
protected:
  StreamOriginLookup lookup{ kService, { kFirst, kSecond, kThird } };
};

TEST_F(StreamOriginLookupTest, OneControlHostThatKnowsTheOriginDecides)
{
  EXPECT_FALSE(this->lookup.IsDecided());
  this->lookup.OnResponse(kFirst, Unknown({ kOld }, true));
  EXPECT_FALSE(this->lookup.IsDecided());
  this->lookup.OnResponse(kSecond, Known(kNew));
  EXPECT_TRUE(this->lookup.IsDecided());
  EXPECT_EQ(this->lookup.Result()->software, kNew);
}

TEST_F(StreamOriginLookupTest, UnknownOriginWithSeveralVersionsIsNotGuessed)
{
  for (const HostId& host : { kFirst, kSecond, kThird }) {
    this->lookup.OnResponse(host, Unknown({ kOld, kNew }, true));
  }
  EXPECT_TRUE(this->lookup.IsDecided());
  EXPECT_EQ(this->lookup.Result(), std::nullopt);
}

// Guards against a control host that has not heard of one of the versions.
TEST_F(StreamOriginLookupTest, VersionsOfAllControlHostsCount)
{
  this->lookup.OnResponse(kFirst, Unknown({ kOld }, true));
  this->lookup.OnResponse(kSecond, Unknown({ kOld }, true));
  this->lookup.OnResponse(kThird, Unknown({ kNew }, false));
  EXPECT_EQ(this->lookup.Result(), std::nullopt);
}

TEST_F(StreamOriginLookupTest, TheOnlyVersionBeganAStreamWithoutRecord)
{
  this->lookup.OnResponse(kFirst, Unknown({ kOld }, true));
  EXPECT_EQ(this->lookup.Result(), std::nullopt);
  this->lookup.OnResponse(kSecond, Unknown({}, false));
  const std::optional<StreamOrigin> origin = this->lookup.Result();
  ASSERT_TRUE(origin);
  EXPECT_EQ(*origin, (StreamOrigin{ StreamKey(), kService, kOld, Duration::zero() }));
}

// Guards against control hosts that have just started and take the versions that they have seen so
// far for all.
TEST_F(StreamOriginLookupTest, OnlyVersionIsNotCertainUnlessAControlHostHasHeardOfAllTargets)
{
  for (const HostId& host : { kFirst, kSecond, kThird }) {
    this->lookup.OnResponse(host, Unknown({ kOld }, false));
  }
  EXPECT_EQ(this->lookup.Result(), std::nullopt);
}

TEST_F(StreamOriginLookupTest, ResponsesOfOtherHostsAndSecondOnesAreIgnored)
{
  this->lookup.OnResponse(HostId("d"), Known(kNew));
  this->lookup.OnResponse(kFirst, Unknown({ kOld }, true));
  this->lookup.OnResponse(kFirst, Known(kNew));
  EXPECT_FALSE(this->lookup.IsDecided());
  EXPECT_EQ(this->lookup.Result(), std::nullopt);
}

} // namespace
} // namespace damasklink
