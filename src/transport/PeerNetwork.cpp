#include "damasklink/transport/PeerNetwork.h"

#include <array>
#include <deque>
#include <map>
#include <thread>

#include <boost/asio.hpp>

#include "damasklink/protocol/Envelope.h"
#include "damasklink/state/Text.h"
#include "damasklink/transport/FrameCodec.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr std::size_t kMaxQueuedBytes = 64 * kMebibyte;
constexpr Duration kReconnectDelay = std::chrono::milliseconds(200);

Tcp::endpoint
AsioEndpoint(const Endpoint& aEndpoint)
{
  return Tcp::endpoint(asio::ip::make_address(aEndpoint.address), aEndpoint.port);
}

// Reads frames from one accepted connection. Its pending read keeps the object alive.
class IncomingLink : public std::enable_shared_from_this<IncomingLink>
{
public:
  IncomingLink(Tcp::socket aSocket, Metrics& aMetrics, const PeerNetwork::Handler& aHandler)
    : socket(std::move(aSocket))
    , metrics(aMetrics)
    , handler(aHandler)
  {
  }

  void ReadNext()
  {
    auto self = this->shared_from_this();
    asio::async_read(
      this->socket, asio::buffer(this->prefix), [self](const ErrorCode& aError, std::size_t) {
        if (!aError) {
          self->ReadBody();
        }
      });
  }

private:
  void ReadBody()
  {
    const std::size_t length = DecodeFrameLength(this->prefix);
    if (length > kMaxFrameBytes) {
      LogEvent(LogLevel::Warning, "peer_frame_too_large").With("bytes", length);
      return;
    }
    this->body.resize(length);
    auto self = this->shared_from_this();
    asio::async_read(
      this->socket, asio::buffer(this->body), [self](const ErrorCode& aError, std::size_t) {
        if (!aError && self->Deliver()) {
          self->ReadNext();
        }
      });
  }

  bool Deliver()
  {
    auto envelope = DecodeEnvelope(this->body);
    if (!envelope) {
      LogEvent(LogLevel::Warning, "peer_frame_refused").With("error", envelope.error());
      return false;
    }
    Envelope& decoded = envelope.value();
    PeerMessage message;
    message.channel = static_cast<Channel>(decoded.channel);
    message.group = std::move(decoded.group);
    message.payload = std::move(decoded.payload);
    this->metrics.Add(Counter::PeerBytesIn,
                      MetricKey{ WorkspaceId(), std::string(ChannelName(message.channel)) },
                      this->body.size() + kFramePrefixBytes);
    this->handler(std::move(decoded.from), std::move(message));
    return true;
  }

  Tcp::socket socket;
  Metrics& metrics;
  const PeerNetwork::Handler& handler;
  FramePrefix prefix{};
  std::string body;
};

// Maintains one connection to a peer and writes queued frames to it. Used on the network's thread
// only.
class OutgoingLink
{
public:
  OutgoingLink(asio::io_context& aContext, HostId aPeer, Endpoint aEndpoint)
    : socket(aContext)
    , timer(aContext)
    , peer(std::move(aPeer))
    , endpoint(std::move(aEndpoint))
  {
  }

  void Send(std::string aFrame)
  {
    if (this->queuedBytes + aFrame.size() > kMaxQueuedBytes) {
      LogEvent(LogLevel::Warning, "peer_message_dropped")
        .With("peer", this->peer)
        .With("bytes", aFrame.size())
        .With("queued", this->queuedBytes);
      return;
    }
    if (!this->connected && !this->connecting) {
      this->Connect();
    }
    this->queuedBytes += aFrame.size();
    this->queue.push_back(std::move(aFrame));
    this->WriteNext();
  }

private:
  void Connect()
  {
    this->connecting = true;
    this->socket.async_connect(AsioEndpoint(this->endpoint), [this](const ErrorCode& aError) {
      this->connecting = false;
      if (aError) {
        this->OnConnectionLost();
        return;
      }
      this->connected = true;
      ErrorCode ignored;
      this->socket.set_option(Tcp::no_delay(true), ignored);
      this->WriteNext();
    });
  }

  void WriteNext()
  {
    if (!this->connected || this->writing || this->queue.empty()) {
      return;
    }
    this->writing = true;
    this->prefix = EncodeFrameLength(this->queue.front().size());
    const std::array<asio::const_buffer, 2> buffers{ asio::buffer(this->prefix),
                                                     asio::buffer(this->queue.front()) };
    asio::async_write(this->socket, buffers, [this](const ErrorCode& aError, std::size_t) {
      this->writing = false;
      if (aError) {
        this->OnConnectionLost();
        return;
      }
      this->queuedBytes -= this->queue.front().size();
      this->queue.pop_front();
      this->WriteNext();
    });
  }

  // Drops the queue: the protocols above resend what still matters, and messages from before a long
  // outage are of no use.
  void OnConnectionLost()
  {
    ErrorCode ignored;
    this->socket.close(ignored);
    if (std::exchange(this->connected, false) && this->queuedBytes > 0) {
      LogEvent(LogLevel::Info, "peer_queue_dropped")
        .With("peer", this->peer)
        .With("messages", this->queue.size())
        .With("bytes", this->queuedBytes);
    }
    this->queue.clear();
    this->queuedBytes = 0;
    // Delays the next attempt.
    this->connecting = true;
    this->timer.expires_after(kReconnectDelay);
    this->timer.async_wait([this](const ErrorCode& aError) {
      if (!aError) {
        this->connecting = false;
      }
    });
  }

  Tcp::socket socket;
  asio::steady_timer timer;
  HostId peer;
  Endpoint endpoint;
  bool connected = false;
  bool connecting = false;
  bool writing = false;
  FramePrefix prefix{};
  std::deque<std::string> queue;
  std::size_t queuedBytes = 0;
};

} // namespace

class PeerNetwork::Impl
{
public:
  Impl(const HostSettings& aSettings, Metrics& aMetrics, Handler aHandler)
    : self(aSettings.host)
    , metrics(aMetrics)
    , listenOn(aSettings.listen.peers)
    , handler(std::move(aHandler))
    , acceptor(this->context)
    , work(asio::make_work_guard(this->context))
  {
    for (const PeerSettings& peer : aSettings.peers) {
      if (peer.host != this->self) {
        this->links.emplace(peer.host,
                            std::make_unique<OutgoingLink>(this->context, peer.host, peer.peers));
      }
    }
  }

  Result<void> Listen()
  {
    ErrorCode code;
    const Tcp::endpoint endpoint = AsioEndpoint(this->listenOn);
    this->acceptor.open(endpoint.protocol(), code);
    this->acceptor.set_option(Tcp::acceptor::reuse_address(true), code);
    this->acceptor.bind(endpoint, code);
    if (!code) {
      this->acceptor.listen(asio::socket_base::max_listen_connections, code);
    }
    if (code) {
      return Fail(ErrorKind::Unavailable,
                  Concat("cannot listen on ", FormatEndpoint(this->listenOn)),
                  "end the process that holds the address, or choose another");
    }
    return Success();
  }

  void AcceptNext()
  {
    this->acceptor.async_accept([this](const ErrorCode& aError, Tcp::socket aSocket) {
      if (!aError) {
        std::make_shared<IncomingLink>(std::move(aSocket), this->metrics, this->handler)
          ->ReadNext();
      }
      if (aError != asio::error::operation_aborted) {
        this->AcceptNext();
      }
    });
  }

  HostId self;
  Metrics& metrics;
  Endpoint listenOn;
  Handler handler;
  asio::io_context context;
  Tcp::acceptor acceptor;
  asio::executor_work_guard<asio::io_context::executor_type> work;
  std::map<HostId, std::unique_ptr<OutgoingLink>> links;
  std::thread thread;
};

std::string_view
ChannelName(Channel aChannel)
{
  switch (aChannel) {
    case Channel::Membership:
      return "membership";
    case Channel::Targets:
      return "targets";
    case Channel::Agreement:
      return "agreement";
    case Channel::Configuration:
      return "configuration";
    case Channel::Claims:
      return "claims";
    case Channel::Stores:
      return "stores";
    case Channel::Admission:
      return "admission";
    case Channel::Serving:
      return "serving";
    case Channel::Forwarding:
      return "forwarding";
  }
  return "unknown";
}

PeerNetwork::PeerNetwork(const HostSettings& aSettings, Metrics& aMetrics, Handler aHandler)
  : impl(std::make_unique<Impl>(aSettings, aMetrics, std::move(aHandler)))
{
}

PeerNetwork::~PeerNetwork()
{
  this->Stop();
}

Result<void>
PeerNetwork::Start()
{
  if (auto listening = this->impl->Listen(); !listening) {
    return Fail(listening.error());
  }
  this->impl->AcceptNext();
  this->impl->thread = std::thread([this] { this->impl->context.run(); });
  return Success();
}

void
PeerNetwork::Stop()
{
  this->impl->context.stop();
  if (this->impl->thread.joinable()) {
    this->impl->thread.join();
  }
}

void
PeerNetwork::Send(const HostId& aTo, PeerMessage aMessage)
{
  const auto found = this->impl->links.find(aTo);
  if (found == this->impl->links.end()) {
    return;
  }
  Envelope envelope;
  envelope.from = this->impl->self;
  envelope.channel = static_cast<std::uint8_t>(aMessage.channel);
  envelope.group = std::move(aMessage.group);
  envelope.payload = std::move(aMessage.payload);
  std::string frame = EncodeEnvelope(envelope);
  this->impl->metrics.Add(Counter::PeerBytesOut,
                          MetricKey{ WorkspaceId(), std::string(ChannelName(aMessage.channel)) },
                          frame.size() + kFramePrefixBytes);
  asio::post(this->impl->context, [link = found->second.get(), frame = std::move(frame)]() mutable {
    link->Send(std::move(frame));
  });
}

} // namespace damasklink
