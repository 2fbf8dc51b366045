// Connections to hosts that are discovered at run time, on the event loop.
//
// A host's id is its IP address, and all hosts listen on the same port, so the id suffices to
// connect to it. Frames are sent in both directions of a connection. Both sides send keepalives
// when they have nothing else to send, so that either side detects a connection that fell silent
// without a reset.
//
//   PeerMesh mesh(context, HostId("10.1.0.4"), 7700, memory, handler);
//   mesh.Listen();                       // Accepts connections of other hosts.
//   mesh.Dial(HostId("10.2.0.4"));       // Connects, and reconnects after failures.
//   mesh.Send(HostId("10.2.0.4"), message);
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "damasklink/coordination/MemoryBudget.h"
#include "damasklink/transport/DialBackoff.h"
#include "damasklink/transport/EventLoop.h"
#include "damasklink/transport/PeerNetwork.h"

namespace damasklink {

// Which side opened a connection.
enum class LinkSide
{
  Dialed,
  Accepted,
};

// Callbacks for events on the connections, called on the event loop.
class PeerMeshHandler
{
public:
  virtual ~PeerMeshHandler() = default;

  // The connection is established: a dialed one once it is connected, an accepted one once its
  // first frame, which names the peer, has arrived.
  virtual void OnPeerUp(const HostId& aPeer, LinkSide aSide) = 0;
  // An established connection was closed.
  virtual void OnPeerDown(const HostId& aPeer, LinkSide aSide) = 0;
  // An established connection has received nothing for the silence timeout; called again each time
  // that it passes. Returns whether the connection is closed. One that is kept counts as down for
  // IsUp() until something arrives, and is closed when the peer's machine acknowledges nothing.
  virtual bool OnPeerSilent(const HostId& /*aPeer*/) { return true; }
  virtual void OnPeerMessage(const HostId& aPeer, PeerMessage aMessage) = 0;
};

// Timeouts of connections.
struct PeerMeshTiming
{
  // Idle time after which a keepalive is sent.
  Duration keepaliveInterval = std::chrono::milliseconds(500);
  // A connection that received no byte for this long is silent, and closed unless the handler keeps
  // it. It corresponds to three lost keepalives; one or two retransmitted packets do not cause
  // that.
  Duration silenceTimeout = std::chrono::milliseconds(1700);
  DialTiming dial;
};

class PeerMesh final : public PeerSender
{
public:
  PeerMesh(asio::io_context& aContext,
           HostId aSelf,
           std::uint16_t aPort,
           MemoryBudget& aMemory,
           PeerMeshHandler& aHandler,
           PeerMeshTiming aTiming = PeerMeshTiming());
  ~PeerMesh() override;
  PeerMesh(const PeerMesh&) = delete;
  PeerMesh& operator=(const PeerMesh&) = delete;

  // Starts accepting connections. Fails with Unavailable when the address is in use.
  Result<void> Listen();

  // Connects to the host and keeps the connection up until Disconnect(). Does nothing for this host
  // and for hosts that are dialed already.
  void Dial(const HostId& aPeer);

  // Closes the connection that this side dialed to the host, and stops dialing it.
  void Disconnect(const HostId& aPeer);

  bool IsDialed(const HostId& aPeer) const { return this->dialed.contains(aPeer); }

  // Returns whether a connection to the host is up and not silent, whichever side dialed it.
  bool IsUp(const HostId& aPeer) const;

  // Returns whether bytes have arrived from the host that are not read yet, as when this process
  // stood still.
  bool HasUnread(const HostId& aPeer) const;

  // Returns whether anything that was sent has not been acknowledged by its host's machine.
  bool HasUnsent() const;

  // Sends on the connection that this side dialed, or else on the one that the peer dialed. Drops
  // the message when neither is up. When more than 8 MiB would be queued, or 1 MiB beside a larger
  // message, or there is no memory for it, it also closes the connection: on a new one the peer is
  // sent its full state again. A large message does not delay those of other channels, groups and
  // streams, unless the peer does not take fragments.
  void Send(const HostId& aTo, PeerMessage aMessage) override;

  // Closes all connections. The handler is not called any more.
  void Stop();

private:
  class Link;

  void Accept();
  void OnLinkUp(const std::shared_ptr<Link>& aLink);
  void OnLinkDown(const std::shared_ptr<Link>& aLink);
  void OnFrame(const std::shared_ptr<Link>& aLink, std::string aFrame);
  void Connect(const HostId& aPeer);

  asio::io_context& context;
  HostId self;
  std::uint16_t port;
  MemoryBudget& memory;
  PeerMeshHandler& handler;
  PeerMeshTiming timing;
  std::unique_ptr<TcpAcceptor> acceptor;
  // By peer; null while waiting to dial again.
  std::map<HostId, std::shared_ptr<Link>> dialed;
  std::map<HostId, DialBackoff> backoffs;
  std::map<HostId, std::shared_ptr<Link>> accepted;
  // Accepted connections whose peer has not sent its id yet.
  std::vector<std::weak_ptr<Link>> unnamed;
  bool stopped = false;
};

} // namespace damasklink
