// Records what one request of a caller cost and how it went.
#pragma once

#include <optional>

#include "damasklink/coordination/StreamAssembler.h"
#include "damasklink/protocol/ErrorBody.h"
#include "damasklink/state/ConfigTree.h"
#include "damasklink/state/Metrics.h"

namespace damasklink {

// Counts a request from its arrival to its end. Not thread-safe.
//
//   RequestMeter meter(metrics, clock, policy);
//   meter.OnTokens(1);
//   meter.OnWhole(usage);      // Or OnFailure(error).
class RequestMeter
{
public:
  RequestMeter(Metrics& aMetrics, const Clock& aClock, const ResolvedPolicy& aPolicy);

  // Notes tokens that came for the caller.
  void OnTokens(std::uint64_t aTokens);

  // Notes a retry.
  void OnRetry();

  // Notes a whole answer of an engine.
  void OnWhole(const AnswerUsage& aUsage);

  // Notes a whole answer of a service.
  void OnServed();

  // Notes a refusal or failure. What the caller itself did wrong does not count against the
  // service level.
  void OnFailure(const CallerError& aError);

  MonotonicTime Begun() const { return this->begun; }

private:
  MetricKey Key(std::string_view aKind = "") const;
  void End(bool aWhole);

  Metrics& metrics;
  const Clock& clock;
  WorkspaceId workspace;
  ServiceLevel level;
  MonotonicTime begun;
  std::optional<MonotonicTime> firstToken;
  std::uint64_t tokens = 0;
};

} // namespace damasklink
