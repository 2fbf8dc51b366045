// Serves the HTTP calls of targets and operators at a control host, on its event loop.
#pragma once

#include <functional>
#include <memory>

#include "DepartureRecorder.h"
#include "ServingGroup.h"
#include "TargetTracker.h"
#include "WorkStatistics.h"
#include "damasklink/protocol/ServingDialect.h"
#include "damasklink/state/Metrics.h"
#include "damasklink/transport/CallerConnection.h"
#include "damasklink/transport/LingeringClose.h"

namespace damasklink {

// Heartbeats and departures go to the TargetTracker, changes and departures to the replicated log,
// and queries are answered from its state. Not thread-safe.
class ControlCallHandler
{
public:
  // aPublish sends changes of targets to entry hosts at once. The references must outlive this
  // object.
  ControlCallHandler(const Clock& aClock,
                     const ServingSettings& aSettings,
                     const ControlDialect& aDialect,
                     ServingGroup& aGroup,
                     TargetTracker& aTracker,
                     Metrics& aMetrics,
                     WorkStatistics& aAccount,
                     MemoryBudget& aMemory,
                     asio::io_context& aLoop,
                     std::function<void()> aPublish);

  // Serves the calls of one connection until it is closed.
  Awaitable<void> Serve(std::shared_ptr<CallerConnection> aChannel);

private:
  Awaitable<HttpResponseMessage> Answer(const HttpRequestMessage& aRequest);
  Result<ControlCall> Read(const HttpRequestMessage& aRequest);
  Awaitable<HttpResponseMessage> HandleChange(const ConfigChange& aChange);
  Awaitable<HttpResponseMessage> HandleRelease(const RequestRelease& aRelease);
  Awaitable<HttpResponseMessage> HandleWeights(const WeightVersionChange& aNamed);
  Awaitable<HttpResponseMessage> HandleEvacuation(const EvacuationChange& aChange);
  Awaitable<HttpResponseMessage> HandleConfigQuery();
  Awaitable<HttpResponseMessage> HandleHeartbeat(const TargetHeartbeat& aHeartbeat);
  Awaitable<HttpResponseMessage> HandleDeparture(const TargetDeparture& aDeparture);
  Awaitable<HttpResponseMessage> AcknowledgeDeparture(const TargetDeparture& aDeparture);
  HttpResponseMessage MakeTargetAnswer() const;
  HttpResponseMessage MakeCommitAnswer(const Result<ServingCommandResult>& aResult) const;

  const Clock& clock;
  const ServingSettings& settings;
  const ControlDialect& dialect;
  ServingGroup& group;
  TargetTracker& tracker;
  Metrics& metrics;
  WorkStatistics& account;
  ImmediateRequestMemory memory;
  std::function<void()> publishTargets;
  DepartureRecorder departures;
  LingeringClose lingering;
};

} // namespace damasklink
