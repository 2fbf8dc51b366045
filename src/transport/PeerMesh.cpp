#include "damasklink/transport/PeerMesh.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>

#include "damasklink/protocol/Envelope.h"
#include "damasklink/state/Text.h"
#include "damasklink/transport/FrameCodec.h"
#include "damasklink/transport/FrameScheduler.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

// Limit of the bytes queued for a peer that does not read. Enough for a large configuration and a
// snapshot chunk, and small compared to the memory of a control host.
constexpr std::size_t kMaxQueuedBytes = 8 * kMebibyte;

// Limit of the bytes queued beside a larger message. Neither may close the connection because of
// the other.
constexpr std::size_t kMaxBytesBesideLarge = kMebibyte;

// Copies of a frame that exist while its message is taken out of it.
constexpr std::size_t kFrameCopies = 2;

// How often a frame that is not read for want of memory is tried again, and how long. A peer that
// could not go on for longer would close the connection.
constexpr Duration kMemoryCheckInterval = std::chrono::milliseconds(20);
constexpr int kMaxMemoryChecks = 50;

// Bytes that are handed to the connection at once. What comes later waits for them.
constexpr std::size_t kWriteBytes = std::size_t{ 64 } * 1024;

} // namespace

// One connection. Its pending operations keep the object alive.
class PeerMesh::Link : public std::enable_shared_from_this<PeerMesh::Link>
{
public:
  Link(PeerMesh& aMesh, TcpSocket aSocket, LinkSide aSide)
    : mesh(aMesh)
    , socket(std::move(aSocket))
    , keepaliveTimer(this->socket.get_executor())
    , silenceTimer(this->socket.get_executor())
    , memoryTimer(this->socket.get_executor())
    , side(aSide)
    , scheduler(aMesh.self)
    , queueMemory(*aMesh.memory.TryReserve(MemoryUse::PeerQueues, 0))
    , frameMemory(*aMesh.memory.TryReserve(MemoryUse::PeerFrames, 0))
  {
  }

  LinkSide Side() const { return this->side; }
  const HostId& Peer() const { return this->peer; }
  void SetPeer(HostId aPeer) { this->peer = std::move(aPeer); }
  bool IsUp() const { return this->up && !this->closed; }
  bool IsSilent() const { return this->silent; }
  bool HasUnread() const
  {
    IoError error;
    return this->socket.is_open() && this->socket.available(error) > 0;
  }
  bool HasUnsent()
  {
    if (!this->IsUp()) {
      return false;
    }
    int unacknowledged = 0;
    ::ioctl(this->socket.native_handle(), SIOCOUTQ, &unacknowledged);
    return this->QueuedBytes() > 0 || unacknowledged > 0;
  }
  bool IsClosed() const { return this->closed; }

  void Connect(const TcpEndpoint& aEndpoint, Duration aTimeout)
  {
    this->silenceTimer.expires_after(aTimeout);
    this->StartSilenceTimer();
    auto self = this->shared_from_this();
    IoError ignored;
    this->socket.open(aEndpoint.protocol(), ignored);
    LimitReceiveBuffer(this->socket);
    this->socket.async_connect(aEndpoint, [self](const IoError& aError) {
      if (aError) {
        self->Close(aError.message());
      } else {
        self->Start();
      }
    });
  }

  // Starts reading, writing and sending keepalives on a connected socket.
  void Start()
  {
    if (this->closed) {
      return;
    }
    SetNoDelay(this->socket);
    LimitUnsent(this->socket);
    SetSendTimeout(this->socket, this->mesh.timing.silenceTimeout);
    this->up = true;
    this->RestartSilenceTimer();
    this->ReadNext();
    this->ScheduleKeepalive();
    if (this->side == LinkSide::Dialed) {
      this->SendKeepalive();
      this->mesh.OnLinkUp(this->shared_from_this());
    }
  }

  void Send(PeerMessage aMessage)
  {
    if (!this->IsUp()) {
      return;
    }
    const std::size_t bytes = FrameScheduler::BytesOf(aMessage);
    const std::size_t queued = this->QueuedBytes() + bytes;
    const bool tooMuch = this->QueuedBytes() > 0 && queued > this->MaxQueuedBytes(bytes);
    if (tooMuch || !this->queueMemory.TryResize(queued)) {
      // The peer would not notice the lost message. On a new connection it is sent its full state
      // again.
      LogEvent(LogLevel::Warning, "peer_message_dropped")
        .With("peer", this->peer)
        .With("bytes", bytes)
        .With("queued", this->QueuedBytes())
        .With("held", this->mesh.memory.Held())
        .With("limit", this->mesh.memory.Limit());
      this->CloseLater(tooMuch ? "the peer does not read" : "no memory to send");
      return;
    }
    this->scheduler.Push(std::move(aMessage));
    this->sentSinceKeepalive = true;
    this->WriteNext();
  }

  void Close(std::string aReason)
  {
    if (this->closed) {
      return;
    }
    this->closed = true;
    this->closeReason = std::move(aReason);
    IoError ignored;
    this->socket.close(ignored);
    this->keepaliveTimer.cancel();
    this->silenceTimer.cancel();
    this->memoryTimer.cancel();
    this->assembler.Clear();
    this->mesh.OnLinkDown(this->shared_from_this());
  }

  // Closes from the event loop, since the caller of Send() may be iterating over connections.
  void CloseLater(std::string aReason)
  {
    auto self = this->shared_from_this();
    asio::post(this->socket.get_executor(),
               [self, reason = std::move(aReason)]() mutable { self->Close(std::move(reason)); });
  }

  // Also tells the peer what this process understands.
  void SendKeepalive()
  {
    this->Send(PeerMessage{ Channel::Serving, GroupId(), "", MessageStream::Independent });
    this->sentSinceKeepalive = false;
  }

  bool WasUp() const { return this->up; }

  // Logs why the connection was closed and what was in transit on it.
  void LogDisconnect() const
  {
    LogEvent(LogLevel::Warning, "peer_lost")
      .With("peer", this->peer)
      .With("why", this->closeReason)
      .With("frame_bytes", this->body.size())
      .With("frame_read", this->bodyRead)
      .With("queued", this->QueuedBytes());
  }

  void AllowFragments() { this->scheduler.AllowFragments(); }

  Result<std::optional<Envelope>> Assemble(Envelope aEnvelope)
  {
    return this->assembler.Add(std::move(aEnvelope));
  }

private:
  // What waits or is being written.
  std::size_t QueuedBytes() const { return this->scheduler.QueuedBytes() + this->outgoing.size(); }

  std::size_t MaxQueuedBytes(std::size_t aAdded) const
  {
    const std::size_t largest =
      std::max({ aAdded, this->scheduler.LargestBytes(), this->outgoing.size() });
    return std::max(kMaxQueuedBytes, largest + kMaxBytesBesideLarge);
  }

  void RestartSilenceTimer()
  {
    this->silenceTimer.expires_after(this->mesh.timing.silenceTimeout);
    this->StartSilenceTimer();
  }

  void OnReceived()
  {
    this->silent = false;
    this->RestartSilenceTimer();
  }

  // A process that stands still is silent although its machine acknowledges what it is sent.
  void OnSilence()
  {
    const bool isNamed = this->up && !this->peer.Empty();
    if (!isNamed || this->mesh.handler.OnPeerSilent(this->peer)) {
      this->Close("silence");
      return;
    }
    if (!std::exchange(this->silent, true)) {
      LogEvent(LogLevel::Info, "peer_silent").With("peer", this->peer);
    }
    this->RestartSilenceTimer();
  }

  void StartSilenceTimer()
  {
    auto self = this->shared_from_this();
    this->silenceTimer.async_wait([self](const IoError& aError) {
      // When the loop was late, the timer may have been restarted after it expired and before this
      // handler ran.
      const bool expired = self->silenceTimer.expiry() <= asio::steady_timer::clock_type::now();
      if (!aError && expired) {
        self->OnSilence();
      }
    });
  }

  void ScheduleKeepalive()
  {
    auto self = this->shared_from_this();
    this->keepaliveTimer.expires_after(this->mesh.timing.keepaliveInterval);
    this->keepaliveTimer.async_wait([self](const IoError& aError) {
      if (aError || self->closed) {
        return;
      }
      if (!std::exchange(self->sentSinceKeepalive, false)) {
        self->SendKeepalive();
      }
      self->ScheduleKeepalive();
    });
  }

  void ReadNext()
  {
    auto self = this->shared_from_this();
    asio::async_read(
      this->socket, asio::buffer(this->prefix), [self](const IoError& aError, std::size_t) {
        if (aError) {
          self->Close(aError.message());
        } else {
          self->OnReceived();
          self->BeginBody(0);
        }
      });
  }

  // Begins to read the body of a frame once there is memory for it. aChecks: how often there was
  // none.
  void BeginBody(int aChecks)
  {
    const std::size_t length = DecodeFrameLength(this->prefix);
    if (length > kMaxFrameBytes) {
      LogEvent(LogLevel::Warning, "peer_frame_too_large").With("bytes", length);
      this->Close("frame too large");
      return;
    }
    if (this->frameMemory.TryResize(kFrameCopies * (this->assembler.Bytes() + length))) {
      this->ReadBody(length);
      return;
    }
    if (aChecks >= kMaxMemoryChecks) {
      LogEvent(LogLevel::Warning, "peer_frame_refused")
        .With("peer", this->peer)
        .With("bytes", length)
        .With("held", this->mesh.memory.Held())
        .With("limit", this->mesh.memory.Limit());
      this->Close("no memory for a frame");
      return;
    }
    // The peer is not silent: this host does not read.
    this->RestartSilenceTimer();
    auto self = this->shared_from_this();
    this->memoryTimer.expires_after(kMemoryCheckInterval);
    this->memoryTimer.async_wait([self, aChecks](const IoError& aError) {
      if (!aError && !self->closed) {
        self->BeginBody(aChecks + 1);
      }
    });
  }

  void ReadBody(std::size_t aLength)
  {
    this->body.resize(aLength);
    auto self = this->shared_from_this();
    const auto remaining = [self](const IoError& aError, std::size_t aRead) {
      // A peer is alive while its message is arriving: on a shared link of 10 Mbit/s a message of a
      // megabyte takes longer than the timeout.
      if (aRead > self->bodyRead) {
        self->OnReceived();
      }
      self->bodyRead = aRead;
      return aError ? 0 : self->body.size() - aRead;
    };
    asio::async_read(this->socket,
                     asio::buffer(this->body),
                     remaining,
                     [self](const IoError& aError, std::size_t) {
                       if (aError) {
                         self->Close(aError.message());
                         return;
                       }
                       self->OnReceived();
                       self->bodyRead = 0;
                       self->mesh.OnFrame(self, std::exchange(self->body, {}));
                       self->frameMemory.TryResize(kFrameCopies * self->assembler.Bytes());
                       if (!self->closed) {
                         self->ReadNext();
                       }
                     });
  }

  void WriteNext()
  {
    if (this->writing || this->scheduler.QueuedBytes() == 0 || this->closed) {
      return;
    }
    this->writing = true;
    this->outgoing = this->scheduler.Next(kWriteBytes);
    auto self = this->shared_from_this();
    asio::async_write(
      this->socket, asio::buffer(this->outgoing), [self](const IoError& aError, std::size_t) {
        self->writing = false;
        FreeText(self->outgoing);
        self->queueMemory.TryResize(self->scheduler.QueuedBytes());
        if (aError) {
          self->Close(aError.message());
        } else {
          self->WriteNext();
        }
      });
  }

  PeerMesh& mesh;
  TcpSocket socket;
  asio::steady_timer keepaliveTimer;
  asio::steady_timer silenceTimer;
  asio::steady_timer memoryTimer;
  LinkSide side;
  HostId peer;
  bool up = false;
  bool closed = false;
  // Nothing has arrived for the silence timeout.
  bool silent = false;
  std::string closeReason;
  bool writing = false;
  bool sentSinceKeepalive = false;
  FramePrefix prefix{};
  std::string body;
  // Bytes of the body that have arrived.
  std::size_t bodyRead = 0;
  // What is being written.
  std::string outgoing;
  FrameScheduler scheduler;
  FragmentAssembler assembler;
  // What the queue and the frame that is being read count.
  MemoryReservation queueMemory;
  MemoryReservation frameMemory;
};

PeerMesh::PeerMesh(asio::io_context& aContext,
                   HostId aSelf,
                   std::uint16_t aPort,
                   MemoryBudget& aMemory,
                   PeerMeshHandler& aHandler,
                   PeerMeshTiming aTiming)
  : context(aContext)
  , self(std::move(aSelf))
  , port(aPort)
  , memory(aMemory)
  , handler(aHandler)
  , timing(aTiming)
{
}

PeerMesh::~PeerMesh()
{
  this->Stop();
}

Result<void>
PeerMesh::Listen()
{
  auto opened = ListenOn(this->context, Endpoint{ this->self.Value(), this->port });
  if (!opened) {
    return Fail(opened.error());
  }
  this->acceptor = std::make_unique<TcpAcceptor>(std::move(opened.value()));
  this->Accept();
  return Success();
}

void
PeerMesh::Accept()
{
  this->acceptor->async_accept([this](const IoError& aError, TcpSocket aSocket) {
    if (aError == asio::error::operation_aborted || this->stopped) {
      return;
    }
    if (!aError) {
      auto link = std::make_shared<Link>(*this, std::move(aSocket), LinkSide::Accepted);
      std::erase_if(this->unnamed, [](const auto& aLink) { return aLink.expired(); });
      this->unnamed.push_back(link);
      link->Start();
    }
    this->Accept();
  });
}

void
PeerMesh::Dial(const HostId& aPeer)
{
  if (aPeer == this->self || this->stopped || this->dialed.contains(aPeer)) {
    return;
  }
  this->dialed[aPeer] = nullptr;
  this->backoffs.insert_or_assign(aPeer, DialBackoff(this->timing.dial));
  this->Connect(aPeer);
}

void
PeerMesh::Connect(const HostId& aPeer)
{
  const auto found = this->dialed.find(aPeer);
  if (found == this->dialed.end() || found->second != nullptr || this->stopped) {
    return;
  }
  auto link = std::make_shared<Link>(*this, TcpSocket(this->context), LinkSide::Dialed);
  link->SetPeer(aPeer);
  found->second = link;
  link->Connect(ToTcpEndpoint(Endpoint{ aPeer.Value(), this->port }),
                this->backoffs.at(aPeer).ConnectTimeout());
}

void
PeerMesh::Disconnect(const HostId& aPeer)
{
  const auto found = this->dialed.find(aPeer);
  if (found == this->dialed.end()) {
    return;
  }
  const std::shared_ptr<Link> link = std::move(found->second);
  this->dialed.erase(found);
  this->backoffs.erase(aPeer);
  if (link != nullptr) {
    link->Close("disconnected by this host");
  }
}

bool
PeerMesh::IsUp(const HostId& aPeer) const
{
  for (const auto* links : { &this->dialed, &this->accepted }) {
    const auto found = links->find(aPeer);
    if (found != links->end() && found->second != nullptr && found->second->IsUp() &&
        !found->second->IsSilent()) {
      return true;
    }
  }
  return false;
}

bool
PeerMesh::HasUnread(const HostId& aPeer) const
{
  for (const auto* links : { &this->dialed, &this->accepted }) {
    const auto found = links->find(aPeer);
    if (found != links->end() && found->second != nullptr && found->second->HasUnread()) {
      return true;
    }
  }
  return false;
}

bool
PeerMesh::HasUnsent() const
{
  for (const auto* links : { &this->dialed, &this->accepted }) {
    const bool unsent = std::any_of(links->begin(), links->end(), [](const auto& aItem) {
      return aItem.second != nullptr && aItem.second->HasUnsent();
    });
    if (unsent) {
      return true;
    }
  }
  return false;
}

void
PeerMesh::Send(const HostId& aTo, PeerMessage aMessage)
{
  for (auto* links : { &this->dialed, &this->accepted }) {
    const auto found = links->find(aTo);
    if (found == links->end() || found->second == nullptr || !found->second->IsUp()) {
      continue;
    }
    found->second->Send(std::move(aMessage));
    return;
  }
}

void
PeerMesh::Stop()
{
  if (std::exchange(this->stopped, true)) {
    return;
  }
  if (this->acceptor != nullptr) {
    IoError ignored;
    this->acceptor->close(ignored);
  }
  std::vector<std::shared_ptr<Link>> links;
  for (auto* side : { &this->dialed, &this->accepted }) {
    for (auto& [peer, link] : *side) {
      links.push_back(std::move(link));
    }
    side->clear();
  }
  for (const std::weak_ptr<Link>& link : this->unnamed) {
    links.push_back(link.lock());
  }
  for (const std::shared_ptr<Link>& link : links) {
    if (link != nullptr) {
      link->Close("this host is shutting down");
    }
  }
}

void
PeerMesh::OnLinkUp(const std::shared_ptr<Link>& aLink)
{
  LogEvent(LogLevel::Info, "peer_connected").With("peer", aLink->Peer());
  this->handler.OnPeerUp(aLink->Peer(), aLink->Side());
}

void
PeerMesh::OnLinkDown(const std::shared_ptr<Link>& aLink)
{
  if (this->stopped) {
    return;
  }
  const HostId peer = aLink->Peer();
  auto& links = aLink->Side() == LinkSide::Dialed ? this->dialed : this->accepted;
  const auto found = links.find(peer);
  if (found != links.end() && found->second == aLink) {
    if (aLink->Side() == LinkSide::Accepted) {
      links.erase(found);
    } else {
      found->second = nullptr;
      DialBackoff& backoff = this->backoffs.at(peer);
      if (aLink->WasUp()) {
        backoff.OnUp();
      } else {
        backoff.OnFailed();
      }
      auto timer = std::make_shared<asio::steady_timer>(this->context, backoff.RetryDelay());
      timer->async_wait([this, peer, timer](const IoError& aError) {
        if (!aError) {
          this->Connect(peer);
        }
      });
    }
  }
  if (aLink->WasUp() && !peer.Empty()) {
    aLink->LogDisconnect();
    this->handler.OnPeerDown(peer, aLink->Side());
  }
}

void
PeerMesh::OnFrame(const std::shared_ptr<Link>& aLink, std::string aFrame)
{
  auto envelope = DecodeEnvelope(aFrame);
  FreeText(aFrame);
  if (!envelope) {
    LogEvent(LogLevel::Warning, "peer_frame_refused").With("error", envelope.error());
    aLink->Close("unreadable frame");
    return;
  }
  Envelope& decoded = envelope.value();
  if (aLink->Peer().Empty()) {
    aLink->SetPeer(decoded.from);
    // A peer that connects again has lost its earlier connection, even if that is not visible here.
    const auto earlier = this->accepted.find(decoded.from);
    if (earlier != this->accepted.end()) {
      const std::shared_ptr<Link> old = earlier->second;
      old->Close("the peer reconnected");
    }
    this->accepted[decoded.from] = aLink;
    aLink->SendKeepalive();
    this->OnLinkUp(aLink);
  }
  if (decoded.takesFragments) {
    aLink->AllowFragments();
  }
  if (decoded.payload.empty()) {
    return;
  }
  auto assembled = aLink->Assemble(std::move(decoded));
  if (!assembled) {
    LogEvent(LogLevel::Warning, "peer_frame_refused").With("error", assembled.error());
    aLink->Close("unreadable frame");
    return;
  }
  if (!assembled.value()) {
    return;
  }
  Envelope& whole = *assembled.value();
  PeerMessage message;
  message.channel = static_cast<Channel>(whole.channel);
  message.group = std::move(whole.group);
  message.payload = std::move(whole.payload);
  this->handler.OnPeerMessage(aLink->Peer(), std::move(message));
}

} // namespace damasklink
