// Prompt reuse on one host: routing, block directories, leases of stores, imports and exports.
#pragma once

#include "HostContext.h"
#include "ReuseService.h"
#include "StoresModule.h"
#include "SynchronizedRouter.h"
#include "damasklink/coordination/PromptReuse.h"
#include "damasklink/coordination/Replication.h"

namespace damasklink {

// Owns the modules and threads of prompt reuse. Start() and AddRoutes() are called once, before the
// servers and the control loop start.
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

  // Adds the modules to the control loop. To be called before the loop starts.
  Result<void> Start();

  void AddRoutes(const HostServers& aServers);

private:
  HttpResponse HandleCacheEvent(const HttpRequest& aRequest);

  const HostContext& context;
  Replicator& groups;
  // Owned by `routing`.
  CostRouter* router;
  SynchronizedRouter routing;
  StoreLeases leases;
  StoreAnswers answers;
  // Calls stores and engines for the module.
  WorkThread work;
  StoresContext stores;
  StoresModule module;
  // Exports answered prompts to stores.
  WorkThread exporter;
  ReuseService reuse;
};

} // namespace damasklink
