// Records metrics of one request of a caller.
#pragma once

#include <optional>

#include "damasklink/coordination/StreamAssembler.h"
#include "damasklink/protocol/ErrorBody.h"
#include "damasklink/state/ConfigTree.h"
#include "damasklink/state/Metrics.h"

namespace damasklink {

// The constructor counts the request as arrived; OnEngineAnswer(), OnServiceResponse() or
// OnFailure() is called at its end. Not thread-safe.
//
//   RequestMeter meter(metrics, clock, policy);
//   meter.OnTokens(1);
//   meter.OnEngineAnswer(usage);     // Or OnFailure(error).
class RequestMeter
{
public:
  RequestMeter(Metrics& aMetrics, const Clock& aClock, const ResolvedPolicy& aPolicy);

  // Counts tokens that arrived for the caller. The first call sets the time to the first token.
  void OnTokens(std::uint64_t aTokens);

  // Counts a retry.
  void OnRetry();

  // Records the complete answer of an engine.
  void OnEngineAnswer(const AnswerUsage& aUsage);

  // Records a complete response without token usage: of a service, or a stored one that is
  // replayed.
  void OnServiceResponse();

  // Records a refusal or failure. Errors of the caller, such as a wrong key, don't count against
  // the service level.
  void OnFailure(const CallerError& aError);

  // Returns when the request arrived.
  MonotonicTime Begun() const { return this->begun; }

private:
  MetricKey Key(std::string_view aKind = "") const;
  void End(bool aComplete);

  Metrics& metrics;
  const Clock& clock;
  WorkspaceId workspace;
  ServiceLevel level;
  MonotonicTime begun;
  std::optional<MonotonicTime> firstToken;
  std::uint64_t tokens = 0;
};

} // namespace damasklink
