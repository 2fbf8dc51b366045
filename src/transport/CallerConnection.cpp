#include "damasklink/transport/CallerConnection.h"

#include <array>

#include "BeastText.h"
#include "damasklink/state/Text.h"

namespace damasklink {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;

using RequestParser = http::request_parser<http::string_body>;

// A caller that reads nothing for this long gets nothing more: it holds a target's slot meanwhile.
constexpr Duration kWriteTimeout = std::chrono::seconds(10);

// Bytes in one write, after which the caller's patience counts anew; the library's own figure.
constexpr std::size_t kWriteBytes = std::size_t{ 64 } * 1024;

// The smallest read that takes a usual head at once.
constexpr std::size_t kReadBytes = 4096;

HttpRequestMessage
TakeRequest(RequestParser& aParser)
{
  auto message = aParser.release();
  HttpRequestMessage request;
  request.head.method = internal::TextOf(message.method_string());
  request.head.target = internal::TextOf(message.target());
  request.head.version = static_cast<int>(message.version());
  for (const auto& field : message) {
    request.head.fields.Add(internal::TextOf(field.name_string()), internal::TextOf(field.value()));
  }
  request.body = std::move(message.body());
  return request;
}

HttpRequestHead
HeadOf(const RequestParser& aParser)
{
  HttpRequestHead head;
  head.version = static_cast<int>(aParser.get().version());
  for (const auto& field : aParser.get()) {
    head.fields.Add(internal::TextOf(field.name_string()), internal::TextOf(field.value()));
  }
  return head;
}

auto
ReadFailure(const IoError& aError, bool aTimedOut, bool aBegun)
{
  if (aTimedOut && aBegun) {
    return Fail(
      ErrorKind::DeadlineExceeded, "the request came too slowly", "send it without pauses");
  }
  if (aError == http::error::header_limit) {
    return Fail(ErrorKind::Overloaded, "the head of the request is too large", "send fewer fields");
  }
  if (aError == http::error::body_limit) {
    return Fail(ErrorKind::NotPermitted, "the body of the request is too large", "send less");
  }
  if (internal::IsMalformed(aError)) {
    return Fail(ErrorKind::InvalidArgument,
                Concat("the request cannot be read: ", aError.message()),
                "send HTTP/1.1 as RFC 9112 has it");
  }
  return Fail(ErrorKind::Interrupted, "the caller closed the connection", "");
}

} // namespace

class CallerConnection::Impl
{
public:
  explicit Impl(TcpSocket aSocket)
    : socket(std::move(aSocket))
    , patience(this->socket.get_executor(), [this] {
      this->timedOut = true;
      IoError ignored;
      this->socket.cancel(ignored);
    })
  {
  }

  void StartWaiting(Duration aPatience)
  {
    this->timedOut = false;
    this->patience.Arm(aPatience);
  }

  Awaitable<bool> Write(std::string_view aFirst, std::string_view aSecond = {})
  {
    this->StartWaiting(kWriteTimeout);
    const std::array<asio::const_buffer, 2> buffers{ asio::buffer(aFirst), asio::buffer(aSecond) };
    std::size_t written = 0;
    // Bytes that leave show that the caller reads; a large answer to a thin link takes its time.
    const auto more = [this, &written](const IoError& aError, std::size_t aWritten) {
      if (aWritten > written) {
        written = aWritten;
        this->StartWaiting(kWriteTimeout);
      }
      return aError ? 0 : kWriteBytes;
    };
    const auto [error, bytes] = co_await asio::async_write(this->socket, buffers, more, kAsValue);
    this->patience.Disarm();
    co_return !error;
  }

  TcpSocket socket;
  Watchdog patience;
  bool timedOut = false;
  // The number of the present watch for leaving. Shared with the pending wait, which may end when
  // this object is gone.
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

Awaitable<Result<HttpRequestMessage>>
CallerConnection::Read(const CallerLimits& aLimits)
{
  Impl& channel = *this->impl;
  const auto headerTimeout = aLimits.headerTimeout;
  const auto idleTimeout = aLimits.idleTimeout;
  if (channel.buffer.size() == 0) {
    // Nothing is kept for an idle connection but the socket.
    channel.buffer.shrink_to_fit();
    channel.StartWaiting(idleTimeout);
    const auto [waitError] = co_await channel.socket.async_wait(TcpSocket::wait_read, kAsValue);
    channel.patience.Disarm();
    if (waitError) {
      co_return ReadFailure(waitError, channel.timedOut, false);
    }
  }
  this->idle = false;
  RequestParser parser;
  parser.header_limit(static_cast<std::uint32_t>(aLimits.headerBytes));
  parser.body_limit(aLimits.bodyBytes);
  channel.buffer.reserve(kReadBytes);
  channel.StartWaiting(headerTimeout);
  const auto [headError, headBytes] =
    co_await http::async_read_header(channel.socket, channel.buffer, parser, kAsValue);
  channel.patience.Disarm();
  if (headError) {
    co_return ReadFailure(headError, channel.timedOut, true);
  }
  if (auto framed = CheckFraming(HeadOf(parser)); !framed) {
    co_return Fail(framed.error());
  }
  while (!parser.is_done()) {
    // For each piece anew: a caller whose body is still coming in is not idle.
    channel.StartWaiting(idleTimeout);
    const auto [bodyError, bodyBytes] =
      co_await http::async_read_some(channel.socket, channel.buffer, parser, kAsValue);
    channel.patience.Disarm();
    if (bodyError) {
      co_return ReadFailure(bodyError, channel.timedOut, true);
    }
  }
  co_return TakeRequest(parser);
}

Awaitable<bool>
CallerConnection::WriteWhole(HttpAnswerMessage aAnswer, bool aClose)
{
  const std::string head =
    FormatAnswerHead(aAnswer.head, AnswerFraming::Length, aAnswer.body.size(), aClose);
  const bool written = co_await this->impl->Write(head, aAnswer.body);
  this->idle = true;
  co_return written;
}

Awaitable<bool>
CallerConnection::BeginStream(const HttpAnswerHead& aHead, std::string_view aPiece, bool aClose)
{
  std::string bytes = FormatAnswerHead(aHead, AnswerFraming::Chunks, 0, aClose);
  bytes += Concat(absl::Hex(aPiece.size()), "\r\n", aPiece, "\r\n");
  co_return co_await this->impl->Write(bytes);
}

Awaitable<bool>
CallerConnection::WriteChunk(std::string_view aPiece)
{
  const std::string bytes = Concat(absl::Hex(aPiece.size()), "\r\n", aPiece, "\r\n");
  co_return co_await this->impl->Write(bytes);
}

Awaitable<bool>
CallerConnection::EndStream()
{
  constexpr std::string_view kLastChunk = "0\r\n\r\n";
  const bool written = co_await this->impl->Write(kLastChunk);
  this->idle = true;
  co_return written;
}

void
CallerConnection::WatchForDisconnect(std::function<void()> aLeft)
{
  Impl* channel = this->impl.get();
  const std::uint64_t number = ++*channel->watch;
  channel->socket.async_wait(
    TcpSocket::wait_read,
    [channel, watch = channel->watch, number, left = std::move(aLeft)](const IoError& aError) {
      if (aError || *watch != number) {
        return;
      }
      char byte = 0;
      IoError error;
      channel->socket.non_blocking(true, error);
      channel->socket.receive(asio::buffer(&byte, 1), TcpSocket::message_peek, error);
      // Bytes of a next request tell nothing; the end of the stream or an error does.
      if (error && error != asio::error::would_block) {
        left();
      }
    });
}

void
CallerConnection::StopWatching()
{
  ++*this->impl->watch;
  IoError ignored;
  this->impl->socket.cancel(ignored);
}

void
CallerConnection::CloseIfIdle()
{
  IoError error;
  if (this->idle && this->impl->socket.available(error) == 0) {
    this->Close();
  }
}

void
CallerConnection::Close()
{
  IoError ignored;
  this->impl->socket.close(ignored);
}

} // namespace damasklink
