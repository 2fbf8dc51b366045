#include "damasklink/transport/CallerConnection.h"

#include <algorithm>
#include <array>

#include "BeastText.h"
#include "damasklink/state/Text.h"

namespace damasklink {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;

// A write fails when the caller reads nothing for this long, since a stream occupies a slot of its
// target meanwhile.
constexpr Duration kWriteTimeout = std::chrono::seconds(10);

// Bytes per write, after which the write timeout begins again. The same as the library's default.
constexpr std::size_t kWriteBytes = std::size_t{ 64 } * 1024;

// Minimum buffer size for reading: usual request heads fit into one read.
constexpr std::size_t kReadBytes = 4096;

// Size of the buffer beyond the limit of the head. It bounds the extension of a chunk, too.
constexpr std::size_t kBufferMargin = std::size_t{ 64 } * 1024;

// A body without a stated length is given memory in steps: this much, then by this factor.
constexpr std::size_t kFirstBodyBytes = std::size_t{ 32 } * 1024;
constexpr std::size_t kBodyGrowth = 8;

// Maximum buffer size for reading a body.
constexpr std::size_t kBodyRead = std::size_t{ 16 } * 1024;

// Bytes by which the body in use grows within its memory.
constexpr std::size_t kBodyStep = std::size_t{ 64 } * 1024;

// What a request takes besides its body: its head, buffers and the state of its call.
constexpr std::size_t kRequestOverhead = std::size_t{ 32 } * 1024;

// How often a read whose timeout has passed is checked again, as long as bytes wait to be read.
constexpr Duration kRecheckInterval = std::chrono::milliseconds(20);

// Bytes that a lingering close drops before other connections have their turn.
constexpr std::size_t kDropBytes = std::size_t{ 64 } * 1024;

// Limits that do not change.
class FixedLimits final : public CallerLimitsSource
{
public:
  explicit FixedLimits(const CallerLimits& aLimits)
    : limits(aLimits)
  {
  }

  LimitsInForce Current() const override { return LimitsInForce{ this->limits, Revision() }; }

private:
  CallerLimits limits;
};

HttpRequestHead
HeadOf(const http::request<http::buffer_body>& aMessage)
{
  HttpRequestHead head;
  head.method = internal::TextOf(aMessage.method_string());
  head.target = internal::TextOf(aMessage.target());
  head.version = static_cast<int>(aMessage.version());
  for (const auto& field : aMessage) {
    head.fields.Add(internal::TextOf(field.name_string()), internal::TextOf(field.value()));
  }
  return head;
}

auto
ReadFailure(const IoError& aError, bool aTimedOut, bool aHasBegun)
{
  if (aTimedOut && aHasBegun) {
    return Fail(
      ErrorKind::DeadlineExceeded, "the request arrived too slowly", "send it without pauses");
  }
  if (aError == http::error::header_limit) {
    return Fail(
      ErrorKind::Overloaded, "the head of the request is too large", "send fewer headers");
  }
  if (aError == http::error::body_limit) {
    return Fail(
      ErrorKind::NotPermitted, "the body of the request is too large", "send a smaller body");
  }
  if (internal::IsMalformed(aError)) {
    return Fail(ErrorKind::InvalidArgument,
                Concat("the request cannot be read: ", aError.message()),
                "send HTTP/1.1 according to RFC 9112");
  }
  return Fail(ErrorKind::Interrupted, "the caller closed the connection", "");
}

} // namespace

std::string_view
ConnectionEndName(ConnectionEnd aEnd)
{
  switch (aEnd) {
    case ConnectionEnd::Answered:
      return "answered";
    case ConnectionEnd::CutOff:
      return "cut_off";
    case ConnectionEnd::NotTaken:
      return "not_taken";
    case ConnectionEnd::CallerClosed:
      return "caller_closed";
    case ConnectionEnd::HostClosed:
      return "host_closed";
    case ConnectionEnd::IdleTimeout:
      return "idle_timeout";
    case ConnectionEnd::TooSlow:
      return "too_slow";
    case ConnectionEnd::HeadTooLarge:
      return "head_too_large";
    case ConnectionEnd::BodyTooLarge:
      return "body_too_large";
    case ConnectionEnd::NoMemory:
      return "no_memory";
    case ConnectionEnd::Malformed:
      return "malformed";
  }
  return "unknown";
}

std::string_view
LingerEndName(LingerEnd aEnd)
{
  switch (aEnd) {
    case LingerEnd::NotBegun:
      return "not_begun";
    case LingerEnd::CallerClosed:
      return "caller_closed";
    case LingerEnd::TimeExceeded:
      return "time_exceeded";
    case LingerEnd::BytesExceeded:
      return "bytes_exceeded";
    case LingerEnd::TooMany:
      return "too_many";
  }
  return "unknown";
}

class CallerConnection::RequestParser : public http::request_parser<http::buffer_body>
{};

class CallerConnection::Impl
{
public:
  explicit Impl(TcpSocket aSocket)
    : socket(std::move(aSocket))
    , watchdog(this->socket.get_executor(), [this] { this->OnTimeout(); })
  {
  }

  void StartTimeout(Duration aTimeout)
  {
    this->timedOut = false;
    this->reading = false;
    this->watchdog.Arm(aTimeout);
  }

  // Like StartTimeout(), but bytes that have arrived in time are read even if the process stood
  // still meanwhile.
  void StartReadTimeout(Duration aTimeout)
  {
    this->StartTimeout(aTimeout);
    this->reading = true;
  }

  void OnTimeout()
  {
    IoError ignored;
    if (this->reading) {
      // An operation that has just ended cannot be cancelled, and another one may follow.
      this->watchdog.Arm(kRecheckInterval);
      if (this->socket.available(ignored) > 0) {
        return;
      }
    }
    this->timedOut = true;
    this->socket.cancel(ignored);
  }

  Awaitable<bool> Write(std::string_view aFirst, std::string_view aSecond = {})
  {
    this->StartTimeout(kWriteTimeout);
    const std::array<asio::const_buffer, 2> buffers{ asio::buffer(aFirst), asio::buffer(aSecond) };
    std::size_t written = 0;
    // Progress shows that the caller reads: a large response on a slow link may take longer than
    // the timeout.
    const auto more = [this, &written](const IoError& aError, std::size_t aWritten) {
      if (aWritten > written) {
        written = aWritten;
        this->StartTimeout(kWriteTimeout);
      }
      return aError ? 0 : kWriteBytes;
    };
    const auto [error, bytes] = co_await asio::async_write(this->socket, buffers, more, kAsValue);
    this->watchdog.Disarm();
    this->writeFailed = error && this->socket.is_open();
    co_return !error;
  }

  // Returns whether the other side has closed the connection and nothing is left to read.
  bool LooksClosed()
  {
    char byte = 0;
    IoError error;
    this->socket.non_blocking(true, error);
    this->socket.receive(asio::buffer(&byte, 1), TcpSocket::message_peek, error);
    // Readable bytes belong to the next request. The end of the stream or an error is a disconnect.
    return error && error != asio::error::would_block;
  }

  // Reads and drops bytes that have arrived. Returns how many.
  std::size_t Drop(IoError& aError)
  {
    std::array<char, kDropBytes> dropped;
    this->socket.non_blocking(true, aError);
    const std::size_t count = this->socket.receive(asio::buffer(dropped), 0, aError);
    if (aError == asio::error::would_block) {
      aError = IoError();
    }
    return count;
  }

  Awaitable<LingerEnd> DropUntilClosed(std::uint64_t aMostBytes)
  {
    while (!this->timedOut) {
      if (this->dropped > aMostBytes) {
        co_return LingerEnd::BytesExceeded;
      }
      auto [error] = co_await this->socket.async_wait(TcpSocket::wait_read, kAsValue);
      if (!error) {
        this->dropped += this->Drop(error);
      }
      if (error && !this->timedOut) {
        co_return LingerEnd::CallerClosed;
      }
    }
    co_return LingerEnd::TimeExceeded;
  }

  TcpSocket socket;
  Watchdog watchdog;
  bool timedOut = false;
  // Whether the timeout limits a read.
  bool reading = false;
  bool writeFailed = false;
  bool callerLeft = false;
  // Whether the response has no body, because the request was HEAD.
  bool bodyless = false;
  std::uint64_t dropped = 0;
  // Number of the current WatchForDisconnect(). Shared with its pending wait, which may end after
  // this object was destroyed.
  std::shared_ptr<std::uint64_t> watch = std::make_shared<std::uint64_t>(0);
  beast::flat_buffer buffer;
};

CallerConnection::CallerConnection(TcpSocket aSocket)
  : impl(std::make_unique<Impl>(std::move(aSocket)))
{
  SetNoDelay(this->impl->socket);
  SetSendTimeout(this->impl->socket, kWriteTimeout);
}

CallerConnection::~CallerConnection()
{
  ++*this->impl->watch;
}

// Waits until the caller sends something, for no longer than the idle timeout.
Awaitable<IoError>
CallerConnection::AwaitRequest(const CallerLimitsSource& aSource)
{
  Impl& connection = *this->impl;
  // An idle connection needs no memory but its socket.
  connection.buffer.shrink_to_fit();
  this->waitsWith = &aSource;
  connection.StartReadTimeout(aSource.Current().limits.idleTimeout);
  const auto [error] = co_await connection.socket.async_wait(TcpSocket::wait_read, kAsValue);
  connection.watchdog.Disarm();
  this->waitsWith = nullptr;
  co_return error;
}

Awaitable<bool>
CallerConnection::AwaitBytes(Duration aTimeout)
{
  Impl& connection = *this->impl;
  connection.StartReadTimeout(aTimeout);
  const auto [error] = co_await connection.socket.async_wait(TcpSocket::wait_read, kAsValue);
  connection.watchdog.Disarm();
  IoError failure = error;
  // Readable without any bytes: the caller has closed its side.
  co_return !failure && connection.socket.available(failure) > 0;
}

void
CallerConnection::OnLimitsChanged()
{
  if (this->waitsWith != nullptr) {
    this->impl->watchdog.ChangeDelay(this->waitsWith->Current().limits.idleTimeout);
  }
}

Awaitable<Result<HttpRequestMessage>>
CallerConnection::Read(const CallerLimits& aLimits, RequestMemory& aMemory)
{
  const FixedLimits source(aLimits);
  co_return co_await this->Read(source, aMemory);
}

Awaitable<Result<HttpRequestMessage>>
CallerConnection::Read(const CallerLimitsSource& aSource, RequestMemory& aMemory)
{
  Impl& connection = *this->impl;
  this->answered = false;
  if (connection.buffer.size() == 0) {
    const IoError waitError = co_await this->AwaitRequest(aSource);
    if (waitError) {
      this->NoteReadFailure(this->ReadEnd(waitError));
      co_return ReadFailure(waitError, connection.timedOut, false);
    }
  }
  this->idle = false;
  const LimitsInForce inForce = aSource.Current();
  const CallerLimits& limits = inForce.limits;
  this->limitsVersion = inForce.version;
  RequestParser parser;
  parser.header_limit(static_cast<std::uint32_t>(limits.headerBytes));
  parser.body_limit(limits.bodyBytes);
  connection.buffer.max_size(limits.headerBytes + kBufferMargin);
  connection.buffer.reserve(kReadBytes);
  connection.StartReadTimeout(limits.headerTimeout);
  const auto [headError, headBytes] =
    co_await http::async_read_header(connection.socket, connection.buffer, parser, kAsValue);
  connection.watchdog.Disarm();
  if (headError) {
    this->NoteReadFailure(this->ReadEnd(headError));
    co_return ReadFailure(headError, connection.timedOut, true);
  }
  HttpRequestMessage request;
  request.head = HeadOf(parser.get());
  connection.bodyless = request.head.method == "HEAD";
  if (auto framed = CheckFraming(request.head); !framed) {
    this->NoteReadFailure(ConnectionEnd::Malformed);
    co_return Fail(framed.error());
  }
  if (auto read = co_await this->ReadBody(parser, limits, aMemory, request); !read) {
    co_return Fail(read.error());
  }
  if (connection.buffer.size() == 0) {
    connection.buffer.shrink_to_fit();
  }
  co_return request;
}

// Memory for a body of stated length is reserved before any of it is read.
Awaitable<Result<void>>
CallerConnection::ReadBody(RequestParser& aParser,
                           const CallerLimits& aLimits,
                           RequestMemory& aMemory,
                           HttpRequestMessage& aTo)
{
  Impl& connection = *this->impl;
  std::string& body = aTo.body;
  const bool chunked = aParser.chunked();
  std::size_t capacity = chunked ? std::min<std::size_t>(kFirstBodyBytes, aLimits.bodyBytes)
                                 : aParser.content_length().value_or(0);
  auto reserved = co_await aMemory.Reserve(aTo.head, kRequestOverhead + capacity);
  if (!reserved) {
    this->NoteReadFailure(ConnectionEnd::NoMemory);
    co_return Fail(reserved.error());
  }
  aTo.memory = std::move(reserved.value());
  body.reserve(capacity);
  connection.buffer.reserve(std::clamp(capacity, kReadBytes, kBodyRead));
  std::size_t used = 0;
  while (!aParser.is_done()) {
    if (used == capacity && chunked && capacity < aLimits.bodyBytes) {
      capacity = std::min<std::size_t>(capacity * kBodyGrowth, aLimits.bodyBytes);
      // Both copies exist while the body is moved.
      auto larger = co_await aMemory.Reserve(aTo.head, kRequestOverhead + capacity);
      if (!larger) {
        this->NoteReadFailure(ConnectionEnd::NoMemory);
        co_return Fail(larger.error());
      }
      body.reserve(capacity);
      aTo.memory = std::move(larger.value());
    }
    if (used == body.size()) {
      body.resize(std::min(used + kBodyStep, capacity));
    }
    auto& target = aParser.get().body();
    target.data = body.data() + used;
    target.size = body.size() - used;
    target.more = true;
    // The timeout begins again with each chunk: a caller that is sending its body is not idle.
    connection.StartReadTimeout(aLimits.idleTimeout);
    const auto [error, bytes] =
      co_await http::async_read_some(connection.socket, connection.buffer, aParser, kAsValue);
    connection.watchdog.Disarm();
    if (error && error != http::error::need_buffer) {
      this->NoteReadFailure(this->ReadEnd(error));
      co_return ReadFailure(error, connection.timedOut, true);
    }
    used = body.size() - aParser.get().body().size;
  }
  body.resize(used);
  if (capacity <= kFirstBodyBytes) {
    body.shrink_to_fit();
  }
  aTo.memory.TryResize(kRequestOverhead + used);
  co_return Success();
}

Awaitable<bool>
CallerConnection::WriteWhole(HttpResponseMessage aResponse, bool aClose)
{
  const std::string head =
    FormatResponseHead(aResponse.head, BodyFraming::Length, aResponse.body.size(), aClose);
  const std::string_view body = this->impl->bodyless ? std::string_view() : aResponse.body;
  const bool written = co_await this->impl->Write(head, body);
  this->idle = true;
  this->answered = written;
  co_return written;
}

Awaitable<bool>
CallerConnection::BeginStream(const HttpResponseHead& aHead, std::string_view aChunk, bool aClose)
{
  std::string bytes = FormatResponseHead(aHead, BodyFraming::Chunks, 0, aClose);
  bytes += Concat(absl::Hex(aChunk.size()), "\r\n", aChunk, "\r\n");
  co_return co_await this->impl->Write(bytes);
}

Awaitable<bool>
CallerConnection::WriteChunk(std::string_view aChunk)
{
  const std::string bytes = Concat(absl::Hex(aChunk.size()), "\r\n", aChunk, "\r\n");
  co_return co_await this->impl->Write(bytes);
}

Awaitable<bool>
CallerConnection::EndStream()
{
  constexpr std::string_view kLastChunk = "0\r\n\r\n";
  const bool written = co_await this->impl->Write(kLastChunk);
  this->idle = true;
  this->answered = written;
  co_return written;
}

void
CallerConnection::WatchForDisconnect(std::function<void()> aHandler)
{
  Impl* impl = this->impl.get();
  const std::uint64_t number = ++*impl->watch;
  impl->socket.async_wait(
    TcpSocket::wait_read,
    [impl, watch = impl->watch, number, handler = std::move(aHandler)](const IoError& aError) {
      if (aError || *watch != number) {
        return;
      }
      if (impl->LooksClosed()) {
        impl->callerLeft = true;
        handler();
      }
    });
}

bool
CallerConnection::HasLeft()
{
  this->impl->callerLeft = this->impl->callerLeft || this->impl->LooksClosed();
  return this->impl->callerLeft;
}

void
CallerConnection::StopWatching()
{
  ++*this->impl->watch;
  IoError ignored;
  this->impl->socket.cancel(ignored);
}

Awaitable<LingerEnd>
CallerConnection::Linger(LingerBounds aBounds)
{
  Impl& connection = *this->impl;
  IoError ignored;
  if (this->MayLinger()) {
    this->lingering = true;
    connection.buffer = beast::flat_buffer();
    connection.socket.shutdown(TcpSocket::shutdown_send, ignored);
    connection.StartTimeout(aBounds.time);
    const LingerEnd end = co_await connection.DropUntilClosed(aBounds.bytes);
    connection.watchdog.Disarm();
    this->Close();
    co_return end;
  }
  this->Close();
  co_return LingerEnd::NotBegun;
}

void
CallerConnection::CloseIfIdle()
{
  IoError error;
  if (this->idle && !this->lingering && this->impl->socket.available(error) == 0) {
    this->Close();
  }
}

bool
CallerConnection::MayLinger() const
{
  return this->answered && this->impl->socket.is_open();
}

ConnectionEnd
CallerConnection::End() const
{
  if (this->readEnd) {
    return *this->readEnd;
  }
  if (this->impl->callerLeft) {
    return ConnectionEnd::CallerClosed;
  }
  if (this->impl->writeFailed) {
    return ConnectionEnd::NotTaken;
  }
  return this->answered ? ConnectionEnd::Answered : ConnectionEnd::CutOff;
}

std::uint64_t
CallerConnection::DroppedBytes() const
{
  return this->impl->dropped;
}

void
CallerConnection::NoteReadFailure(ConnectionEnd aEnd)
{
  this->readEnd = aEnd;
  this->CountUnread();
}

ConnectionEnd
CallerConnection::ReadEnd(const IoError& aError) const
{
  if (this->impl->timedOut) {
    return this->idle ? ConnectionEnd::IdleTimeout : ConnectionEnd::TooSlow;
  }
  if (aError == http::error::header_limit) {
    return ConnectionEnd::HeadTooLarge;
  }
  if (aError == http::error::body_limit) {
    return ConnectionEnd::BodyTooLarge;
  }
  if (internal::IsMalformed(aError)) {
    return ConnectionEnd::Malformed;
  }
  return this->impl->socket.is_open() ? ConnectionEnd::CallerClosed : ConnectionEnd::HostClosed;
}

void
CallerConnection::CountUnread()
{
  if (this->impl->socket.is_open()) {
    IoError ignored;
    this->unread = this->impl->socket.available(ignored) + this->impl->buffer.size();
  }
}

void
CallerConnection::Close()
{
  this->CountUnread();
  IoError ignored;
  this->impl->socket.close(ignored);
}

} // namespace damasklink
