// Connections between hosts: length-prefixed frames over TCP, each of them a FlatBuffer.
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

// The part of the system that handles a message.
enum class Channel : std::uint8_t
{
  Membership = 1,    // Heartbeats of hosts.
  Targets = 2,       // Relayed announcements of targets.
  Agreement = 3,     // Replicated logs, one for each group.
  Configuration = 4, // Distribution of the configuration tree.
  Claims = 5,        // Claims of idempotency keys, for their home group.
  Stores = 6,        // Store leases and block look-ups.
  Admission = 7,     // Rate shares and load within a zone.
  Serving = 8,       // Updates of a serving deployment; an empty payload is a keepalive.
  Forwarding = 9,    // Calls that entry hosts hand to each other.
};

// Returns the lower-case name for logs and metrics.
std::string_view
ChannelName(Channel aChannel);

// What a message waits for. Messages of the same channel, group and stream arrive in the order in
// which they were sent; others may overtake a large message.
enum class MessageStream : std::uint8_t
{
  Main,
  Proposals,
  // Messages that are valid whatever arrives before them.
  Independent,
};

// A message between two hosts. The payload is a FlatBuffer whose schema depends on the channel.
struct PeerMessage
{
  Channel channel = Channel::Membership;
  GroupId group;
  std::string payload;
  MessageStream stream = MessageStream::Main;
};

// Sends to peers without blocking. Messages may be lost, repeated after a reconnect or reordered
// between connections; the protocols above must tolerate that.
class PeerSender
{
public:
  virtual ~PeerSender() = default;

  // Queues a message; drops it when the peer is unknown, unreachable or its queue is full.
  virtual void Send(const HostId& aTo, PeerMessage aMessage) = 0;
};

// Connects to all peers in the settings, on a thread of its own. Send() is thread-safe.
//
//   PeerNetwork network(settings, metrics, [&](HostId aFrom, PeerMessage aMessage) { ... });
//   auto started = network.Start();
//
// The handler runs on the network's thread and must not block. Bytes are counted by channel; the
// counts include frames and their prefixes, but not the overhead of TCP.
class PeerNetwork final : public PeerSender
{
public:
  using Handler = std::function<void(HostId, PeerMessage)>;

  PeerNetwork(const HostSettings& aSettings, Metrics& aMetrics, Handler aHandler);
  ~PeerNetwork() override;

  // Listens on the address for peers. Fails with Unavailable when it is in use.
  Result<void> Start();
  void Stop();

  void Send(const HostId& aTo, PeerMessage aMessage) override;

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace damasklink
