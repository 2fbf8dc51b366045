// Relays one call of a caller to a target of its service, and the response back.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "EntryHostState.h"
#include "FirstConfiguration.h"
#include "TargetProbe.h"
#include "damasklink/coordination/CrashFilter.h"
#include "damasklink/coordination/EventFramer.h"
#include "damasklink/coordination/ExchangeRetryPolicy.h"
#include "damasklink/coordination/InterruptedRequests.h"
#include "damasklink/coordination/RegionRestriction.h"
#include "damasklink/coordination/RequestFingerprint.h"
#include "damasklink/coordination/RetryScheduler.h"
#include "damasklink/coordination/ServiceRetryBudgets.h"
#include "damasklink/coordination/SlowStoreDetector.h"
#include "damasklink/coordination/StartupRetryDelay.h"
#include "damasklink/coordination/TargetRateLimiter.h"
#include "damasklink/coordination/TargetRestPeriods.h"
#include "damasklink/coordination/TargetSelector.h"
#include "damasklink/protocol/ServingDialect.h"
#include "damasklink/state/Metrics.h"
#include "damasklink/transport/CallerConnection.h"
#include "damasklink/transport/TargetConnection.h"

namespace damasklink {

// What all exchanges of one entry host share. Everything that it refers to outlives the exchanges.
struct EntryContext
{
  asio::io_context& loop;
  const Clock& clock;
  const ServingSettings& settings;
  const CallDialect& dialect;
  Metrics& metrics;
  EntryHostState& state;
  FirstConfiguration& firstConfiguration;
  ServiceRetryBudgets& retries;
  TargetHealth& health;
  ZoneReachability& reachability;
  TargetSelector& picker;
  TargetConnectionPool& pool;
  SlowStoreDetector& slowStores;
  StartupRetryDelay& startupDelay;
  RetryScheduler& retryScheduler;
  TargetProbe& probe;
  CrashFilter& crashFilter;
  InterruptedRequests& interrupted;
  TargetRateLimiter& limits;
  TargetRestPeriods& rests;
  MonotonicTime started;
  // Sends this host's load report to its hub at once, not only at the next interval.
  std::function<void()> reportLoad;
  // Set once the process stops: callers' connections are then closed after their responses.
  bool shuttingDown = false;
};

// Relays one request: resolves its route, selects targets, forwards bytes, and answers the caller
// when no target does. ExchangeRetryPolicy decides what follows after each attempt.
//
//   Exchange exchange(context, callerChannel, std::move(request));
//   const bool reusable = co_await exchange.Run();
//
// Runs on the event loop's thread only. The connection must outlive the exchange.
class Exchange
{
public:
  Exchange(EntryContext& aContext, CallerConnection& aCaller, HttpRequestMessage aRequest);
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  // Answers the request. Returns whether the caller's connection can take another request.
  Awaitable<bool> Run();

private:
  // Why the exchange cancelled its pending operations.
  enum class Interrupt
  {
    None,
    Expired,
    CallerLeft,
  };

  // A complete response of a target: read to its end before anything of it is forwarded.
  struct BufferedResponse
  {
    HttpResponseHead head;
    std::string body;
  };

  Awaitable<void> AwaitConfiguration();
  std::optional<CallerError> Resolve();
  // Sets allowedRegions. Returns the refusal when they leave no zone to send the call to.
  std::optional<CallerError> ResolveAllowedRegions();
  Awaitable<bool> Relay();
  Awaitable<AttemptResult> Attempt(const TargetRecord& aTarget);
  Awaitable<AttemptResult> SendAndReceive(const TargetRecord& aTarget);
  Awaitable<Result<HttpResponseHead>> ReadMatchingHead(const TargetRecord& aTarget);
  Awaitable<AttemptResult> HandleResponse(const TargetRecord& aTarget, HttpResponseHead aHead);
  Awaitable<AttemptResult> ForwardWholeResponse(HttpResponseHead aHead);
  Awaitable<AttemptResult> ForwardStream(const TargetRecord& aTarget, HttpResponseHead aHead);
  Awaitable<bool> ForwardEvents(const HttpResponseHead& aHead, std::string_view aEvents);
  Awaitable<bool> Finish(ExchangeStep aStep);
  Awaitable<bool> RespondWithError(const CallerError& aError);
  Awaitable<std::unique_ptr<TargetConnection>> Connect(const TargetRecord& aTarget);
  // Records whether the target's zone was reached, and logs when the zone becomes unreachable.
  void RecordReachability(const TargetRecord& aTarget, HealthSignal aSignal);
  const TargetRecord* ChooseTarget();
  // Returns the usable targets of the call's service in allowed regions.
  const std::vector<TargetRecord>& Targets();
  TargetCall CallFor(const TargetRecord& aTarget);
  void AddPartTransfers(const TargetRecord& aTarget, TargetCall& aTo);
  void LogPromptSent(const TargetRecord& aTarget, const TargetCall& aCall) const;
  void ObserveFirstEvent(const TargetRecord& aTarget);
  void ObserveSlotTime();
  CrashReport MakeCrashReport(const TargetRecord& aTarget);
  void OnAttemptBroken(const TargetRecord& aTarget);
  void OnAttemptWithoutResponse(const TargetRecord& aTarget);
  // Returns whether the target had surely begun this attempt when it broke off.
  bool WasSurelyRunning() const;
  // Records, logs and counts what a response says about the availability of its target.
  void ObserveNotices(const TargetRecord& aTarget, const TargetResponseInfo& aFacts);
  // Records the rate limit that a response names for its target.
  void ObserveRateLimit(const TargetRecord& aTarget, const TargetResponseInfo& aFacts);
  // Sets the targets of the service that this host has no rate permit for at the moment.
  void UpdateRateLimited();
  // Returns whether the target has neither left nor asked for rest since it was chosen.
  bool StillTakesCalls(const TargetRecord& aTarget) const;
  // Returns the time until one of the targets that the call may begin on has rested; zero if one of
  // them does not rest.
  Duration TimeUntilRested();
  // Returns the Retry-After of a call that no target took.
  Duration RefusalRetryDelay();
  void ReportSuccessfulRun();
  // Computed on first use, since no call needs it while no target crashes.
  RequestFingerprint Fingerprint();
  // Returns whether the request is known to crash targets, so that it must not be sent.
  bool IsKnownToCrash();
  void PrepareSelection(std::uint64_t aWeights);
  std::uint64_t NewestWeightVersion();
  void OnInterrupt(Interrupt aReason);
  AttemptResult ResultOfInterrupt() const;
  bool ShouldCloseCallerConnection() const;
  Duration TimeLeft() const;
  int Priority() const;
  bool CanServeInTime(const TargetRecord& aTarget);
  bool IsExpectedInTime(const TargetRecord& aTarget) const;
  void LogOverload(const TargetRecord& aBest) const;
  HealthSignal HealthSignalOf(AttemptResult aResult) const;
  void Count(int aStatus, Duration aTook) const;
  void LogEnd(std::string_view aOutcome, int aStatus) const;

  EntryContext& context;
  CallerConnection& caller;
  HttpRequestMessage request;
  MonotonicTime arrived;

  // Set by Resolve(). Shared, since a newer table may replace it while this call runs.
  std::shared_ptr<const RouteTable> routes;
  const ServingRoute* route = nullptr;
  const WorkspaceEntry* workspace = nullptr;
  CallerRequest call;
  ServiceName service;
  RegionRestriction allowedRegions;
  // The result of Targets() where regions are restricted.
  std::vector<TargetRecord> allowedTargets;
  SelectionRequest selection;
  CacheScope scope;
  std::uint64_t weights = 0;

  std::optional<RequestFingerprint> fingerprint;
  std::optional<ExchangeRetryPolicy> plan;
  std::optional<Watchdog> deadline;
  std::unique_ptr<TargetConnection> channel;
  CallLoad load;
  // Slow stores that this call does not fetch from.
  std::set<std::string> avoidedStores;
  // The store that holds the largest part fetched for this attempt; empty for none.
  std::string fetchedFrom;
  // When this attempt was sent; the default value before that.
  MonotonicTime sentAt;
  MonotonicTime firstEventAt;
  // Whether the target of this attempt has begun its response.
  bool responseBegun = false;
  Interrupt interrupt = Interrupt::None;
  EventFramer framer;
  // The last response of a target with status 500 or above.
  std::optional<BufferedResponse> failedResponse;
  AttemptResult lastResult = AttemptResult::Unreachable;
  // Whether the target of this attempt did not acknowledge what was sent.
  bool unacknowledged = false;
  // Whether the target refused the connection of this attempt, which proves its zone reachable.
  bool refused = false;
  // Whether no target is expected to answer in time.
  bool overloaded = false;
  // Whether an attempt brought a complete successful response.
  bool succeeded = false;
};

} // namespace damasklink
