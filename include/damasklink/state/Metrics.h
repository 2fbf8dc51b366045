// What the system counts and measures, by name; the interface that every part records through.
#pragma once

#include <cstddef>
#include <string>

#include "damasklink/state/Clock.h"
#include "damasklink/state/Ids.h"

namespace damasklink {

// Things that only grow.
enum class Counter
{
  Requests,
  Refusals, // kind: the error kind.
  Failures, // kind: the error kind.
  Retries,
  PromptTokens,
  ReusedTokens,
  RecomputedTokens, // Computed again although they had been computed before.
  AnswerTokens,
  LinkBytesIn,  // Imports, store to engine.
  LinkBytesOut, // Exports, engine to store.
  ClaimsTaken,
  ClaimsRepeated,
  ConfigChanges,
  Elections,
  Orders,
  PeerBytesOut,        // kind: of work, or a channel.
  PeerBytesIn,         // The same.
  PeerMessagesOut,     // The same.
  PeerMessagesIn,      // The same.
  WorkMicroseconds,    // kind: of work.
  Evacuations,         // kind: evacuated or returned, a zone.
  TargetNotices,       // kind: rest or leaving, as answers of targets stated.
  SnapshotsEncoded,    // Messages about all targets, encoded for hosts that connect.
  FailedConnects,      // To targets; kind: refused or unanswered, a service.
  ServiceReachability, // kind: lost or regained, a service.
  ForwardedCalls,      // Handed to other entry hosts; kind: how that ended.
  ForwardingDeclines,  // By other entry hosts; kind: the reason.
  ServedForwards,      // Calls run for other entry hosts.
  ConnectionEnds,      // Of callers; kind: the reason.
  LingeringCloses,     // Of callers' connections; kind: how they ended.
  CrashReports,        // Requests that ran on a target when it ended.
  ClosedUnread,        // Connections of callers that were closed before anything was read.
  SilentAttempts,      // Whose target was silent; kind: why another way was looked for.
  StandbyAttempts,     // Made beside silent ones; kind: how they ended.
  ResumedStreams,      // Sent to a target to go on; kind: caller or host, whoever resumed it.
  MemoryRefusals,      // Requests refused for want of memory; kind: why at that moment.
  RoomWaits,           // Calls that waited for room at a target; kind: how the wait ended.
  Hedges,              // Second tries beside slow ones; kind: how they ended, or why none was made.
};

// How many counters there are; follows the last one.
constexpr std::size_t kCounterCount = static_cast<std::size_t>(Counter::Hedges) + 1;

// Durations of which quantiles are kept.
enum class Sample
{
  FirstToken,
  BetweenTokens,
  WholeRequest,
  QueueWait,
  ClaimWait,
  ConfigSpread,
  RouteChoice,
  RoomWait,      // For room at a target, at the host.
  MemberCatchUp, // Of a replica that lagged behind its leader; kind: the group.
};

// How many samples there are; follows the last one.
constexpr std::size_t kSampleCount = static_cast<std::size_t>(Sample::MemberCatchUp) + 1;

// Which series: either field may be empty.
struct MetricKey
{
  WorkspaceId workspace;
  std::string kind;

  auto operator<=>(const MetricKey&) const = default;
};

// Takes what is recorded. Safe from any thread; never waits for I/O.
class Metrics
{
public:
  virtual ~Metrics() = default;

  virtual void Add(Counter aCounter, const MetricKey& aKey, std::uint64_t aAmount) = 0;
  virtual void Observe(Sample aSample, const MetricKey& aKey, Duration aValue) = 0;

  // Counts one request against the workspace's service-level objective.
  virtual void CountServiceLevel(const WorkspaceId& aWorkspace, bool aGood) = 0;
};

// Records nothing; for tests and benches.
class NoMetrics final : public Metrics
{
public:
  void Add(Counter /*aCounter*/, const MetricKey& /*aKey*/, std::uint64_t /*aAmount*/) override {}
  void Observe(Sample /*aSample*/, const MetricKey& /*aKey*/, Duration /*aValue*/) override {}
  void CountServiceLevel(const WorkspaceId& /*aWorkspace*/, bool /*aGood*/) override {}
};

} // namespace damasklink
