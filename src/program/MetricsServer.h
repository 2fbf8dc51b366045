// HTTP server for the metrics of a process of a serving deployment.
#pragma once

#include <memory>

#include "damasklink/coordination/MemoryBudget.h"
#include "damasklink/state/MetricsRegistry.h"
#include "damasklink/transport/ConnectionListener.h"

namespace damasklink {

// Serves "/metrics" in the Prometheus text format. Runs on the event loop; not thread-safe.
//
//   MetricsServer metrics(loop, registry, memory, host);
//   auto listening = metrics.Listen(endpoint);
class MetricsServer
{
public:
  // Requires that all arguments outlive the server.
  MetricsServer(asio::io_context& aLoop,
                const MetricsRegistry& aRegistry,
                MemoryBudget& aMemory,
                const HostId& aHost)
    : listener(aLoop)
    , registry(aRegistry)
    , memory(aMemory)
    , requestMemory(aMemory)
    , host(aHost)
  {
  }

  // Starts to serve; does nothing for port 0. Fails with Unavailable when the address is in use.
  Result<void> Listen(const Endpoint& aEndpoint);

private:
  Awaitable<void> Serve(std::shared_ptr<CallerConnection> aChannel);

  ConnectionListener listener;
  const MetricsRegistry& registry;
  const MemoryBudget& memory;
  ImmediateRequestMemory requestMemory;
  const HostId& host;
};

} // namespace damasklink
