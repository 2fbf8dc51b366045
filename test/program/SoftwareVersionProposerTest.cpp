#include "program/SoftwareVersionProposer.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

using std::chrono::seconds;

const ServiceName kService("s");
const SoftwareVersion kOld("v1");
const SoftwareVersion kNew("v2");

class SoftwareChangesTest : public ::testing::Test
{
protected:
  SoftwareChangesTest() { this->history.SetRetention(seconds(30)); }

  std::vector<SetSoftwareVersions> Changes(const SoftwareVersions& aCommitted)
  {
    return SoftwareChanges({ { kService, aCommitted } }, this->history);
  }

  ManualClock clock;
  SoftwareVersionHistory history{ this->clock };
};

TEST_F(SoftwareChangesTest, NewVersionIsAdded)
{
  this->history.Observe(kService, kNew);
  const std::vector<SetSoftwareVersions> changes = this->Changes({ kOld });
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].service, kService);
  EXPECT_EQ(changes[0].versions, (SoftwareVersions{ kOld, kNew }));
  EXPECT_TRUE(this->Changes({ kOld, kNew }).empty());
}

// Guards against a control host that has just started and forgets versions of streams that go on.
TEST_F(SoftwareChangesTest, VersionIsRemovedOnlyByACompleteHistory)
{
  this->history.Observe(kService, kNew);
  EXPECT_TRUE(this->Changes({ kOld, kNew }).empty());
  this->clock.Advance(seconds(30));
  this->history.Observe(kService, kNew);
  const std::vector<SetSoftwareVersions> changes = this->Changes({ kOld, kNew });
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].versions, SoftwareVersions{ kNew });
}

TEST_F(SoftwareChangesTest, ServiceWithoutTargetsKeepsItsVersions)
{
  this->history.Observe(kService, kOld);
  this->clock.Advance(seconds(60));
  this->history.RemoveExpired();
  EXPECT_TRUE(this->Changes({ kOld }).empty());
}

} // namespace
} // namespace damasklink
