// Reuse on one host: routing, block directory, store ownership and links.
#pragma once

#include "HostContext.h"
#include "RoutingDesk.h"
#include "damasklink/coordination/PromptReuse.h"
#include "damasklink/coordination/Replication.h"

namespace damasklink {

class ReusePart
{
public:
  ReusePart(const HostContext& aContext, Replicator& aGroups);

  RoutingDesk& Routing() { return this->routing; }
  PromptReuse& Reuse() { return this->reuse; }

  // Adds its modules to the control loop. Requires to be called before the loop starts.
  Result<void> Start();

  void AddRoutes(const HostServers& aServers);

private:
  const HostContext& context;
  Replicator& groups;
  RoutingDesk routing;
  NoReuse reuse;
};

} // namespace damasklink
