// Relays one call of a caller to a target of its service, and the response back.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "CallForwarder.h"
#include "EntryHostState.h"
#include "FirstConfiguration.h"
#include "RoomWaiters.h"
#include "ServiceProber.h"
#include "StandbyAttempt.h"
#include "StreamOriginResolver.h"
#include "TargetProbe.h"
#include "damasklink/coordination/BrittleTargetLimiter.h"
#include "damasklink/coordination/CallRank.h"
#include "damasklink/coordination/CrashFilter.h"
#include "damasklink/coordination/EventFramer.h"
#include "damasklink/coordination/ExchangeRetryPolicy.h"
#include "damasklink/coordination/HedgeBudget.h"
#include "damasklink/coordination/HedgePolicy.h"
#include "damasklink/coordination/InterruptedRequests.h"
#include "damasklink/coordination/RegionRestriction.h"
#include "damasklink/coordination/RequestFingerprint.h"
#include "damasklink/coordination/ResponseBuffer.h"
#include "damasklink/coordination/RetryScheduler.h"
#include "damasklink/coordination/ServiceReachability.h"
#include "damasklink/coordination/ServiceRetryBudgets.h"
#include "damasklink/coordination/SlowStoreDetector.h"
#include "damasklink/coordination/StartupRetryDelay.h"
#include "damasklink/coordination/StopAdmission.h"
#include "damasklink/coordination/TargetRateLimiter.h"
#include "damasklink/coordination/TargetRestPeriods.h"
#include "damasklink/coordination/TargetSelector.h"
#include "damasklink/coordination/TargetTurns.h"
#include "damasklink/coordination/UnconfirmedCrashReports.h"
#include "damasklink/protocol/ServingDialect.h"
#include "damasklink/state/Metrics.h"
#include "damasklink/transport/CallerChannel.h"
#include "damasklink/transport/TargetConnection.h"

namespace damasklink {

class Exchange;

// What all exchanges of one entry host share. Everything that it refers to outlives the exchanges.
struct EntryContext
{
  asio::io_context& loop;
  const Clock& clock;
  MemoryBudget& memory;
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
  ServiceReachability& paths;
  ServiceProber& prober;
  UnconfirmedCrashReports& unconfirmedCrashes;
  CallForwarder& forwarder;
  BrittleTargetLimiter& brittle;
  StreamOriginTable& origins;
  StreamOriginResolver& originResolver;
  StopAdmission& stopping;
  TargetTurns& turns;
  RoomWaiters& room;
  MonotonicTime started;
  // Sends this host's load report to its hub at once, not only at the next interval.
  std::function<void()> reportLoad;
  // Set once the process stops: callers' connections are then closed after their responses.
  bool shuttingDown = false;
  // The host is overloaded: callers' connections are closed after their responses, too, so that
  // they come back at other hosts.
  bool overloaded = false;
  // Exchanges that have sent their request to a target and wait for its answer.
  std::set<Exchange*> waiting;
  // Exchanges whose route is known and whose response is not complete.
  std::set<Exchange*> inProgress;
  // Calls that look for another way, and connections that are being made for them.
  std::size_t standbys = 0;
  std::map<ServiceName, std::size_t> standbyConnections = {};
  // Services most of whose targets are loaded.
  std::set<ServiceName> crowded = {};
  // Both off unless the operator sets a share.
  HedgePolicy hedgePolicy = {};
  HedgeBudgets hedges = {};
};

// What is left of the limits of a call that another entry host forwarded to this one.
struct ForwardedLimits
{
  Duration timeLeft{ 0 };
  // Number of targets that the call may still be sent to.
  std::uint64_t sendsLeft = 0;
  // The last event that the caller has received of a stream that is resumed.
  std::optional<std::uint64_t> lastEvent;
  // The software version that the call's target must have.
  std::optional<SoftwareVersion> software;
};

// Relays one request: resolves its route, selects targets, forwards bytes, and answers the caller
// when no target does. ExchangeRetryPolicy decides what follows after each attempt. While this host
// reaches no target of the service, the call is forwarded to another entry host instead.
//
//   Exchange exchange(context, callerChannel, std::move(request));
//   const bool reusable = co_await exchange.Run();
//
// Runs on the event loop's thread only. The connection must outlive the exchange.
class Exchange
{
public:
  // aForwarded is set for a call that another host forwarded; it is not forwarded again.
  Exchange(EntryContext& aContext,
           CallerChannel& aCaller,
           HttpRequestMessage aRequest,
           std::optional<ForwardedLimits> aForwarded = std::nullopt);
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  // Answers the request. Returns whether the caller's connection can take another request.
  Awaitable<bool> Run();

  // To be called regularly while the exchange is among the waiting ones. Checks a target that stays
  // silent, and starts a standby attempt if the whole service is unreachable.
  void CheckSilence();

  // The target accepts no connections. Starts a standby attempt if the call waits for this target.
  // A call that may not be repeated waits on, since the target may have it.
  void OnTargetUnreachable(const TargetId& aTarget);

  // The stopping host waits no longer for targets. Ends a stream that has begun without its rest,
  // and answers any other call unless its response is complete already.
  void OnStopLimit();

  // Gives back the memory of a body that was sent to its end, after which the call can't be sent to
  // another target. Returns how many bytes that are.
  std::size_t GiveBackBody();

  // Logs that the host stops before the response was sent to its end.
  void LogCutAtStop(std::string_view aOutcome) const;

private:
  // Why the exchange cancelled its pending operations.
  enum class Interrupt
  {
    None,
    Expired,
    CallerLeft,
    HostStops,
  };

  // Copies of a body that exist while it is encoded for another host.
  static constexpr std::size_t kForwardingCopies = 3;

  // Where a call goes next: to another host, to a target, or nowhere.
  struct NextDestination
  {
    std::optional<HostId> host;
    const TargetRecord* target = nullptr;
  };

  // A complete response of a target: read to its end before anything of it is forwarded.
  struct BufferedResponse
  {
    HttpResponseHead head;
    CountedBuffer body;
  };

  Awaitable<void> AwaitConfiguration();
  std::optional<CallerError> Resolve();
  // Sets allowedRegions. Returns the refusal when they leave no zone to send the call to.
  std::optional<CallerError> ResolveAllowedRegions();
  // Finds the software version that a resumed stream must continue on, and its service. Returns the
  // refusal if they are not known.
  Awaitable<std::optional<CallerError>> ResolveOrigin();
  // Returns the refusal if this host stops before the call is expected to end.
  std::optional<CallerError> RefusalAtStop();
  // Learns how long a call takes that a target has answered.
  void LearnCallTime();
  bool MayContinueAt(const ServiceName& aService) const;
  bool HasOnlyVersion(const SoftwareVersion& aSoftware) const;
  // Records which software version has begun the stream, for callers that resume it elsewhere.
  void RecordOrigin();
  Awaitable<bool> Relay();
  Awaitable<ExchangeStep> AttemptNext();
  // Makes one attempt and sets lastResult. Returns false if there is no target and no other host.
  Awaitable<bool> AttemptOnce();
  // Returns whether the call was refused only because connections failed, and another host may
  // still take it.
  Awaitable<bool> MayStillForward(ExchangeStep aStep);
  std::optional<HostId> ChooseForwardingHost();
  bool HasOpenConnections() const;
  Awaitable<AttemptResult> Forward(HostId aHost);
  // Receives the response of the host, and ends the attempt.
  Awaitable<AttemptResult> EndForward(HostId aHost);
  void CountForward(AttemptResult aResult) const;
  Awaitable<AttemptResult> ReceiveForwarded(HostId aHost);
  Awaitable<AttemptResult> DeliverForwarded(ForwardedHead aHead);
  bool IsOnSoftwareThatBeganStream(const ForwardedHead& aHead) const;
  ForwardedCall MakeForwardedCall() const;
  void LogAttemptEnd(ExchangeStep aStep) const;
  void RecordAttemptEnd(const TargetRecord& aTarget, AttemptResult aResult);
  Awaitable<AttemptResult> Attempt(const TargetRecord& aTarget);
  // Forgets what is known of the last attempt.
  void ResetAttempt();
  CallLoad MakeLoad(const TargetRecord& aTarget);
  // Tells all that count the calls of a target that it is sent one more.
  void CountSend(const TargetRecord& aTarget, const CallLoad& aLoad);
  AttemptResult EndAttempt(const TargetRecord& aTarget, AttemptResult aResult);
  Awaitable<AttemptResult> SendAndReceive(const TargetRecord& aTarget);
  bool IsResponseToCall(TargetConnection& aConnection, const TargetResponseInfo& aFacts) const;
  Awaitable<Result<HttpResponseHead>> ReadMatchingHead(const TargetRecord& aTarget);
  // aFirst: bytes of the body that were read already.
  Awaitable<AttemptResult> HandleResponse(const TargetRecord& aTarget,
                                          HttpResponseHead aHead,
                                          std::string aFirst);
  Awaitable<AttemptResult> ForwardWholeResponse(HttpResponseHead aHead);
  Awaitable<std::optional<std::optional<std::string_view>>> ReadResponseChunk(
    const HttpResponseHead& aHead,
    std::size_t aSoFar);
  Awaitable<std::optional<MemoryReservation>> ReserveCopies(std::size_t aBytes);
  Awaitable<AttemptResult> DeliverWhole(HttpResponseHead aHead, CountedBuffer aBody);
  bool MayPassOnParts() const;
  Awaitable<AttemptResult> PassOnParts(HttpResponseHead aHead,
                                       CountedBuffer aKept,
                                       std::string_view aUnkept);
  Awaitable<bool> WriteKept(const HttpResponseHead& aHead, CountedBuffer aKept);
  Awaitable<bool> WritePart(const HttpResponseHead& aHead, std::string_view aPart);
  AttemptResult GiveUpResponse(int aStatus, std::string_view aReason);
  // Waits until the bytes are kept. Returns false if they are not to be waited for any longer.
  Awaitable<bool> AwaitMemory(ResponseBuffer& aBody, std::string_view aBytes, bool aStated);
  bool IsSlowWithoutEnd() const;
  Awaitable<AttemptResult> ForwardStream(const TargetRecord& aTarget,
                                         HttpResponseHead aHead,
                                         std::string aFirst);
  // Returns Delivered if the stream may go on.
  Awaitable<AttemptResult> ForwardBytes(const HttpResponseHead& aHead, std::string_view aBytes);
  bool CountPartialEvent();
  void DiscardPartialEvent();
  bool IsResumable() const;
  // Only responses of this content type are forwarded event by event.
  static bool IsEventStream(const HttpResponseHead& aHead);
  Awaitable<bool> ForwardEvents(const HttpResponseHead& aHead, std::string_view aEvents);
  Awaitable<bool> WriteEvents(const HttpResponseHead& aHead, std::string_view aEvents);
  Awaitable<bool> Finish(ExchangeStep aStep);
  Awaitable<bool> RespondWithError(const CallerError& aError);
  Awaitable<bool> WriteResponse(HttpResponseMessage aResponse);
  Awaitable<bool> WriteLastResponse(HttpResponseMessage aResponse);
  Awaitable<std::unique_ptr<TargetConnection>> Connect(const TargetRecord& aTarget);
  // Records whether the target's zone was reached, and logs when the zone becomes unreachable.
  void RecordReachability(const TargetRecord& aTarget, HealthSignal aSignal);
  const TargetRecord* ChooseTarget();
  // Returns where to send the call next.
  NextDestination ChooseDestination();
  // Returns the usable targets of the call's service in allowed regions that may continue its
  // stream.
  const std::vector<TargetRecord>& Targets();
  TargetCall CallFor(const TargetRecord& aTarget);
  void AddPartTransfers(const TargetRecord& aTarget, TargetCall& aTo);
  void LogPromptSent(const TargetRecord& aTarget,
                     const TargetCall& aCall,
                     const CallLoad& aLoad) const;
  void RecordResumption(const TargetRecord& aTarget) const;
  void ObserveFirstEvent(const TargetRecord& aTarget);
  void ObserveSlotTime();
  CrashReport MakeCrashReport(const TargetRecord& aTarget);
  // The same for an attempt of which nothing was received.
  CrashReport MakeCrashReport(const TargetRecord& aTarget, MonotonicTime aSentAt);
  // Reports the request as a suspect once it is proven that the target has ended.
  void SuspectCrash(const TargetRecord& aTarget, CrashReport aReport, bool aWasRunning);
  std::string SharedPartNames() const;
  void OnBytes(const TargetRecord& aTarget);
  // Tells all that observe whether targets are reached that this one has sent something.
  void CountBytes(const TargetRecord& aTarget);
  void OnConnectFailed();
  // Returns how long the target of this attempt has sent nothing, and how long it may.
  Duration Silence() const;
  Duration MaxSilence() const;
  // Starts a standby attempt because of the target's silence, if the call may be repeated. The
  // attempt in progress goes on.
  void OnSilent(std::string_view aReason);
  bool StartStandby(bool aHedge = false);
  Awaitable<void> RunStandby(std::shared_ptr<StandbyAttempt> aStandby);
  Awaitable<void> TryStandby(std::shared_ptr<StandbyAttempt> aStandby);
  Awaitable<void> TryStandbyTarget(std::shared_ptr<StandbyAttempt> aStandby, TargetRecord aTarget);
  Awaitable<void> TryStandbyHost(std::shared_ptr<StandbyAttempt> aStandby, HostId aHost);
  Awaitable<void> SendStandby(std::shared_ptr<StandbyAttempt> aStandby);
  bool ReserveStandby(const StandbyAttempt& aStandby);
  void BeginStandby(StandbyAttempt& aStandby);
  // Arms the timer that decides on a hedge of the attempt that was just sent.
  void ArmHedge();
  void AskForHedgeLater();
  void OnHedgeDue();
  // The first bytes of a response that the caller may get have arrived.
  void EndHedgeWait();
  bool IsHedging() const;
  HedgeKind KindOfHedge() const;
  HedgeSituation SituationOfHedge() const;
  // Returns the target of a hedge, or nullptr if none is better than waiting.
  const TargetRecord* ChooseHedgeTarget();
  Awaitable<void> TryHedge(std::shared_ptr<StandbyAttempt> aStandby);
  void CountHedge(std::string_view aOutcome) const;
  // Closes the first attempt, in whose place the hedge comes.
  void GiveUpForHedge();
  bool MayTakeHead(StandbyAttempt& aStandby, const HttpResponseHead& aHead);
  void OnStandbyBroken(StandbyAttempt& aStandby, const Error& aError);
  void CheckStandby();
  void GiveUpStandbyAt(const TargetId& aTarget);
  // aFirst is the first message of the host, null if the connection to it was lost.
  void OnStandbyHostAnswer(StandbyAttempt& aStandby, const ForwardingMessage* aFirst);
  bool MayTakeForwarded(const ForwardedHead& aHead) const;
  void EndStandby(StandbyAttempt& aStandby,
                  AttemptStage aStage,
                  HealthSignal aSignal,
                  std::string_view aOutcome);
  void LogStandbyEnd(const StandbyAttempt& aStandby, std::string_view aOutcome) const;
  void RetryUnreached(StandbyAttempt& aStandby);
  void GiveUpSilentAttempt();
  void CancelStandby();
  void ForgetStandby();
  Awaitable<bool> AwaitStandby();
  Awaitable<AttemptResult> ContinueAtStandby();
  // Returns whether another attempt may follow at another target or host. If so, takes the retry.
  bool ReserveOtherWay();
  bool HasOtherWay();
  // Waits until a stream that was given up can go on elsewhere. Returns false if it cannot before
  // its caller leaves.
  Awaitable<bool> AwaitOtherWay();
  // Returns how long the caller waits for the next event of a stream.
  Duration CallerPatience() const;
  void OnAttemptBroken(const TargetRecord& aTarget);
  void OnAttemptWithoutResponse(const TargetRecord& aTarget);
  // Returns whether the target had surely begun this attempt when it broke off.
  bool WasSurelyRunning() const;
  // Returns whether more time has passed than a listener takes that drops connections.
  bool IsLongerThanADrop(MonotonicTime aSentAt) const;
  // Records what a response to a request of this time says about its target.
  void ObserveResponse(const TargetRecord& aTarget,
                       const TargetResponseInfo& aFacts,
                       MonotonicTime aSentAt);
  // Records, logs and counts what a response says about the availability of its target.
  void ObserveNotices(const TargetRecord& aTarget, const TargetResponseInfo& aFacts);
  // Records the rate limit that a response names for its target.
  void ObserveRateLimit(const TargetRecord& aTarget,
                        const TargetResponseInfo& aFacts,
                        MonotonicTime aSentAt);
  // Records what a response says about the room for requests at its target.
  void ObserveRoom(const TargetRecord& aTarget,
                   const TargetResponseInfo& aFacts,
                   MonotonicTime aSentAt);
  // Sets the targets of the service that this host may not send to at the moment.
  void UpdateRateLimited();
  void ExcludeUnconnected();
  void ExcludeFull();
  // Returns whether the target has neither left nor asked for rest since it was chosen.
  bool StillTakesCalls(const TargetRecord& aTarget) const;
  // Returns the time until one of the targets that the call may begin on has rested; zero if one of
  // them does not rest.
  Duration TimeUntilRested();
  // Returns the Retry-After of a call that no target took.
  Duration RefusalRetryDelay();
  void ReportSuccessfulRun();
  // Both are computed on first use, since no call needs them while no target crashes.
  RequestFingerprint Fingerprint();
  // Returns the fingerprints of the parts of the prompt that other requests may have, too.
  const std::vector<RequestFingerprint>& PartFingerprints();
  bool MayHaveCrashedByAPart() const;
  // Returns whether the request, or a part of its prompt, is known to crash targets, so that it
  // must not be sent.
  bool IsKnownToCrash();
  PartScope MakePartScope(std::uint64_t aWeights) const;
  void PrepareSelection(std::uint64_t aWeights);
  std::uint64_t NewestWeightVersion();
  void OnInterrupt(Interrupt aReason);
  AttemptResult ResultOfInterrupt() const;
  bool ShouldCloseCallerConnection() const;
  Duration TimeLeft() const;
  CallRank Rank() const;
  const TargetRecord* ChooseInTurn(const std::vector<TargetRecord>& aTargets);
  bool HasRoom(const TargetRecord& aTarget) const;
  bool HasEligibleTarget(const std::vector<TargetRecord>& aTargets);
  double MemoryLimit() const;
  bool FitsEmptyTarget() const;
  Duration LongestQueueing(Duration aOwn, double aPatience) const;
  // Returns how many hosts send to each target of the service.
  std::uint64_t HostsPerTarget() const;
  // Waits until a target has room, for a call that found none. Returns the target, or nothing if
  // the call is to be refused.
  Awaitable<std::optional<TargetRecord>> AwaitRoom();
  bool MayAwaitRoom() const;
  AdmissionRequest MakeAdmissionRequest() const;
  // Returns the rank under the configuration in force, which may have changed meanwhile.
  CallRank CurrentRank() const;
  bool CanServeInTime(const TargetRecord& aTarget);
  bool IsExpectedInTime(const TargetRecord& aTarget) const;
  void LogOverload(const TargetRecord& aBest) const;
  HealthSignal HealthSignalOf(AttemptResult aResult) const;
  void Count(int aStatus, Duration aTook) const;
  void LogEnd(std::string_view aOutcome, int aStatus) const;
  // Logs and counts that the caller gets no whole response. aOtherwise is the reason unless the
  // exchange was interrupted.
  void LogLoss(std::string_view aOtherwise) const;
  std::string_view LossReason(std::string_view aOtherwise) const;

  EntryContext& context;
  CallerChannel& caller;
  // Shared with a standby attempt, which may still be sending it when this object is gone.
  std::shared_ptr<HttpRequestMessage> request;
  std::optional<ForwardedLimits> forwardedLimits;
  MonotonicTime arrived;

  // Set by Resolve(). Shared, since a newer table may replace it while this call runs.
  std::shared_ptr<const RouteTable> routes;
  const ServingRoute* route = nullptr;
  const WorkspaceEntry* workspace = nullptr;
  CallerRequest call;
  ServiceName service;
  RegionRestriction allowedRegions;
  // The result of Targets() unless all usable targets are eligible.
  std::vector<TargetRecord> eligibleTargets;
  SelectionRequest selection;
  CacheScope scope;
  std::uint64_t weights = 0;

  std::optional<RequestFingerprint> fingerprint;
  std::optional<std::vector<RequestFingerprint>> partFingerprints;
  // The request is refused since it crashes targets.
  bool crashesTargets = false;
  std::optional<ExchangeRetryPolicy> plan;
  std::optional<Watchdog> deadline;
  std::unique_ptr<TargetConnection> channel;
  // Set while the call waits until it can be sent to another host.
  std::shared_ptr<RoomWait> forwardingWait;
  // The response of the host that the call was forwarded to.
  std::unique_ptr<ForwardedResponse> forwarded;
  // Hosts that the call was forwarded to, or should have been.
  std::set<HostId> triedHosts;
  // The target or host of the last attempt.
  std::string destination;
  // The target of this attempt; only its software version if another host chose it.
  TargetRecord attemptTarget;
  // When the target of this attempt last sent something.
  MonotonicTime lastBytesAt;
  // When the target of this attempt was last checked because of its silence.
  MonotonicTime checkedAt;
  // The longest time within the responses of targets in which they sent nothing.
  Duration longestSilence{ 0 };
  // Whether it was logged that the attempt goes on in spite of its target's silence.
  bool silenceLogged = false;
  // Whether the caller is sent something, so that nothing is read from the target.
  bool writing = false;
  // The attempt beside the one in progress.
  std::shared_ptr<StandbyAttempt> standby;
  // Fires when the call has waited for as long as its kind usually takes; set only when the
  // operator allows hedges.
  std::optional<Watchdog> hedgeTimer;
  bool hedgeTimed = false;
  // The attempt in progress was closed since a hedge responded first.
  bool overtaken = false;
  CallLoad load;
  // Slow stores that this call does not fetch from.
  std::set<std::string> avoidedStores;
  // The store that holds the largest part fetched for this attempt; empty for none.
  std::string fetchedFrom;
  // Whether the response of this attempt has been received to its end.
  bool received = false;
  // Whether the response has told the caller that its connection is closed afterwards.
  bool closeAnnounced = false;
  // Whether an attempt was given up for a standby attempt.
  bool givenUp = false;
  // When this attempt was sent; the default value before that.
  MonotonicTime sentAt;
  MonotonicTime firstEventAt;
  // Whether the target of this attempt has begun its response.
  bool responseBegun = false;
  // When the target began the body of a response that is no stream.
  MonotonicTime bodyBegunAt;
  // Whether the response of this attempt was given up because it did not end.
  bool endless = false;
  Interrupt interrupt = Interrupt::None;
  EventFramer framer;
  // Counts the incomplete event.
  MemoryReservation eventMemory;
  // Whether the body was sent to its end in the last attempt, and was given up since.
  bool bodySent = false;
  bool bodyGivenBack = false;
  // Whether a part of a response that is no stream was passed on.
  bool partsBegun = false;
  // The software version of the target whose events the caller has. Events of two versions do not
  // fit together, and targets do not check it.
  std::optional<SoftwareVersion> begunOn;
  // The last response of a target with status 500 or above.
  std::optional<BufferedResponse> failedResponse;
  AttemptResult lastResult = AttemptResult::Unreachable;
  // Whether the target of this attempt did not acknowledge what was sent.
  bool unacknowledged = false;
  // Whether the target refused the connection of this attempt, which proves its zone reachable.
  bool refused = false;
  // Whether the call was refused since this host stops.
  bool refusedAtStop = false;
  // Whether no target is expected to answer in time.
  bool overloaded = false;
  // Whether the call waits for room at a target, and its place among those that do.
  bool waitsForRoom = false;
  std::optional<AdmissionTicket> roomTicket;
  // Whether an attempt brought a complete successful response.
  bool succeeded = false;
};

} // namespace damasklink
