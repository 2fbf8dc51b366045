// Reuse on one host: routing, block directory, store ownership and links.
#pragma once

#include "HostContext.h"
#include "ReuseService.h"
#include "StoresModule.h"
#include "SynchronizedRouter.h"
#include "damasklink/coordination/PromptReuse.h"
#include "damasklink/coordination/Replication.h"

namespace damasklink {

class ReuseSubsystem
{
public:
  ReuseSubsystem(const HostContext& aContext, Replicator& aGroups);
  // Requires that the control thread has stopped.
  ~ReuseSubsystem();
  ReuseSubsystem(const ReuseSubsystem&) = delete;
  ReuseSubsystem& operator=(const ReuseSubsystem&) = delete;

  SynchronizedRouter& Routing() { return this->routing; }
  PromptReuse& Reuse() { return this->reuse; }

  // Adds its modules to the control loop. Requires to be called before the loop starts.
  Result<void> Start();

  void AddRoutes(const HostServers& aServers);

private:
  HttpResponse HandleCacheEvent(const HttpRequest& aRequest);

  const HostContext& context;
  Replicator& groups;
  // Owned by the desk.
  CostRouter* router;
  SynchronizedRouter routing;
  StoreLeases leases;
  StoreAnswers answers;
  WorkThread work;
  StoresContext stores;
  StoresModule module;
  WorkThread keeper;
  ReuseService reuse;
};

} // namespace damasklink
