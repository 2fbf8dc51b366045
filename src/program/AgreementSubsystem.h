// Agreement on one host: the replicas of its groups, and proposals to all other groups.
#pragma once

#include "AgreementModule.h"
#include "HostContext.h"
#include "damasklink/coordination/Replication.h"

namespace damasklink {

// Owns the AgreementModule of a host.
class AgreementSubsystem
{
public:
  explicit AgreementSubsystem(const HostContext& aContext);

  Replicator& Groups() { return this->module; }

  // Opens the data folder and adds the module to the control loop. To be called before the loop
  // starts. Fails when the data folder is damaged or in use.
  Result<void> Start();

  void AddRoutes(const HostServers& aServers);

private:
  const HostContext& context;
  AgreementModule module;
};

} // namespace damasklink
