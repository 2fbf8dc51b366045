// Agreement of one host: the replicas of its groups and the way to all others.
#pragma once

#include "AgreementModule.h"
#include "HostContext.h"
#include "damasklink/coordination/Replication.h"

namespace damasklink {

class AgreementSubsystem
{
public:
  explicit AgreementSubsystem(const HostContext& aContext);

  Replicator& Groups() { return this->module; }

  // Opens the data folder and adds the module to the control loop. Requires to be called before
  // the loop starts. Fails when the data folder is damaged or in use.
  Result<void> Start();

  void AddRoutes(const HostServers& aServers);

private:
  const HostContext& context;
  AgreementModule module;
};

} // namespace damasklink
