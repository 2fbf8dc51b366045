#include "damasklink/coordination/ControlHostSelector.h"

#include <algorithm>
#include <set>

#include <gtest/gtest.h>

namespace damasklink {
namespace {

class ControlHostSelectorTest : public testing::Test
{
protected:
  ControlHostSelectorTest()
  {
    for (const std::string zone : { "a", "b", "c", "d" }) {
      for (const std::string number : { "1", "2" }) {
        this->links.AddHost(HostId(zone + number), ZoneId(zone));
      }
    }
  }

  std::vector<HostId> Wanted() const
  {
    return this->links.Select(
      [this](const HostId& aHost) { return !this->bad.contains(aHost.Value()); });
  }

  bool Wants(const std::string& aHost) const
  {
    const auto wanted = this->Wanted();
    return std::find(wanted.begin(), wanted.end(), HostId(aHost)) != wanted.end();
  }

  ControlHostSelector links{ HostId("e"), ZoneId("b") };
  std::set<std::string> bad;
};

TEST_F(ControlHostSelectorTest, PrefersOwnZoneAndOneHostOfAnother)
{
  EXPECT_EQ(this->Wanted().size(), ControlHostSelector::kHealthyLinks);
  EXPECT_TRUE(this->Wants("b1"));
  EXPECT_TRUE(this->Wants("b2"));
}

TEST_F(ControlHostSelectorTest, SelectsAnotherHostBesideAnUnhealthyOne)
{
  this->bad = { "b1" };
  EXPECT_EQ(this->Wanted().size(), ControlHostSelector::kHealthyLinks + 1);
  EXPECT_TRUE(this->Wants("b1")) << "it may come back";
}

TEST_F(ControlHostSelectorTest, SelectsAllHostsWhenNoneIsHealthy)
{
  for (const auto& [host, zone] : this->links.Known()) {
    this->bad.insert(host.Value());
  }
  EXPECT_EQ(this->Wanted().size(), 8U);
}

TEST_F(ControlHostSelectorTest, SpreadsEntryHostsOverOtherZones)
{
  std::set<HostId> others;
  for (int number = 0; number < 40; ++number) {
    ControlHostSelector other(HostId("e" + std::to_string(number)), ZoneId("b"));
    for (const auto& [host, zone] : this->links.Known()) {
      other.AddHost(host, zone);
    }
    others.insert(other.Select([](const HostId&) { return true; }).back());
  }
  EXPECT_EQ(others.size(), 6U);
}

TEST_F(ControlHostSelectorTest, EmptyZoneKeepsTheKnownOne)
{
  this->links.AddHost(HostId("b1"), ZoneId());
  EXPECT_EQ(this->links.Known().at(HostId("b1")), ZoneId("b"));
}

} // namespace
} // namespace damasklink
