// The life of requests on one host: callers, claims, admission, relay and shutdown.
#pragma once

#include "CallerService.h"
#include "ClaimClient.h"
#include "HostContext.h"
#include "ReuseSubsystem.h"
#include "damasklink/coordination/Replication.h"

namespace damasklink {

class TrafficSubsystem
{
public:
  TrafficSubsystem(const HostContext& aContext, Replicator& aGroups, ReuseSubsystem& aReuse);

  // Adds its modules to the control loop. Requires to be called before the loop starts.
  Result<void> Start();

  void AddRoutes(const HostServers& aServers);

  // Refuses new work as "not run" and returns once running requests have ended, or the limit of
  // the settings is over, or Hurry() was called, and the rest was ended with explicit errors.
  void Drain();

  // Ends a running Drain(), or the next one, at once. Safe from any thread.
  void Hurry() { this->state.StopNow(); }

private:
  const HostContext& context;
  ClaimClient claims;
  TrafficState state;
  AdmissionController admission;
  RelayContext relay;
  CallerService callers;
};

} // namespace damasklink
