#include "damasklink/transport/HttpClient.h"

#include <array>
#include <cerrno>
#include <limits>

#include "BeastText.h"
#include "damasklink/state/Text.h"
#include <arpa/inet.h>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace damasklink {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using ErrorCode = boost::system::error_code;

constexpr std::size_t kChunkBytes = 16 * kKibibyte;

int
Milliseconds(Duration aDuration)
{
  return static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count());
}

ErrorCode
LastError()
{
  return ErrorCode(errno, boost::system::system_category());
}

// A connected socket whose reads and writes have a timeout. It implements Beast's SyncStream
// concept, hence the lower-case names.
class TimedSocket
{
public:
  explicit TimedSocket(int aDescriptor)
    : descriptor(aDescriptor)
  {
  }
  TimedSocket(const TimedSocket&) = delete;
  TimedSocket& operator=(const TimedSocket&) = delete;
  ~TimedSocket() { ::close(this->descriptor); }

  void SetTimeout(Duration aTimeout) { this->timeout = aTimeout; }

  // NOLINTBEGIN(readability-identifier-naming)
  template<typename Buffers>
  std::size_t read_some(const Buffers& aBuffers, ErrorCode& aError)
  {
    const auto first = *boost::asio::buffer_sequence_begin(aBuffers);
    if (!this->Wait(POLLIN, aError)) {
      return 0;
    }
    const ssize_t count = ::recv(this->descriptor, first.data(), first.size(), 0);
    if (count < 0) {
      aError = LastError();
      return 0;
    }
    aError = count == 0 ? ErrorCode(boost::asio::error::eof) : ErrorCode();
    return static_cast<std::size_t>(count);
  }

  template<typename Buffers>
  std::size_t read_some(const Buffers& aBuffers)
  {
    ErrorCode error;
    return this->read_some(aBuffers, error);
  }

  template<typename Buffers>
  std::size_t write_some(const Buffers& aBuffers, ErrorCode& aError)
  {
    const auto begin = boost::asio::buffer_sequence_begin(aBuffers);
    const auto end = boost::asio::buffer_sequence_end(aBuffers);
    for (auto position = begin; position != end; ++position) {
      const boost::asio::const_buffer part(*position);
      if (part.size() == 0) {
        continue;
      }
      if (!this->Wait(POLLOUT, aError)) {
        return 0;
      }
      const ssize_t count = ::send(this->descriptor, part.data(), part.size(), MSG_NOSIGNAL);
      aError = count < 0 ? LastError() : ErrorCode();
      return count < 0 ? 0 : static_cast<std::size_t>(count);
    }
    aError = ErrorCode();
    return 0;
  }

  template<typename Buffers>
  std::size_t write_some(const Buffers& aBuffers)
  {
    ErrorCode error;
    return this->write_some(aBuffers, error);
  }
  // NOLINTEND(readability-identifier-naming)

private:
  bool Wait(short aEvents, ErrorCode& aError) const
  {
    pollfd entry{ this->descriptor, aEvents, 0 };
    const int ready = ::poll(&entry, 1, Milliseconds(this->timeout));
    if (ready > 0) {
      return true;
    }
    aError = ready == 0 ? ErrorCode(boost::asio::error::timed_out) : LastError();
    return false;
  }

  int descriptor;
  Duration timeout = std::chrono::seconds(30);
};

bool
ConnectWithin(int aDescriptor, const sockaddr_in& aAddress, Duration aTimeout)
{
  const auto* address = reinterpret_cast<const sockaddr*>(&aAddress);
  if (::connect(aDescriptor, address, sizeof(aAddress)) == 0) {
    return true;
  }
  if (errno != EINPROGRESS) {
    return false;
  }
  pollfd entry{ aDescriptor, POLLOUT, 0 };
  if (::poll(&entry, 1, Milliseconds(aTimeout)) <= 0) {
    return false;
  }
  int error = 0;
  socklen_t length = sizeof(error);
  ::getsockopt(aDescriptor, SOL_SOCKET, SO_ERROR, &error, &length);
  return error == 0;
}

Error
ReadFailure(const ErrorCode& aCode, const Endpoint& aEndpoint)
{
  const std::string address = FormatEndpoint(aEndpoint);
  if (aCode == boost::asio::error::timed_out) {
    return Error{ ErrorKind::DeadlineExceeded,
                  Concat(address, " did not respond in time"),
                  "try again, or raise the timeout" };
  }
  return Error{ ErrorKind::Interrupted,
                Concat(address,
                       " closed the connection before the end of its response (",
                       aCode.message(),
                       ")"),
                "try again" };
}

} // namespace

class HttpExchange::Impl
{
public:
  Impl(int aDescriptor, HttpCall aCall)
    : socket(aDescriptor)
    , call(std::move(aCall))
  {
    this->socket.SetTimeout(this->call.readTimeout);
    // Beast reads at most the capacity of the buffer at once, or 512 bytes if it has none.
    this->buffer.reserve(kChunkBytes);
    // Beast 1.74 treats boost::none as a limit of zero.
    this->parser.body_limit(std::numeric_limits<std::uint64_t>::max());
  }

  TimedSocket socket;
  HttpCall call;
  beast::flat_buffer buffer;
  http::response_parser<http::buffer_body> parser;
};

HttpExchange::HttpExchange(std::unique_ptr<Impl> aImpl)
  : impl(std::move(aImpl))
{
}

HttpExchange::~HttpExchange() = default;

Result<std::unique_ptr<HttpExchange>>
HttpExchange::Connect(HttpCall aCall)
{
  const auto unavailable = [&] {
    return Fail(ErrorKind::Unavailable,
                Concat("cannot connect to ", FormatEndpoint(aCall.endpoint)),
                "check that it runs and is reachable");
  };
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (descriptor < 0) {
    return unavailable();
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aCall.endpoint.port);
  ::inet_pton(AF_INET, aCall.endpoint.address.c_str(), &address.sin_addr);
  if (!ConnectWithin(descriptor, address, aCall.connectTimeout)) {
    ::close(descriptor);
    return unavailable();
  }
  const int enabled = 1;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  auto impl = std::make_unique<Impl>(descriptor, std::move(aCall));
  return std::unique_ptr<HttpExchange>(new HttpExchange(std::move(impl)));
}

Result<void>
HttpExchange::Send()
{
  const HttpCall& call = this->impl->call;
  http::request<http::string_body> request;
  request.method_string(call.method);
  request.target(call.path);
  request.version(11);
  request.set(http::field::host, FormatEndpoint(call.endpoint));
  request.set(http::field::connection, "close");
  for (const auto& [name, value] : call.headers) {
    request.set(name, value);
  }
  request.body() = call.body;
  request.prepare_payload();
  ErrorCode code;
  http::write(this->impl->socket, request, code);
  if (code) {
    return Fail(ReadFailure(code, call.endpoint));
  }
  return Success();
}

Result<void>
HttpExchange::ReadHeader()
{
  ErrorCode code;
  http::read_header(this->impl->socket, this->impl->buffer, this->impl->parser, code);
  if (code) {
    return Fail(ReadFailure(code, this->impl->call.endpoint));
  }
  if (const unsigned status = this->impl->parser.get().result_int();
      !internal::IsHttpStatus(status)) {
    return Fail(ErrorKind::Corrupt,
                Concat("the response of ",
                       FormatEndpoint(this->impl->call.endpoint),
                       " has the status ",
                       status,
                       ", which HTTP lacks"),
                "check what listens at the address");
  }
  return Success();
}

int
HttpExchange::Status() const
{
  return static_cast<int>(this->impl->parser.get().result_int());
}

std::string
HttpExchange::Header(std::string_view aName) const
{
  const auto value = this->impl->parser.get()[beast::string_view(aName.data(), aName.size())];
  return std::string(value.data(), value.size());
}

Result<std::string>
HttpExchange::ReadSome()
{
  auto& parser = this->impl->parser;
  std::array<char, kChunkBytes> chunk{};
  while (!parser.is_done()) {
    parser.get().body().data = chunk.data();
    parser.get().body().size = chunk.size();
    ErrorCode code;
    http::read_some(this->impl->socket, this->impl->buffer, parser, code);
    if (code && code != http::error::need_buffer) {
      return Fail(ReadFailure(code, this->impl->call.endpoint));
    }
    const std::size_t count = chunk.size() - parser.get().body().size;
    if (count > 0) {
      return std::string(chunk.data(), count);
    }
  }
  return std::string();
}

void
HttpExchange::SetReadTimeout(Duration aTimeout)
{
  this->impl->socket.SetTimeout(aTimeout);
}

Result<HttpClientResponse>
CallHttp(HttpCall aCall, ByteCount aMaxBody)
{
  auto connected = HttpExchange::Connect(std::move(aCall));
  if (!connected) {
    return Fail(connected.error());
  }
  HttpExchange& exchange = *connected.value();
  if (auto sent = exchange.Send(); !sent) {
    return Fail(sent.error());
  }
  if (auto header = exchange.ReadHeader(); !header) {
    return Fail(header.error());
  }
  HttpClientResponse response;
  response.status = exchange.Status();
  response.headers.emplace_back("content-type", exchange.Header("content-type"));
  while (true) {
    auto chunk = exchange.ReadSome();
    if (!chunk) {
      return Fail(chunk.error());
    }
    if (chunk.value().empty()) {
      return response;
    }
    response.body += chunk.value();
    if (response.body.size() > aMaxBody.Value()) {
      return Fail(
        ErrorKind::Overloaded, "the response is too large", "raise the limit for responses");
    }
  }
}

} // namespace damasklink
