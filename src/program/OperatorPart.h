// The operators' API of one host: health, readiness, metrics, burn rates and log level.
#pragma once

#include "HostContext.h"
#include "damasklink/coordination/ServiceLevelWindows.h"
#include "damasklink/state/MetricsRegistry.h"

namespace damasklink {

// Adds its routes to the operators' address. All but /healthz and /readyz require an operator key.
// Handlers run on the server's threads.
class OperatorPart
{
public:
  // The references must outlive this object.
  OperatorPart(const HostContext& aContext,
               const MetricsRegistry& aMetrics,
               const ServiceLevelWindows& aServiceLevels);

  void AddRoutes(const HostServers& aServers);

private:
  HttpResponse Readiness() const;
  HttpResponse ServeMetrics() const;
  HttpResponse ServeBurn() const;
  HttpResponse ChangeLogLevel(const HttpRequest& aRequest) const;

  const HostContext& context;
  const MetricsRegistry& metrics;
  const ServiceLevelWindows& serviceLevels;
};

} // namespace damasklink
