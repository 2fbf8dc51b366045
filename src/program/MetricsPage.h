// Serves the metrics of a process of a serving deployment, as text, on the event loop.
#pragma once

#include <memory>

#include "damasklink/state/MetricsRegistry.h"
#include "damasklink/transport/CallerChannel.h"
#include "damasklink/transport/EventLoop.h"

namespace damasklink {

class MetricsPage
{
public:
  // Requires that all outlive the page.
  MetricsPage(asio::io_context& aLoop, const MetricsRegistry& aRegistry, const HostId& aHost)
    : loop(aLoop)
    , registry(aRegistry)
    , host(aHost)
  {
  }

  // Serves "/metrics"; port 0 serves nothing. Fails with Unavailable when the address is taken.
  Result<void> Listen(const Endpoint& aEndpoint);

private:
  void Accept();
  Awaitable<void> Serve(std::shared_ptr<CallerChannel> aChannel);

  asio::io_context& loop;
  const MetricsRegistry& registry;
  const HostId& host;
  std::unique_ptr<TcpAcceptor> acceptor;
};

} // namespace damasklink
