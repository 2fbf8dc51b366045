#include "damasklink/transport/TargetConnection.h"

#include <algorithm>
#include <array>

#include "BeastText.h"
#include "damasklink/state/Text.h"

namespace damasklink {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;

using ResponseParser = http::response_parser<http::buffer_body>;

constexpr std::size_t kChunkBytes = std::size_t{ 16 } * 1024;
constexpr std::uint64_t kMaxResponseBytes = std::uint64_t{ 1 } << 30U;
constexpr std::uint32_t kMaxHeadBytes = 64 * 1024;

// Also bounds the extension of a chunk, and trailers.
constexpr std::size_t kMaxBufferBytes = kMaxHeadBytes + kChunkBytes;

// Lower ones are those of interim responses.
constexpr unsigned kMinFinalStatus = 200;

// Interim (1xx) heads before a response. A sound target sends one or two.
constexpr int kMaxInterimHeads = 8;

// An isolated target or one without power acknowledges nothing. The timeout is longer than a sound
// target may be silent, so that the requests in progress there survive that; the system call also
// makes it the limit for keepalive probes.
constexpr Duration kSendTimeout = std::chrono::milliseconds(2500);

// Assumed idle timeout of targets that send none in Keep-Alive.
constexpr Duration kDefaultIdleTimeout = std::chrono::seconds(4);
// A connection is not reused this long before its idle timeout, so that a request is not sent while
// the target closes it.
constexpr Duration kIdleMargin = std::chrono::milliseconds(700);

auto
ReadFailure(const IoError& aError)
{
  if (internal::IsMalformed(aError)) {
    return Fail(ErrorKind::Corrupt,
                Concat("the target's bytes are not an HTTP response: ", aError.message()),
                "check the target's log");
  }
  if (aError == asio::error::timed_out) {
    return Fail(ErrorKind::DeadlineExceeded,
                "the target did not acknowledge what was sent",
                "check that the target runs and is reachable");
  }
  return Fail(ErrorKind::Interrupted,
              Concat("the connection to the target failed: ", aError.message()),
              "check the target's log");
}

} // namespace

class TargetConnection::Impl
{
public:
  explicit Impl(const asio::any_io_executor& aExecutor)
    : socket(aExecutor)
  {
  }

  TcpSocket socket;
  beast::flat_buffer buffer{ kMaxBufferBytes };
  std::optional<ResponseParser> parser;
  // Where the body is read to; empty while the connection is idle.
  std::string chunk;
  // Whether the response has no body, because the request was HEAD.
  bool bodyless = false;
  bool sending = false;
  // Why a request could not be sent, if reads can't tell it any more: the write took the socket's
  // error, and the end that reads find is none that the target sent.
  std::optional<IoError> lostWhileSending;
  bool broken = false;
  // Whether the target closes the connection after the response.
  bool closes = false;
};

TargetConnection::TargetConnection(const asio::any_io_executor& aExecutor, const Clock& aClock)
  : clock(aClock)
  , impl(std::make_unique<Impl>(aExecutor))
{
}

TargetConnection::~TargetConnection() = default;

Awaitable<Result<void>>
TargetConnection::Connect(const Endpoint& aEndpoint, Duration aTimeout)
{
  bool timedOut = false;
  Watchdog watchdog(this->impl->socket.get_executor(), [this, &timedOut] {
    timedOut = true;
    this->Close();
  });
  watchdog.Arm(aTimeout);
  IoError ignored;
  this->impl->socket.open(asio::ip::tcp::v4(), ignored);
  LimitReceiveBuffer(this->impl->socket);
  const auto [error] =
    co_await this->impl->socket.async_connect(ToTcpEndpoint(aEndpoint), kAsValue);
  watchdog.Disarm();
  if (error || timedOut) {
    const std::string reason = timedOut ? std::string("timed out") : error.message();
    const bool refused = error == asio::error::connection_refused;
    co_return Fail(refused ? ErrorKind::NotFound : ErrorKind::Unavailable,
                   Concat("cannot connect to ", FormatEndpoint(aEndpoint), ": ", reason),
                   "check that the target runs and is reachable");
  }
  SetNoDelay(this->impl->socket);
  SetSendTimeout(this->impl->socket, kSendTimeout);
  co_return Success();
}

Awaitable<bool>
TargetConnection::StaysOpen(Duration aFor)
{
  TcpSocket& socket = this->impl->socket;
  bool timedOut = false;
  Watchdog watchdog(socket.get_executor(), [&socket, &timedOut] {
    timedOut = true;
    IoError ignored;
    socket.cancel(ignored);
  });
  watchdog.Arm(aFor);
  const auto [waited] = co_await socket.async_wait(TcpSocket::wait_read, kAsValue);
  watchdog.Disarm();
  if (timedOut) {
    co_return true;
  }
  if (waited) {
    co_return false;
  }
  char byte = 0;
  IoError error;
  socket.non_blocking(true, error);
  const std::size_t count = socket.receive(asio::buffer(&byte, 1), TcpSocket::message_peek, error);
  co_return count > 0 || error == asio::error::would_block;
}

Awaitable<Result<void>>
TargetConnection::Send(const HttpRequestHead& aHead, std::string_view aBody)
{
  Impl& connection = *this->impl;
  connection.bodyless = aHead.method == "HEAD";
  const std::string head = FormatRequestHead(aHead, aBody.size());
  const std::array<asio::const_buffer, 2> buffers{ asio::buffer(head), asio::buffer(aBody) };
  connection.sending = true;
  const auto [error, bytes] = co_await asio::async_write(connection.socket, buffers, kAsValue);
  connection.sending = false;
  if (error) {
    connection.broken = true;
    // The system reports a broken pipe if the target had ended its side before.
    if (error != asio::error::broken_pipe) {
      connection.lostWhileSending = error;
    }
    co_return ReadFailure(error);
  }
  co_return Success();
}

Awaitable<Result<HttpResponseHead>>
TargetConnection::ReadHead()
{
  Impl& connection = *this->impl;
  // Without it the library reads half a kilobyte at a time.
  connection.buffer.reserve(kChunkBytes);
  for (int heads = 0; heads <= kMaxInterimHeads; ++heads) {
    connection.parser.emplace();
    connection.parser->header_limit(kMaxHeadBytes);
    connection.parser->body_limit(kMaxResponseBytes);
    connection.parser->skip(connection.bodyless);
    const auto [error, bytes] = co_await http::async_read_header(
      connection.socket, connection.buffer, *connection.parser, kAsValue);
    if (error) {
      connection.broken = true;
      co_return ReadFailure(error);
    }
    const unsigned status = connection.parser->get().result_int();
    if (!internal::IsHttpStatus(status)) {
      connection.broken = true;
      co_return Fail(ErrorKind::Corrupt,
                     Concat("the target's response has the status ", status, ", which HTTP lacks"),
                     "check the target's log");
    }
    if (status >= kMinFinalStatus) {
      co_return this->TakeHead();
    }
  }
  connection.broken = true;
  co_return Fail(
    ErrorKind::Corrupt, "the target sent interim responses only", "check the target's log");
}

HttpResponseHead
TargetConnection::TakeHead()
{
  Impl& connection = *this->impl;
  const auto& message = connection.parser->get();
  HttpResponseHead head;
  head.status = static_cast<int>(message.result_int());
  for (const auto& field : message) {
    head.fields.Add(internal::TextOf(field.name_string()), internal::TextOf(field.value()));
  }
  connection.closes = !connection.parser->keep_alive();
  const auto seconds = KeepAliveSeconds(head.fields);
  const Duration kept = seconds ? Duration(std::chrono::seconds(*seconds)) : kDefaultIdleTimeout;
  this->idleUntil = this->clock.MonotonicNow() + kept - kIdleMargin;
  return head;
}

Awaitable<Result<std::optional<std::string_view>>>
TargetConnection::ReadChunk()
{
  Impl& connection = *this->impl;
  connection.chunk.resize(kChunkBytes);
  while (!connection.parser->is_done()) {
    auto& body = connection.parser->get().body();
    body.data = connection.chunk.data();
    body.size = connection.chunk.size();
    body.more = true;
    const auto [error, bytes] = co_await http::async_read_some(
      connection.socket, connection.buffer, *connection.parser, kAsValue);
    const bool isFull = error == http::error::need_buffer;
    if (error && !isFull) {
      connection.broken = true;
      co_return ReadFailure(error);
    }
    const std::size_t length = connection.chunk.size() - connection.parser->get().body().size;
    if (length > 0) {
      co_return std::optional(std::string_view(connection.chunk.data(), length));
    }
  }
  if (connection.parser->need_eof() && connection.lostWhileSending) {
    co_return ReadFailure(*connection.lostWhileSending);
  }
  co_return std::optional<std::string_view>();
}

Awaitable<Result<void>>
TargetConnection::ReadRest(CountedBuffer& aTo,
                           std::size_t aMaxBytes,
                           std::function<void()> aOnChunk)
{
  while (true) {
    const auto chunk = co_await this->ReadChunk();
    if (!chunk) {
      co_return Fail(chunk.error());
    }
    if (!chunk.value()) {
      co_return Success();
    }
    const bool fits = aTo.Size() + chunk.value()->size() <= aMaxBytes;
    if (!fits || !aTo.Append(*chunk.value())) {
      this->impl->broken = true;
      co_return Fail(ErrorKind::Overloaded,
                     fits ? "there is no memory for the response" : "the response is too long",
                     "check the target's log, and the memory of this host");
    }
    if (aOnChunk) {
      aOnChunk();
    }
  }
}

Awaitable<Result<void>>
TargetConnection::Discard(std::size_t aMaxBytes)
{
  std::size_t discarded = 0;
  while (true) {
    const auto chunk = co_await this->ReadChunk();
    if (!chunk) {
      co_return Fail(chunk.error());
    }
    if (!chunk.value()) {
      co_return Success();
    }
    discarded += chunk.value()->size();
    if (discarded > aMaxBytes) {
      this->impl->broken = true;
      co_return Fail(ErrorKind::Overloaded,
                     "the target's response is too long to be skipped",
                     "check the target's log");
    }
  }
}

std::optional<std::uint64_t>
TargetConnection::BodyLength() const
{
  const auto length = this->impl->parser->content_length();
  return length && !this->impl->bodyless ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

void
TargetConnection::ReleaseBuffers()
{
  this->impl->buffer.shrink_to_fit();
  FreeText(this->impl->chunk);
}

bool
TargetConnection::IsReusable() const
{
  const Impl& connection = *this->impl;
  const bool complete = connection.parser && connection.parser->is_done() && !connection.sending;
  return complete && !connection.broken && !connection.closes && connection.socket.is_open();
}

bool
TargetConnection::IsClean()
{
  Impl& connection = *this->impl;
  if (!connection.socket.is_open() || connection.buffer.size() > 0) {
    return false;
  }
  char byte = 0;
  IoError error;
  connection.socket.non_blocking(true, error);
  connection.socket.receive(asio::buffer(&byte, 1), TcpSocket::message_peek, error);
  return error == asio::error::would_block;
}

void
TargetConnection::Close()
{
  IoError ignored;
  this->impl->broken = true;
  this->impl->socket.close(ignored);
}

std::unique_ptr<TargetConnection>
TargetConnectionPool::TakeIdle(const Endpoint& aEndpoint)
{
  const auto found = this->idle.find(FormatEndpoint(aEndpoint));
  if (found == this->idle.end()) {
    return nullptr;
  }
  auto& connections = found->second;
  while (!connections.empty()) {
    std::unique_ptr<TargetConnection> connection = std::move(connections.back());
    connections.pop_back();
    if (this->clock.MonotonicNow() < connection->IdleUntil() && connection->IsClean()) {
      return connection;
    }
  }
  return nullptr;
}

bool
TargetConnectionPool::HasIdle(const Endpoint& aEndpoint) const
{
  const auto found = this->idle.find(FormatEndpoint(aEndpoint));
  if (found == this->idle.end()) {
    return false;
  }
  const MonotonicTime now = this->clock.MonotonicNow();
  return std::any_of(found->second.begin(), found->second.end(), [now](const auto& aConnection) {
    return now < aConnection->IdleUntil();
  });
}

void
TargetConnectionPool::Keep(const Endpoint& aEndpoint, std::unique_ptr<TargetConnection> aConnection)
{
  if (!aConnection->IsReusable() || this->clock.MonotonicNow() >= aConnection->IdleUntil()) {
    return;
  }
  aConnection->ReleaseBuffers();
  auto& connections = this->idle[FormatEndpoint(aEndpoint)];
  connections.push_back(std::move(aConnection));
  if (connections.size() > kMaxIdle) {
    connections.pop_front();
  }
}

void
TargetConnectionPool::CloseExpired()
{
  const MonotonicTime now = this->clock.MonotonicNow();
  for (auto& [endpoint, connections] : this->idle) {
    std::erase_if(connections,
                  [&](const auto& aConnection) { return aConnection->IdleUntil() <= now; });
  }
  absl::erase_if(this->idle, [](const auto& aItem) { return aItem.second.empty(); });
}

} // namespace damasklink
