// Serves the metrics of a process of a serving deployment, as text, on the event loop.
#pragma once

#include <memory>

#include "damasklink/state/MetricsRegistry.h"
#include "damasklink/transport/ConnectionListener.h"

namespace damasklink {

class MetricsPage
{
public:
  // Requires that all outlive the page.
  MetricsPage(asio::io_context& aLoop, const MetricsRegistry& aRegistry, const HostId& aHost)
    : listener(aLoop)
    , registry(aRegistry)
    , host(aHost)
  {
  }

  // Serves "/metrics"; port 0 serves nothing. Fails with Unavailable when the address is taken.
  Result<void> Listen(const Endpoint& aEndpoint);

private:
  Awaitable<void> Serve(std::shared_ptr<CallerChannel> aChannel);

  ConnectionListener listener;
  const MetricsRegistry& registry;
  const HostId& host;
};

} // namespace damasklink
