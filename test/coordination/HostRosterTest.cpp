#include "damasklink/coordination/HostRoster.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

const HostId kOther("other");

class HostRosterTest : public testing::Test
{
protected:
  HostRoster roster{ HostId("self"), ZoneId("a") };
};

TEST_F(HostRosterTest, ControlHostIsNewOnce)
{
  EXPECT_TRUE(this->roster.LearnControlHost(kOther, ZoneId()));
  EXPECT_FALSE(this->roster.LearnControlHost(kOther, ZoneId("b")));
  EXPECT_FALSE(this->roster.LearnControlHost(HostId("self"), ZoneId("a")));
  EXPECT_EQ(this->roster.ControlHosts().size(), 1U);
  EXPECT_EQ(this->roster.AllControlHosts().size(), 2U);
}

TEST_F(HostRosterTest, ZoneThatIsLearntLaterIsAChangeAndStays)
{
  this->roster.LearnControlHost(kOther, ZoneId());
  EXPECT_TRUE(this->roster.TakeControlHostsChanged());
  this->roster.LearnControlHost(kOther, ZoneId("b"));
  EXPECT_TRUE(this->roster.TakeControlHostsChanged());
  this->roster.LearnControlHost(kOther, ZoneId());
  EXPECT_FALSE(this->roster.TakeControlHostsChanged());
  EXPECT_EQ(this->roster.ControlHosts().at(kOther), ZoneId("b"));
}

TEST_F(HostRosterTest, EntryHostOfSeveralControlHostsCountsOnce)
{
  this->roster.OnEntryHost(HostId("e1"));
  this->roster.TakeList(kOther, EntryHostList{ { HostId("e1"), HostId("e2") } });
  EXPECT_EQ(this->roster.CountEntryHosts(), 2U);
}

TEST_F(HostRosterTest, LostControlHostTakesItsListAlong)
{
  this->roster.TakeList(kOther, EntryHostList{ { HostId("e1"), HostId("e2") } });
  this->roster.OnEntryHost(HostId("e1"));
  this->roster.OnLost(kOther);
  EXPECT_EQ(this->roster.CountEntryHosts(), 1U);
}

TEST_F(HostRosterTest, OnlyOwnEntryHostsAreListedAndTheirChangesTold)
{
  this->roster.TakeList(kOther, EntryHostList{ { HostId("e2") } });
  EXPECT_FALSE(this->roster.TakeEntryHostsChanged());
  this->roster.OnEntryHost(HostId("e1"));
  EXPECT_TRUE(this->roster.TakeEntryHostsChanged());
  EXPECT_EQ(this->roster.OwnList().hosts, std::vector<HostId>{ HostId("e1") });
  this->roster.OnLost(HostId("e1"));
  EXPECT_TRUE(this->roster.TakeEntryHostsChanged());
  EXPECT_FALSE(this->roster.TakeEntryHostsChanged());
}

} // namespace
} // namespace damasklink
