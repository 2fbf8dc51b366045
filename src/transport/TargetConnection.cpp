#include "damasklink/transport/TargetConnection.h"

#include <array>

#include "BeastText.h"
#include "damasklink/state/Text.h"

namespace damasklink {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;

using AnswerParser = http::response_parser<http::buffer_body>;

constexpr std::size_t kPieceBytes = std::size_t{ 16 } * 1024;
constexpr std::uint64_t kMaxResponseBytes = std::uint64_t{ 1 } << 30U;
constexpr std::uint32_t kMaxHeadBytes = 64 * 1024;

// A target that was cut off or lost power acknowledges nothing. Longer than a few retransmissions
// on a link that loses packets, shorter than callers wait for a first event.
constexpr Duration kSendTimeout = std::chrono::milliseconds(900);

// What a target that names no time is assumed to keep an idle connection for.
constexpr Duration kDefaultIdleTimeout = std::chrono::seconds(4);
// Left unused of the time that a target names, so that a request does not cross its close.
constexpr Duration kIdleMargin = std::chrono::milliseconds(700);

auto
ReadFailure(const IoError& aError)
{
  if (internal::IsMalformed(aError)) {
    return Fail(ErrorKind::Corrupt,
                Concat("the target's bytes are no answer: ", aError.message()),
                "look at the target's own log");
  }
  if (aError == asio::error::timed_out) {
    return Fail(ErrorKind::DeadlineExceeded,
                "the target acknowledged nothing of what was sent",
                "look whether the target runs and can be reached");
  }
  return Fail(ErrorKind::Interrupted,
              Concat("the connection to the target broke: ", aError.message()),
              "look at the target's own log");
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
  beast::flat_buffer buffer;
  std::optional<AnswerParser> parser;
  std::array<char, kPieceBytes> piece{};
  bool bodyless = false;
  bool sending = false;
  bool broken = false;
  bool closes = false;
};

TargetConnection::TargetConnection(const asio::any_io_executor& aExecutor, const Clock& aClock)
  : clock(aClock)
  , impl(std::make_unique<Impl>(aExecutor))
{
}

TargetConnection::~TargetConnection() = default;

Awaitable<Result<void>>
TargetConnection::Connect(const Endpoint& aEndpoint, Duration aPatience)
{
  bool late = false;
  Watchdog watchdog(this->impl->socket.get_executor(), [this, &late] {
    late = true;
    this->Close();
  });
  watchdog.Arm(aPatience);
  const auto [error] =
    co_await this->impl->socket.async_connect(ToTcpEndpoint(aEndpoint), kAsValue);
  watchdog.Disarm();
  if (error || late) {
    const std::string reason = late ? std::string("no answer in time") : error.message();
    const bool refused = error == asio::error::connection_refused;
    co_return Fail(refused ? ErrorKind::NotFound : ErrorKind::Unavailable,
                   Concat("cannot connect to ", FormatEndpoint(aEndpoint), ": ", reason),
                   "look whether the target runs and can be reached");
  }
  SetNoDelay(this->impl->socket);
  SetSendTimeout(this->impl->socket, kSendTimeout);
  co_return Success();
}

Awaitable<bool>
TargetConnection::StaysOpen(Duration aFor)
{
  TcpSocket& socket = this->impl->socket;
  bool late = false;
  Watchdog watchdog(socket.get_executor(), [&socket, &late] {
    late = true;
    IoError ignored;
    socket.cancel(ignored);
  });
  watchdog.Arm(aFor);
  const auto [waited] = co_await socket.async_wait(TcpSocket::wait_read, kAsValue);
  watchdog.Disarm();
  if (late) {
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
  Impl& channel = *this->impl;
  channel.bodyless = aHead.method == "HEAD";
  const std::string head = FormatRequestHead(aHead, aBody.size());
  const std::array<asio::const_buffer, 2> buffers{ asio::buffer(head), asio::buffer(aBody) };
  channel.sending = true;
  const auto [error, bytes] = co_await asio::async_write(channel.socket, buffers, kAsValue);
  channel.sending = false;
  if (error) {
    channel.broken = true;
    co_return ReadFailure(error);
  }
  co_return Success();
}

Awaitable<Result<HttpAnswerHead>>
TargetConnection::ReadHead()
{
  Impl& channel = *this->impl;
  while (true) {
    channel.parser.emplace();
    channel.parser->header_limit(kMaxHeadBytes);
    channel.parser->body_limit(kMaxResponseBytes);
    channel.parser->skip(channel.bodyless);
    const auto [error, bytes] =
      co_await http::async_read_header(channel.socket, channel.buffer, *channel.parser, kAsValue);
    if (error) {
      channel.broken = true;
      co_return ReadFailure(error);
    }
    const auto& message = channel.parser->get();
    if (message.result_int() >= 200) {
      break;
    }
  }
  const auto& message = channel.parser->get();
  HttpAnswerHead head;
  head.status = static_cast<int>(message.result_int());
  for (const auto& field : message) {
    head.fields.Add(internal::TextOf(field.name_string()), internal::TextOf(field.value()));
  }
  channel.closes = !channel.parser->keep_alive();
  const auto seconds = KeepAliveSeconds(head.fields);
  const Duration kept = seconds ? Duration(std::chrono::seconds(*seconds)) : kDefaultIdleTimeout;
  this->idleUntil = this->clock.MonotonicNow() + kept - kIdleMargin;
  co_return head;
}

Awaitable<Result<std::optional<std::string_view>>>
TargetConnection::ReadChunk()
{
  Impl& channel = *this->impl;
  while (!channel.parser->is_done()) {
    auto& body = channel.parser->get().body();
    body.data = channel.piece.data();
    body.size = channel.piece.size();
    body.more = true;
    const auto [error, bytes] =
      co_await http::async_read_some(channel.socket, channel.buffer, *channel.parser, kAsValue);
    const bool filled = error == http::error::need_buffer;
    if (error && !filled) {
      channel.broken = true;
      co_return ReadFailure(error);
    }
    const std::size_t length = channel.piece.size() - channel.parser->get().body().size;
    if (length > 0) {
      co_return std::optional(std::string_view(channel.piece.data(), length));
    }
  }
  co_return std::optional<std::string_view>();
}

Awaitable<Result<std::string>>
TargetConnection::ReadRest(std::size_t aMost, std::function<void()> aOnPiece)
{
  std::string whole;
  while (true) {
    auto piece = co_await this->ReadChunk();
    if (!piece) {
      co_return Fail(piece.error());
    }
    if (!piece.value()) {
      co_return whole;
    }
    whole.append(*piece.value());
    if (aOnPiece) {
      aOnPiece();
    }
    if (whole.size() > aMost) {
      this->impl->broken = true;
      co_return Fail(ErrorKind::Overloaded,
                     "the target's answer is larger than what is kept of one",
                     "declare the route as a stream");
    }
  }
}

bool
TargetConnection::IsReusable() const
{
  const Impl& channel = *this->impl;
  const bool over = channel.parser && channel.parser->is_done() && !channel.sending;
  return over && !channel.broken && !channel.closes && channel.socket.is_open();
}

bool
TargetConnection::IsClean()
{
  Impl& channel = *this->impl;
  if (!channel.socket.is_open() || channel.buffer.size() > 0) {
    return false;
  }
  char byte = 0;
  IoError error;
  channel.socket.non_blocking(true, error);
  channel.socket.receive(asio::buffer(&byte, 1), TcpSocket::message_peek, error);
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
  auto& channels = found->second;
  while (!channels.empty()) {
    std::unique_ptr<TargetConnection> channel = std::move(channels.back());
    channels.pop_back();
    if (this->clock.MonotonicNow() < channel->IdleUntil() && channel->IsClean()) {
      return channel;
    }
  }
  return nullptr;
}

void
TargetConnectionPool::Keep(const Endpoint& aEndpoint, std::unique_ptr<TargetConnection> aChannel)
{
  if (!aChannel->IsReusable() || this->clock.MonotonicNow() >= aChannel->IdleUntil()) {
    return;
  }
  auto& channels = this->idle[FormatEndpoint(aEndpoint)];
  channels.push_back(std::move(aChannel));
  if (channels.size() > kMaxIdle) {
    channels.pop_front();
  }
}

void
TargetConnectionPool::CloseExpired()
{
  const MonotonicTime now = this->clock.MonotonicNow();
  for (auto& [endpoint, channels] : this->idle) {
    std::erase_if(channels, [&](const auto& aChannel) { return aChannel->IdleUntil() <= now; });
  }
  absl::erase_if(this->idle, [](const auto& aItem) { return aItem.second.empty(); });
}

} // namespace damasklink
