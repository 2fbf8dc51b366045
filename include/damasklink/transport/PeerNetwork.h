// Links between the hosts of the system: length-prefixed frames over TCP, each a FlatBuffer.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "damasklink/state/Error.h"
#include "damasklink/state/Metrics.h"
#include "damasklink/state/Settings.h"

namespace damasklink {

// Which part of the system a message is for.
enum class Channel : std::uint8_t
{
  Membership = 1,    // Heartbeats of hosts.
  Targets = 2,       // Announcements passed on.
  Agreement = 3,     // Replicated logs; the group tells which.
  Configuration = 4, // Spread of the tree.
  Claims = 5,        // Claims sent to their home group.
  Stores = 6,        // Store owners and block look-ups.
  Admission = 7,     // Shares and load within a zone.
  Serving = 8,       // Pictures of a serving deployment; an empty payload only says "alive".
};

// Returns the lower-case name that logs and metrics use.
std::string_view
ChannelName(Channel aChannel);

// A message between two hosts; the payload is the channel's own FlatBuffer.
struct PeerMessage
{
  Channel channel = Channel::Membership;
  GroupId group;
  std::string payload;
};

// Sends to peers without waiting. Messages may be lost, repeated after a reconnect or reordered
// between connections; each protocol above bears that.
class PeerSender
{
public:
  virtual ~PeerSender() = default;

  // Queues a message; drops it when the peer is unknown, unreachable or its queue is full.
  virtual void Send(const HostId& aTo, PeerMessage aMessage) = 0;
};

// Connects to all peers of the settings over Boost.Asio, on one thread of its own.
//
//   PeerNetwork network(settings, metrics, [&](HostId aFrom, PeerMessage aMessage) { ... });
//   auto started = network.Start();
//
// The handler runs on the network's thread and must not wait. Bytes are counted by channel, frame
// and prefix included, TCP's own not.
class PeerNetwork final : public PeerSender
{
public:
  using Handler = std::function<void(HostId, PeerMessage)>;

  PeerNetwork(const HostSettings& aSettings, Metrics& aMetrics, Handler aHandler);
  ~PeerNetwork() override;

  // Listens on the peers' address. Fails with Unavailable when it is taken.
  Result<void> Start();
  void Stop();

  void Send(const HostId& aTo, PeerMessage aMessage) override;

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace damasklink
