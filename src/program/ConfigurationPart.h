// Wires up configuration, membership of hosts and targets, and orders to targets on one host.
#pragma once

#include "ConfigurationApi.h"
#include "ConfigurationModule.h"
#include "HostContext.h"
#include "MembershipModule.h"
#include "OrdersModule.h"
#include "TargetsModule.h"
#include "damasklink/coordination/Replication.h"

namespace damasklink {

// Start() is called before the control loop starts; HTTP handlers run on the servers' threads.
class ConfigurationPart
{
public:
  // The context and the replicator must outlive this object.
  ConfigurationPart(const HostContext& aContext, Replicator& aGroups);

  // Loads the initial and the stored tree, and adds its modules to the control loop. Must be called
  // before the loop starts. Fails if one of the trees cannot be read.
  Result<void> Start();

  void AddRoutes(const HostServers& aServers);

  // Waits until a tree is in force, for a few seconds at most, so that a host knows its callers
  // when it reports that it has started. The control thread and the links between hosts must be
  // running.
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
