// What operators see of one host: health, readiness, metrics, burn, log level.
#pragma once

#include "HostContext.h"

namespace damasklink {

class OperatorPart
{
public:
  explicit OperatorPart(const HostContext& aContext);

  void AddRoutes(const HostServers& aServers);

private:
  const HostContext& context;
};

} // namespace damasklink
