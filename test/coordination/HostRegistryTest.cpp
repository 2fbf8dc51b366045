#include "damasklink/coordination/HostRegistry.h"

#include <algorithm>

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

TEST_F(HostRegistryTest, ForwardingHostsAreThoseThatAreNotCutOff)
{
  const MonotonicTime now{ std::chrono::hours(1) };
  this->roster.OnEntryHostConnected(HostId("e1"), ZoneId("a"));
  this->roster.OnEntryHostConnected(HostId("e2"), ZoneId("a"));
  EntryHostList list;
  list.hosts = { HostId("e3"), HostId("e4") };
  list.zones = { ZoneId("b"), ZoneId("b") };
  list.cutOff = { HostId("e4") };
  this->roster.SetEntryHostsOf(kOther, list);
  const EntryHostZones all{ { HostId("e2"), ZoneId("a") }, { HostId("e3"), ZoneId("b") } };
  EXPECT_EQ(this->roster.ForwardingHostsFor(HostId("e1")), all);
  this->roster.SetCutOff(HostId("e2"), true, now);
  EXPECT_EQ(this->roster.MakeEntryHostList().cutOff, std::vector<HostId>{ HostId("e2") });
  EXPECT_EQ(this->roster.ForwardingHostsFor(HostId("e1")).size(), 1U);
  this->roster.RemoveExpiredCutOffs(now + HostRegistry::kCutOffTimeout);
  EXPECT_EQ(this->roster.ForwardingHostsFor(HostId("e1")), all);
}

TEST_F(HostRegistryTest, HalfOfTheForwardingHostsAreOfTheOwnZone)
{
  for (int index = 0; index < 50; ++index) {
    const ZoneId zone(index % 2 == 0 ? "a" : "b");
    this->roster.OnEntryHostConnected(HostId(std::to_string(index)), zone);
  }
  const EntryHostZones chosen = this->roster.ForwardingHostsFor(HostId("0"));
  EXPECT_EQ(chosen.size(), HostRegistry::kForwardingHosts);
  const auto own = std::count_if(
    chosen.begin(), chosen.end(), [](const auto& aItem) { return aItem.second == ZoneId("a"); });
  EXPECT_EQ(own, static_cast<long>(HostRegistry::kForwardingHosts / 2));
  EXPECT_NE(chosen, this->roster.ForwardingHostsFor(HostId("2")));
}

} // namespace
} // namespace damasklink
