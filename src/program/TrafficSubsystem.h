// Handling of requests on one host: callers' API, claims, admission, relays and draining.
#pragma once

#include "CallerService.h"
#include "ClaimClient.h"
#include "HostContext.h"
#include "ReuseSubsystem.h"
#include "damasklink/coordination/Replication.h"

namespace damasklink {

// Owns the modules that handle the requests of callers. Start() and AddRoutes() are called once,
// before the control loop and the servers start.
class TrafficSubsystem
{
public:
  TrafficSubsystem(const HostContext& aContext, Replicator& aGroups, ReuseSubsystem& aReuse);

  // Adds the modules to the control loop. To be called before the loop starts.
  Result<void> Start();

  void AddRoutes(const HostServers& aServers);

  // Refuses new requests as "not run" and waits for running ones to end. After limits.shutdown of
  // the settings, or after Hurry(), the remaining ones are ended with explicit errors.
  void Drain();

  // Makes a running Drain(), or the next one, stop waiting. Thread-safe.
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
