#include "damasklink/transport/PeerNetwork.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

TEST(PeerNetworkTest, EveryChannelHasAName)
{
  for (int channel = 1; channel <= static_cast<int>(Channel::Serving); ++channel) {
    EXPECT_NE(ChannelName(static_cast<Channel>(channel)), "unknown") << channel;
  }
}

TEST(PeerNetworkTest, DropsMessageToUnknownHost)
{
  HostSettings settings;
  settings.host = HostId("a");
  NoMetrics metrics;
  PeerNetwork network(settings, metrics, [](HostId, PeerMessage) {});
  network.Send(HostId("nobody"), PeerMessage{ Channel::Claims, GroupId("g"), "x" });
}

TEST(PeerNetworkTest, StartFailsWhenAddressCannotBeBound)
{
  HostSettings settings;
  settings.host = HostId("a");
  // Reserved for documentation (RFC 5737), so no machine has it.
  settings.listen.peers = Endpoint{ "203.0.113.1", 7000 };
  NoMetrics metrics;
  PeerNetwork network(settings, metrics, [](HostId, PeerMessage) {});
  const auto started = network.Start();
  ASSERT_FALSE(started);
  EXPECT_EQ(started.error().kind, ErrorKind::Unavailable);
}

} // namespace
} // namespace damasklink
