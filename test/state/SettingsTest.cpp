#include "damasklink/state/Settings.h"

#include <filesystem>

#include <gtest/gtest.h>

namespace damasklink {
namespace {

const std::string kSamples = std::string(DAMASKLINK_SOURCE_DIR) + "/samples/";

TEST(SettingsTest, OneHostSampleHasNoFaults)
{
  const auto parsed = LoadHostSettings(kSamples + "01-one-host/host.yaml");
  for (const Fault& fault : parsed.faults) {
    ADD_FAILURE() << FormatFault(fault);
  }
  EXPECT_EQ(parsed.value.peers.size(), 1U) << "a host without peers is a system of one";
}

TEST(SettingsTest, ListsAllFaultsWithTheirLines)
{
  const auto parsed = ParseHostSettings("host: a\n"
                                        "zone: z\n"
                                        "colour: red\n"
                                        "limits:\n"
                                        "  shutdown: 30\n",
                                        "f.yaml");
  std::vector<int> lines;
  for (const Fault& fault : parsed.faults) {
    lines.push_back(fault.line);
  }
  EXPECT_EQ(lines, (std::vector<int>{ 1, 1, 5, 3 }))
    << "two missing keys, a duration without unit, an unknown key";
}

TEST(SettingsTest, HostNameInPlaceOfIpNumberIsAFault)
{
  EXPECT_FALSE(ParseEndpoint("localhost:80"));
  EXPECT_FALSE(ParseEndpoint("127.0.0.1:0"));
  EXPECT_TRUE(ParseEndpoint("127.0.0.1:80"));
}

} // namespace
} // namespace damasklink
