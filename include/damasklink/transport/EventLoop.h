// Helpers for the event loop of a serving process, which handles all connections on one thread.
//
// Includes Boost.Asio, which is slow to compile: include this only in files that do I/O.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string_view>
// boost/asio.hpp uses std::exchange without including its header.
#include <utility>

#include <boost/asio.hpp>

#include "damasklink/state/Clock.h"
#include "damasklink/state/Error.h"
#include "damasklink/state/Settings.h"

namespace damasklink {

namespace asio = boost::asio;

using TcpSocket = asio::ip::tcp::socket;
using TcpAcceptor = asio::ip::tcp::acceptor;
using TcpEndpoint = asio::ip::tcp::endpoint;
using IoError = boost::system::error_code;

// Makes an operation return its error as a value: auto [error, bytes] = co_await ...(kAsValue).
//
// g++ 12 destroys an aggregate that is created inside a co_await expression twice: store such a
// value in a named variable first and pass that.
constexpr auto kAsValue = asio::as_tuple(asio::use_awaitable);

template<typename T>
using Awaitable = asio::awaitable<T>;

// Converts the address to Boost.Asio's type. Requires that ParseEndpoint() returned it.
TcpEndpoint
ToTcpEndpoint(const Endpoint& aEndpoint);

// Opens a listening socket. Fails with Unavailable when the address is in use.
Result<TcpAcceptor>
ListenOn(asio::io_context& aContext, const Endpoint& aEndpoint);

// Makes a connection fail when sent data stays unacknowledged for this long (TCP_USER_TIMEOUT). A
// host that is isolated or without power sends no reset, so without this writes would seem to
// succeed for minutes.
void
SetSendTimeout(TcpSocket& aSocket, Duration aTimeout);

// Logs that an option could not be set, unless aError is none.
void
LogRefusedOption(std::string_view aOption, const IoError& aError);

// Bounds what the system receives for a connection before it is read. Otherwise it grows to
// megabytes, which count as memory of this process. Must be called before the connection is made;
// accepted connections inherit it from their listener.
template<typename Socket>
void
LimitReceiveBuffer(Socket& aSocket)
{
  constexpr int kReceiveBufferBytes = 128 * 1024;
  IoError error;
  aSocket.set_option(asio::socket_base::receive_buffer_size(kReceiveBufferBytes), error);
  LogRefusedOption("SO_RCVBUF", error);
}

// Leaves what is not sent yet with this process (TCP_NOTSENT_LOWAT), which can still put an urgent
// message before it.
void
LimitUnsent(TcpSocket& aSocket);

// Disables Nagle's algorithm (TCP_NODELAY), so that small writes are sent immediately.
void
SetNoDelay(TcpSocket& aSocket);

// Runs a callback once after a delay; arming again begins a new delay. Belongs to one event loop.
//
//   Watchdog watchdog(executor, [&] { connection.Close(); });
//   watchdog.Arm(std::chrono::seconds(1));
//   watchdog.Disarm();
class Watchdog
{
public:
  Watchdog(const asio::any_io_executor& aExecutor, std::function<void()> aCallback);

  ~Watchdog();
  Watchdog(const Watchdog&) = delete;
  Watchdog& operator=(const Watchdog&) = delete;

  void Arm(Duration aAfter);
  // Replaces the delay, which still counts from the last Arm().
  void ChangeDelay(Duration aAfter);
  void Disarm();

private:
  // Shared with the pending wait. A timer that has expired already cannot be cancelled, so its
  // handler must be able to see that the watchdog was disarmed, armed again or destroyed.
  struct State
  {
    std::function<void()> callback;
    std::uint64_t armed = 0;
  };

  void Wait();

  asio::steady_timer timer;
  asio::steady_timer::time_point start;
  std::shared_ptr<State> state;
};

} // namespace damasklink
