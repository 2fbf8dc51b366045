// Connections between hosts that are learnt while they run, on the event loop.
//
// A host is named by its IP number, and all hosts listen on the same port, so a name is all that
// is needed to reach one. Both directions of a connection carry frames; both sides say that they
// are alive when they have nothing else to say, so that a connection which went silent without a
// reset is noticed by either side.
//
//   PeerMesh mesh(context, HostId("10.1.0.4"), 7700, handler);
//   mesh.Listen();                       // Where others connect to this host.
//   mesh.Dial(HostId("10.2.0.4"));       // Kept up: dialed again whenever it breaks.
//   mesh.Send(HostId("10.2.0.4"), message);
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

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

// Takes what happens on the connections.
class PeerMeshHandler
{
public:
  virtual ~PeerMeshHandler() = default;

  // The connection can be written to. An accepted one counts from its first frame on.
  virtual void OnPeerUp(const HostId& aPeer, LinkSide aSide) = 0;
  virtual void OnPeerDown(const HostId& aPeer, LinkSide aSide) = 0;
  virtual void OnPeerMessage(const HostId& aPeer, PeerMessage aMessage) = 0;
};

// How long connections are waited for.
struct PeerMeshTiming
{
  // "Alive" after this long without another frame.
  Duration alive = std::chrono::milliseconds(500);
  // A connection on which not a byte came for this long is broken: three signs of life lost, which
  // a retransmitted packet or two does not cause.
  Duration silence = std::chrono::milliseconds(1700);
  DialTiming dial;
};

class PeerMesh final : public PeerSender
{
public:
  PeerMesh(asio::io_context& aContext,
           HostId aSelf,
           std::uint16_t aPort,
           PeerMeshHandler& aHandler,
           PeerMeshTiming aTiming = PeerMeshTiming());
  ~PeerMesh() override;
  PeerMesh(const PeerMesh&) = delete;
  PeerMesh& operator=(const PeerMesh&) = delete;

  // Fails with Unavailable when the address is taken.
  Result<void> Listen();

  // Keeps a connection to the host from now on. Does nothing for this host and for known ones.
  void Dial(const HostId& aPeer);

  // Ends the connection to the host that this side opened.
  void Disconnect(const HostId& aPeer);

  bool IsDialed(const HostId& aPeer) const { return this->dialed.contains(aPeer); }

  // Returns whether a connection to the host is up, whoever opened it.
  bool IsUp(const HostId& aPeer) const;

  // Sends on the connection that this side opened, or else on the one that the peer did. Drops the
  // message when neither is up, and the connection with it when more than 8 MiB would wait there:
  // the peer is told everything anew on the next one.
  void Send(const HostId& aTo, PeerMessage aMessage) override;

  // Closes everything; no handler is called any more.
  void Stop();

private:
  class Link;

  void Accept();
  void OnLinkUp(const std::shared_ptr<Link>& aLink);
  void OnLinkDown(const std::shared_ptr<Link>& aLink);
  void OnFrame(const std::shared_ptr<Link>& aLink, const std::string& aFrame);
  void Open(const HostId& aPeer);

  asio::io_context& context;
  HostId self;
  std::uint16_t port;
  PeerMeshHandler& handler;
  PeerMeshTiming timing;
  std::unique_ptr<TcpAcceptor> acceptor;
  // By peer; null while the connection is not being opened or up.
  std::map<HostId, std::shared_ptr<Link>> dialed;
  std::map<HostId, DialBackoff> paces;
  std::map<HostId, std::shared_ptr<Link>> accepted;
  // Accepted and not yet named.
  std::vector<std::weak_ptr<Link>> unnamed;
  bool stopped = false;
};

} // namespace damasklink
