#include "platform/Settings.h"

#include <gtest/gtest.h>

namespace damasklink::platform {
namespace {

const std::string kEntry = "node=front-1\nip=10.1.0.40\nzone=hall-north\n"
                           "listen.front=10.1.0.40:8005\nlisten.ready=10.1.0.40:8002\n"
                           "internal-ports=7700,7715\n"
                           "seeds=10.1.0.43:8000,10.2.0.40:8000\nbootstrap=true\n"
                           "heartbeat-ms=1200\nbounds.grace-s=8\nbounds.retry-budget-ratio=0.2\n"
                           "bounds.retry-budget-slack=58\nsomething.new=1\n";

TEST(PlatformSettingsTest, ReadsSettingsOfEntryHost)
{
  const auto parsed = ParseSettings(kEntry, "file");
  ASSERT_TRUE(parsed.Ok()) << FormatFault(parsed.faults.front());
  EXPECT_EQ(parsed.value.host, HostId("10.1.0.40"));
  EXPECT_EQ(parsed.value.zone, ZoneId("hall-north"));
  EXPECT_EQ(parsed.value.callers, (Endpoint{ "10.1.0.40", 8005 }));
  EXPECT_EQ(parsed.value.peerPort, 7700);
  EXPECT_EQ(parsed.value.forwardingPort, 7701);
  EXPECT_EQ(parsed.value.seeds, (std::vector<HostId>{ HostId("10.1.0.43"), HostId("10.2.0.40") }));
  EXPECT_TRUE(parsed.value.firstStart);
  EXPECT_EQ(parsed.value.targetHeartbeat, std::chrono::milliseconds(1200));
  EXPECT_EQ(parsed.value.stopWithin, std::chrono::seconds(8));
  EXPECT_DOUBLE_EQ(parsed.value.retries.reserve, 58);
}

// Guards against a host that does not know the memory of its machine.
TEST(PlatformSettingsTest, ReadsTheMemoryOfTheMachine)
{
  EXPECT_EQ(ParseSettings(kEntry + "limits.memory-mb=110\n", "file").value.memory,
            ByteCount(110 * kMebibyte));
  EXPECT_EQ(ParseSettings(kEntry, "file").value.memory, ServingSettings().memory);
  EXPECT_FALSE(ParseSettings(kEntry + "limits.memory-mb=much\n", "file").Ok());
}

TEST(PlatformSettingsTest, ReportsEveryMissingKey)
{
  const auto parsed = ParseSettings("node=x\n", "file");
  std::vector<std::string> keys;
  for (const Fault& fault : parsed.faults) {
    keys.push_back(fault.key);
  }
  EXPECT_EQ(keys, (std::vector<std::string>{ "ip", "zone", "internal-ports", "internal-ports" }));
}

TEST(PlatformSettingsTest, UnreadableValueIsReportedWithLineAndKey)
{
  const auto parsed = ParseSettings(kEntry + "listen.control=nowhere\n", "file");
  ASSERT_EQ(parsed.faults.size(), 1U);
  EXPECT_EQ(parsed.faults.front().key, "listen.control");
  EXPECT_EQ(parsed.faults.front().line, 14);
}

TEST(PlatformSettingsTest, BootstrapIsOffUnlessTrue)
{
  std::string text = kEntry;
  text.replace(text.find("bootstrap=true"), 14, "bootstrap=false");
  EXPECT_FALSE(ParseSettings(text, "file").value.firstStart);
}

TEST(PlatformSettingsTest, MissingFileIsOneFault)
{
  EXPECT_EQ(LoadSettings("/nonexistent/settings").faults.size(), 1U);
}

TEST(PlatformSettingsTest, ReadsRegionsOfZones)
{
  const auto parsed =
    ParseSettings(kEntry + "zones.z1=north\nzones.z2=south\nzonesless=x\n", "file");
  const ZoneRegions expected{ { ZoneId("z1"), RegionId("north") },
                              { ZoneId("z2"), RegionId("south") } };
  EXPECT_EQ(parsed.value.regions, expected);
}

} // namespace
} // namespace damasklink::platform
