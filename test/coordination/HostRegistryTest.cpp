#include "damasklink/coordination/HostRegistry.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

const HostId kOther("other");

class HostRegistryTest : public testing::Test
{
protected:
  HostRegistry roster{ HostId("self"), ZoneId("a") };
};

TEST_F(HostRegistryTest, ReportsControlHostAsNewOnce)
{
  EXPECT_TRUE(this->roster.AddControlHost(kOther, ZoneId()));
  EXPECT_FALSE(this->roster.AddControlHost(kOther, ZoneId("b")));
  EXPECT_FALSE(this->roster.AddControlHost(HostId("self"), ZoneId("a")));
  EXPECT_EQ(this->roster.ControlHosts().size(), 1U);
  EXPECT_EQ(this->roster.AllControlHosts().size(), 2U);
}

TEST_F(HostRegistryTest, LaterZoneIsReportedAsChangeAndKept)
{
  this->roster.AddControlHost(kOther, ZoneId());
  EXPECT_TRUE(this->roster.TakeControlHostsChanged());
  this->roster.AddControlHost(kOther, ZoneId("b"));
  EXPECT_TRUE(this->roster.TakeControlHostsChanged());
  this->roster.AddControlHost(kOther, ZoneId());
  EXPECT_FALSE(this->roster.TakeControlHostsChanged());
  EXPECT_EQ(this->roster.ControlHosts().at(kOther), ZoneId("b"));
}

TEST_F(HostRegistryTest, CountsEntryHostOfSeveralControlHostsOnce)
{
  this->roster.OnEntryHostConnected(HostId("e1"));
  this->roster.SetEntryHostsOf(kOther, EntryHostList{ { HostId("e1"), HostId("e2") } });
  EXPECT_EQ(this->roster.CountEntryHosts(), 2U);
}

TEST_F(HostRegistryTest, DropsEntryHostListOfDisconnectedControlHost)
{
  this->roster.SetEntryHostsOf(kOther, EntryHostList{ { HostId("e1"), HostId("e2") } });
  this->roster.OnEntryHostConnected(HostId("e1"));
  this->roster.OnDisconnected(kOther);
  EXPECT_EQ(this->roster.CountEntryHosts(), 1U);
}

TEST_F(HostRegistryTest, ListsOnlyConnectedEntryHostsAndReportsTheirChanges)
{
  this->roster.SetEntryHostsOf(kOther, EntryHostList{ { HostId("e2") } });
  EXPECT_FALSE(this->roster.TakeEntryHostsChanged());
  this->roster.OnEntryHostConnected(HostId("e1"));
  EXPECT_TRUE(this->roster.TakeEntryHostsChanged());
  EXPECT_EQ(this->roster.MakeEntryHostList().hosts, std::vector<HostId>{ HostId("e1") });
  this->roster.OnDisconnected(HostId("e1"));
  EXPECT_TRUE(this->roster.TakeEntryHostsChanged());
  EXPECT_FALSE(this->roster.TakeEntryHostsChanged());
}

} // namespace
} // namespace damasklink
