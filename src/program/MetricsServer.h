// Serves the metrics of a process of a serving deployment, as text, on the event loop.
#pragma once

#include <memory>

#include "damasklink/state/MetricsRegistry.h"
#include "damasklink/transport/ChannelListener.h"

namespace damasklink {

class MetricsServer
{
public:
  // Requires that all outlive the page.
  MetricsServer(asio::io_context& aLoop, const MetricsRegistry& aRegistry, const HostId& aHost)
    : listener(aLoop)
    , registry(aRegistry)
    , host(aHost)
  {
  }

  // Serves "/metrics"; port 0 serves nothing. Fails with Unavailable when the address is taken.
  Result<void> Listen(const Endpoint& aEndpoint);

private:
  Awaitable<void> Serve(std::shared_ptr<CallerChannel> aChannel);

  ChannelListener listener;
  const MetricsRegistry& registry;
  const HostId& host;
};

} // namespace damasklink
