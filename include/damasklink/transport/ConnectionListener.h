// Accepts connections on one address and serves each with a coroutine, on the event loop.
//
//   ConnectionListener listener(loop);
//   auto listening = listener.Listen(endpoint, [this](auto aCaller) { return Serve(aCaller); });
//   listener.Close();
#pragma once

#include <functional>
#include <memory>

#include "damasklink/transport/CallerConnection.h"

namespace damasklink {

class ConnectionListener
{
public:
  // The connection is shared, so that its owner can close it while it is served.
  using Serve = std::function<Awaitable<void>(std::shared_ptr<CallerConnection>)>;

  explicit ConnectionListener(asio::io_context& aLoop)
    : loop(aLoop)
    , pause(aLoop)
  {
  }

  // Starts accepting connections. Fails with Unavailable when the address is in use.
  Result<void> Listen(const Endpoint& aEndpoint, Serve aServe);

  // Accepts no further connections; open ones continue.
  void Close();

private:
  void Accept();
  void AcceptLater();

  asio::io_context& loop;
  asio::steady_timer pause;
  Serve serve;
  std::unique_ptr<TcpAcceptor> acceptor;
};

} // namespace damasklink
