#include "damasklink/transport/EventLoop.h"

#include <netinet/tcp.h>

#include "damasklink/state/Text.h"
#include "damasklink/transport/Log.h"

namespace damasklink {

TcpEndpoint
ToTcpEndpoint(const Endpoint& aEndpoint)
{
  return TcpEndpoint(asio::ip::make_address(aEndpoint.address), aEndpoint.port);
}

Result<TcpAcceptor>
ListenOn(asio::io_context& aContext, const Endpoint& aEndpoint)
{
  const TcpEndpoint endpoint = ToTcpEndpoint(aEndpoint);
  TcpAcceptor acceptor(aContext);
  IoError error;
  acceptor.open(endpoint.protocol(), error);
  acceptor.set_option(TcpAcceptor::reuse_address(true), error);
  LimitReceiveBuffer(acceptor);
  acceptor.bind(endpoint, error);
  if (!error) {
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return Fail(ErrorKind::Unavailable,
                Concat("cannot listen on ", FormatEndpoint(aEndpoint), ": ", error.message()),
                "end the process that holds the address, or choose another");
  }
  return acceptor;
}

void
SetSendTimeout(TcpSocket& aSocket, Duration aTimeout)
{
  const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(aTimeout);
  using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  IoError error;
  aSocket.set_option(UserTimeout(static_cast<int>(milliseconds.count())), error);
  LogRefusedOption("TCP_USER_TIMEOUT", error);
}

void
SetNoDelay(TcpSocket& aSocket)
{
  IoError error;
  aSocket.set_option(asio::ip::tcp::no_delay(true), error);
  LogRefusedOption("TCP_NODELAY", error);
}

void
LimitUnsent(TcpSocket& aSocket)
{
  constexpr int kUnsentBytes = 64 * 1024;
  using UnsentLimit = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_NOTSENT_LOWAT>;
  IoError error;
  aSocket.set_option(UnsentLimit(kUnsentBytes), error);
  LogRefusedOption("TCP_NOTSENT_LOWAT", error);
}

void
LogRefusedOption(std::string_view aOption, const IoError& aError)
{
  if (aError) {
    LogEvent(LogLevel::Warning, "socket_option_refused")
      .With("option", aOption)
      .With("reason", aError.message());
  }
}

Watchdog::Watchdog(const asio::any_io_executor& aExecutor, std::function<void()> aCallback)
  : timer(aExecutor)
  , state(std::make_shared<State>(State{ std::move(aCallback), 0 }))
{
}

Watchdog::~Watchdog()
{
  this->Disarm();
}

void
Watchdog::Arm(Duration aAfter)
{
  this->start = asio::steady_timer::clock_type::now();
  this->ChangeDelay(aAfter);
}

void
Watchdog::ChangeDelay(Duration aAfter)
{
  this->timer.expires_at(this->start + aAfter);
  this->Wait();
}

void
Watchdog::Wait()
{
  const std::uint64_t armed = ++this->state->armed;
  this->timer.async_wait([shared = this->state, armed](const IoError& aError) {
    if (!aError && shared->armed == armed) {
      shared->callback();
    }
  });
}

void
Watchdog::Disarm()
{
  ++this->state->armed;
  this->timer.cancel();
}

} // namespace damasklink
