#include "damasklink/transport/PeerNetwork.h"

#include <gtest/gtest.h>

#include "damasklink/transport/EventLoop.h"
#include "damasklink/transport/Log.h"
#include "support/OwnAddress.h"
#include "support/PipeOutput.h"

namespace damasklink {
namespace {

using testing::FreeEndpoint;
using testing::OwnAddress;

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

// Guards against messages that are dropped without a word when a peer does not read.
TEST(PeerNetworkTest, DroppedMessageIsLogged)
{
  asio::io_context loop;
  const Endpoint peer = FreeEndpoint(OwnAddress(2));
  const TcpAcceptor unread(loop, ToTcpEndpoint(peer));
  HostSettings settings;
  settings.host = HostId("a");
  settings.listen.peers = FreeEndpoint(OwnAddress(1));
  settings.peers.push_back(PeerSettings{ HostId("b"), ZoneId("z"), peer, {}, false });
  NoMetrics metrics;
  const testing::PipeOutput output;
  LogToStandardOutput();
  PeerNetwork network(settings, metrics, [](HostId, PeerMessage) {});
  ASSERT_TRUE(network.Start());
  for (int message = 0; message < 40; ++message) {
    network.Send(HostId("b"),
                 PeerMessage{ Channel::Claims, GroupId("g"), std::string(2 * kMebibyte, 'x') });
  }
  const std::string lines = output.ReadUntil("peer_message_dropped");
  network.Stop();
  EXPECT_NE(lines.find("peer_message_dropped"), std::string::npos) << lines;
}

} // namespace
} // namespace damasklink
