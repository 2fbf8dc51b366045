// Answers the calls of targets and operators at a control host, on its event loop.
#pragma once

#include <functional>
#include <memory>

#include "ControlPicture.h"
#include "ServingGroup.h"
#include "WorkStatistics.h"
#include "damasklink/protocol/ServingDialect.h"
#include "damasklink/state/Metrics.h"
#include "damasklink/transport/CallerChannel.h"

namespace damasklink {

class ControlCalls
{
public:
  // aSpread tells entry hosts at once what has changed. Requires that all outlive this object.
  ControlCalls(const Clock& aClock,
               const ServingSettings& aSettings,
               const ControlDialect& aDialect,
               ServingGroup& aGroup,
               ControlPicture& aPicture,
               Metrics& aMetrics,
               WorkStatistics& aAccount,
               std::function<void()> aSpread);

  // Serves one connection until it ends.
  Awaitable<void> Serve(std::shared_ptr<CallerChannel> aChannel);

private:
  Awaitable<HttpAnswerMessage> Answer(const HttpRequestMessage& aRequest);
  Result<ControlCall> Read(const HttpRequestMessage& aRequest);
  Awaitable<HttpAnswerMessage> TakeChange(const ConfigChange& aChange);
  Awaitable<HttpAnswerMessage> TakeRelease(const RequestRelease& aRelease);
  Awaitable<HttpAnswerMessage> TakeWeights(const WeightsNamed& aNamed);
  Awaitable<HttpAnswerMessage> TakeEvacuation(const EvacuationChange& aChange);
  Awaitable<HttpAnswerMessage> AnswerQuestion();
  HttpAnswerMessage TakeHeartbeat(const TargetHeartbeat& aHeartbeat);
  HttpAnswerMessage TakeDeparture(const TargetDeparture& aDeparture);
  HttpAnswerMessage AnswerTarget() const;
  HttpAnswerMessage AnswerCommit(const Result<ServingCommandResult>& aStanding) const;

  const Clock& clock;
  const ServingSettings& settings;
  const ControlDialect& dialect;
  ServingGroup& group;
  ControlPicture& picture;
  Metrics& metrics;
  WorkStatistics& account;
  std::function<void()> spread;
};

} // namespace damasklink
