// The event loop that a serving process runs on: one thread, no thread for a connection.
//
// Includes Boost.Asio, which is slow to compile: keep it to files that do I/O.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
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

// Lets a coroutine take errors as values: auto [error, bytes] = co_await ...(kAsValue).
//
// g++ 12 destroys an aggregate that is made inside a co_await expression twice: give such a value a
// name first and pass the name.
constexpr auto kAsValue = asio::as_tuple(asio::use_awaitable);

template<typename T>
using Awaitable = asio::awaitable<T>;

// Returns the address as the library's type. Requires that it was parsed by ParseEndpoint().
TcpEndpoint
ToTcpEndpoint(const Endpoint& aEndpoint);

// Opens a listening socket. Fails with Unavailable when the address is taken.
Result<TcpAcceptor>
ListenOn(asio::io_context& aContext, const Endpoint& aEndpoint);

// Makes a connection fail when what was sent stays unacknowledged for this long. A host that is cut
// off or without power sends no reset, so without it a write would seem to succeed for minutes.
void
SetSendTimeout(TcpSocket& aSocket, Duration aTimeout);

// Sends small writes at once.
void
SetNoDelay(TcpSocket& aSocket);

// Runs a callback once, at a time that may be moved. Belongs to one event loop.
//
//   Watchdog watchdog(context, [&] { channel.Close(); });
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
  void Disarm();

private:
  // Shared with the pending wait: a timer that has run out already calls back whatever is done to
  // it, so the wait must see that it was disarmed or that this object is gone.
  struct State
  {
    std::function<void()> callback;
    std::uint64_t armed = 0;
  };

  asio::steady_timer timer;
  std::shared_ptr<State> state;
};

} // namespace damasklink
