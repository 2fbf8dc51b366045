// Finds out by connections whether this host reaches the targets of a service.
//
//   ServiceProber prober(loop, clock, dialect, state, paths, handlers);
//   prober.Probe(service);        // After a failed connection or a long silence.
//   prober.ProbeUnreachable();    // Periodically.
//   prober.CheckTarget(record);   // A target did not acknowledge a request.
//
// Not thread-safe.
#pragma once

#include <functional>
#include <memory>
#include <random>
#include <set>

#include "EntryHostState.h"
#include "damasklink/coordination/ServiceReachability.h"
#include "damasklink/protocol/ServingDialect.h"
#include "damasklink/transport/TargetConnection.h"

namespace damasklink {

class ServiceProber
{
public:
  struct Handlers
  {
    // A service became unreachable or reachable.
    std::function<void(const ServiceName&, ReachabilityChange)> onChange;
    // The target accepted no connection.
    std::function<void(const TargetId&)> onTargetUnreachable;
  };

  // All arguments must outlive the prober, and the prober must outlive the loop's run.
  ServiceProber(asio::io_context& aLoop,
                const Clock& aClock,
                const CallDialect& aDialect,
                EntryHostState& aState,
                ServiceReachability& aPaths,
                Handlers aHandlers,
                std::uint64_t aSeed)
    : loop(aLoop)
    , clock(aClock)
    , dialect(aDialect)
    , state(aState)
    , paths(aPaths)
    , handlers(std::move(aHandlers))
    , random(aSeed)
  {
  }

  // Connects to a few random targets of the service, unless that is being done or was just done.
  void Probe(const ServiceName& aService);

  // Probes the unreachable services that are due.
  void ProbeUnreachable();

  // Connects to the target. Calls for a target share the check that is running.
  void CheckTarget(const TargetRecord& aTarget);

private:
  // One probe of a service.
  struct Round
  {
    ServiceName service;
    // The health check of the service; empty if an accepted connection is enough.
    std::string healthPath;
    std::size_t pending = 0;
    bool over = false;
  };

  Awaitable<void> RunProbe(std::shared_ptr<Round> aRound, TargetRecord aTarget);
  Awaitable<bool> IsReached(TargetRecord aTarget, std::string aHealthPath);
  Awaitable<void> RunCheck(TargetRecord aTarget);
  void EndRound(Round& aRound, bool aReached);
  std::string RequiredHealthPath(const ServiceName& aService) const;

  asio::io_context& loop;
  const Clock& clock;
  const CallDialect& dialect;
  EntryHostState& state;
  ServiceReachability& paths;
  Handlers handlers;
  std::minstd_rand random;
  std::set<TargetId> checking;
};

} // namespace damasklink
