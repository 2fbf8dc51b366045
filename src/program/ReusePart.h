// Reuse on one host: routing, block directory, store ownership and links.
#pragma once

#include "HostContext.h"
#include "ReuseService.h"
#include "RoutingDesk.h"
#include "StoresModule.h"
#include "damasklink/coordination/PromptReuse.h"
#include "damasklink/coordination/Replication.h"

namespace damasklink {

class ReusePart
{
public:
  ReusePart(const HostContext& aContext, Replicator& aGroups);
  // Requires that the control thread has stopped.
  ~ReusePart();
  ReusePart(const ReusePart&) = delete;
  ReusePart& operator=(const ReusePart&) = delete;

  RoutingDesk& Routing() { return this->routing; }
  PromptReuse& Reuse() { return this->reuse; }

  // Adds its modules to the control loop. Requires to be called before the loop starts.
  Result<void> Start();

  void AddRoutes(const HostServers& aServers);

private:
  HttpResponse TakeCacheEvent(const HttpRequest& aRequest);

  const HostContext& context;
  Replicator& groups;
  // Owned by the desk.
  CostRouter* router;
  RoutingDesk routing;
  StoreLeases leases;
  StoreAnswers answers;
  WorkThread work;
  StoresContext stores;
  StoresModule module;
  WorkThread keeper;
  ReuseService reuse;
};

} // namespace damasklink
