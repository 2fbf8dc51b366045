// Answers the calls of targets and operators at a control host, on its event loop.
#pragma once

#include <functional>
#include <memory>

#include "ServingGroup.h"
#include "TargetTracker.h"
#include "WorkAccount.h"
#include "damasklink/protocol/ServingDialect.h"
#include "damasklink/state/Metrics.h"
#include "damasklink/transport/CallerChannel.h"

namespace damasklink {

class ControlCallHandler
{
public:
  // aPublish tells entry hosts at once what has changed. Requires that all outlive this object.
  ControlCallHandler(const Clock& aClock,
                     const ServingSettings& aSettings,
                     const ControlDialect& aDialect,
                     ServingGroup& aGroup,
                     TargetTracker& aTracker,
                     Metrics& aMetrics,
                     WorkAccount& aAccount,
                     std::function<void()> aPublish);

  // Serves one connection until it ends.
  Awaitable<void> Serve(std::shared_ptr<CallerChannel> aChannel);

private:
  Awaitable<HttpAnswerMessage> Answer(const HttpRequestMessage& aRequest);
  Result<ControlCall> Read(const HttpRequestMessage& aRequest);
  Awaitable<HttpAnswerMessage> HandleChange(const ConfigChange& aChange);
  Awaitable<HttpAnswerMessage> HandleRelease(const RequestRelease& aRelease);
  Awaitable<HttpAnswerMessage> HandleWeights(const WeightsNamed& aNamed);
  Awaitable<HttpAnswerMessage> HandleEvacuation(const EvacuationChange& aChange);
  Awaitable<HttpAnswerMessage> HandleConfigQuery();
  HttpAnswerMessage HandleHeartbeat(const TargetHeartbeat& aHeartbeat);
  HttpAnswerMessage HandleDeparture(const TargetDeparture& aDeparture);
  HttpAnswerMessage MakeTargetAnswer() const;
  HttpAnswerMessage MakeCommitAnswer(const Result<ServingCommandResult>& aResult) const;

  const Clock& clock;
  const ServingSettings& settings;
  const ControlDialect& dialect;
  ServingGroup& group;
  TargetTracker& tracker;
  Metrics& metrics;
  WorkAccount& account;
  std::function<void()> publishTargets;
};

} // namespace damasklink
