#include "damasklink/coordination/HostRegistry.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

const HostId kOther("other");

class HostRegistryTest : public testing::Test
{
protected:
  HostRegistry registry{ HostId("self"), ZoneId("a") };
};

TEST_F(HostRegistryTest, ReportsControlHostAsNewOnce)
{
  EXPECT_TRUE(this->registry.AddControlHost(kOther, ZoneId()));
  EXPECT_FALSE(this->registry.AddControlHost(kOther, ZoneId("b")));
  EXPECT_FALSE(this->registry.AddControlHost(HostId("self"), ZoneId("a")));
  EXPECT_EQ(this->registry.ControlHosts().size(), 1U);
  EXPECT_EQ(this->registry.AllControlHosts().size(), 2U);
}

TEST_F(HostRegistryTest, LaterZoneIsReportedAsChangeAndKept)
{
  this->registry.AddControlHost(kOther, ZoneId());
  EXPECT_TRUE(this->registry.TakeControlHostsChanged());
  this->registry.AddControlHost(kOther, ZoneId("b"));
  EXPECT_TRUE(this->registry.TakeControlHostsChanged());
  this->registry.AddControlHost(kOther, ZoneId());
  EXPECT_FALSE(this->registry.TakeControlHostsChanged());
  EXPECT_EQ(this->registry.ControlHosts().at(kOther), ZoneId("b"));
}

TEST_F(HostRegistryTest, CountsEntryHostOfSeveralControlHostsOnce)
{
  this->registry.OnEntryHostConnected(HostId("e1"));
  this->registry.SetEntryHostsOf(kOther, EntryHostList{ { HostId("e1"), HostId("e2") } });
  EXPECT_EQ(this->registry.CountEntryHosts(), 2U);
}

TEST_F(HostRegistryTest, DropsEntryHostListOfDisconnectedControlHost)
{
  this->registry.SetEntryHostsOf(kOther, EntryHostList{ { HostId("e1"), HostId("e2") } });
  this->registry.OnEntryHostConnected(HostId("e1"));
  this->registry.OnDisconnected(kOther);
  EXPECT_EQ(this->registry.CountEntryHosts(), 1U);
}

TEST_F(HostRegistryTest, ListsOnlyConnectedEntryHostsAndReportsTheirChanges)
{
  this->registry.SetEntryHostsOf(kOther, EntryHostList{ { HostId("e2") } });
  EXPECT_FALSE(this->registry.TakeEntryHostsChanged());
  this->registry.OnEntryHostConnected(HostId("e1"));
  EXPECT_TRUE(this->registry.TakeEntryHostsChanged());
  EXPECT_EQ(this->registry.MakeEntryHostList().hosts, std::vector<HostId>{ HostId("e1") });
  this->registry.OnDisconnected(HostId("e1"));
  EXPECT_TRUE(this->registry.TakeEntryHostsChanged());
  EXPECT_FALSE(this->registry.TakeEntryHostsChanged());
}

} // namespace
} // namespace damasklink
