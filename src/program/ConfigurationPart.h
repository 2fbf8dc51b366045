// Configuration, membership of hosts and targets, and orders to targets, on one host.
#pragma once

#include "ConfigurationApi.h"
#include "ConfigurationModule.h"
#include "HostContext.h"
#include "MembershipModule.h"
#include "OrdersModule.h"
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

  // Waits until a tree is in force, a few seconds at most: a host that is announced as started
  // should know its callers. Requires the control thread and the links between hosts to run.
  void AwaitFirstTree() const;

private:
  Result<void> LoadInitialTree();
  HttpResponse TakeAnnouncement(const HttpRequest& aRequest);
  void FillStatus(HostStatus& aStatus) const;

  const HostContext& context;
  HostMembership membership;
  ConfigurationModule configuration;
  MembershipModule heartbeats;
  TargetsModule targets;
  OrdersModule orders;
  ConfigurationApi api;
};

} // namespace damasklink
