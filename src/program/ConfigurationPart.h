// Configuration, membership of hosts and targets, and orders to targets, on one host.
#pragma once

#include "HostContext.h"
#include "TargetsModule.h"
#include "damasklink/coordination/Replication.h"

namespace damasklink {

class ConfigurationPart
{
public:
  ConfigurationPart(const HostContext& aContext, Replicator& aGroups);

  // Loads what must be there before traffic and adds its modules to the control loop. Requires to
  // be called before the loop starts.
  Result<void> Start();

  void AddRoutes(const HostServers& aServers);

private:
  HttpResponse TakeAnnouncement(const HttpRequest& aRequest);

  const HostContext& context;
  Replicator& groups;
  TargetsModule targets;
};

} // namespace damasklink
