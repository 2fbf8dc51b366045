// Takes connections on one address and serves each with a coroutine, on the event loop.
//
//   ConnectionListener listener(loop);
//   auto listening = listener.Listen(endpoint, [this](auto aChannel) { return Serve(aChannel); });
//   listener.Close();
#pragma once

#include <functional>
#include <memory>

#include "damasklink/transport/CallerConnection.h"

namespace damasklink {

class ConnectionListener
{
public:
  // The channel is shared with whoever may close it while it is served.
  using Serve = std::function<Awaitable<void>(std::shared_ptr<CallerConnection>)>;

  explicit ConnectionListener(asio::io_context& aLoop)
    : loop(aLoop)
  {
  }

  // Fails with Unavailable when the address is taken.
  Result<void> Listen(const Endpoint& aEndpoint, Serve aServe);

  // Takes no further connections; those that are served go on.
  void Close();

private:
  void Accept();

  asio::io_context& loop;
  Serve serve;
  std::unique_ptr<TcpAcceptor> acceptor;
};

} // namespace damasklink
