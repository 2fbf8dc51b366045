// What an Exchange reports: health, crashes and rate limits of its targets, logs and metrics. The
// rest of the class is in the other Exchange*.cpp files.
#include "Exchange.h"

#include <algorithm>

#include "damasklink/state/Units.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

// A healthy target begins its response far sooner.
constexpr Duration kSuspiciousSilence = std::chrono::seconds(1);

// Time from the first event of an answer within which a part of its prompt would have crashed the
// target.
constexpr Duration kMaxCrashDelay = std::chrono::seconds(1);

// A listener that drops unwanted connections does so sooner.
constexpr Duration kMaxDropTime = std::chrono::milliseconds(100);

} // namespace

void
Exchange::RecordReachability(const TargetRecord& aTarget, HealthSignal aSignal)
{
  if (this->refused) {
    this->context.reachability.OnBytes(aTarget.zone);
    return;
  }
  const bool before = this->context.reachability.IsUnreachable(aTarget.zone);
  this->context.reachability.OnEnd(aTarget.zone, aTarget.id, aSignal);
  if (!before && this->context.reachability.IsUnreachable(aTarget.zone)) {
    LogEvent(LogLevel::Warning, "zone_out_of_reach")
      .With("zone", aTarget.zone)
      .With("target", aTarget.id)
      .With("request", this->call.request);
  }
}

CrashReport
Exchange::MakeCrashReport(const TargetRecord& aTarget, MonotonicTime aSentAt)
{
  CrashReport report{ this->Fingerprint(),
                      this->workspace == nullptr ? WorkspaceId() : this->workspace->name,
                      this->service,
                      aTarget.id,
                      aTarget.incarnation };
  report.sentAgo = this->context.clock.MonotonicNow() - aSentAt;
  return report;
}

CrashReport
Exchange::MakeCrashReport(const TargetRecord& aTarget)
{
  CrashReport report = this->MakeCrashReport(aTarget, this->sentAt);
  if (this->MayHaveCrashedByAPart()) {
    report.parts = this->PartFingerprints();
  }
  const Duration silence = this->context.clock.MonotonicNow() - this->lastBytesAt;
  report.silent = this->unacknowledged || silence >= kSuspiciousSilence;
  if (this->lastBytesAt > this->sentAt) {
    report.heardAgo = std::max<Duration>(silence, std::chrono::milliseconds(1));
  }
  return report;
}

bool
Exchange::MayHaveCrashedByAPart() const
{
  return !this->load.firstEventSeen ||
         this->context.clock.MonotonicNow() - this->firstEventAt < kMaxCrashDelay;
}

// Reports the request as a suspect once it is proven that the target's process ended while running
// it. A target that is leaving ends for that reason, so nothing is reported for it.
void
Exchange::OnAttemptBroken(const TargetRecord& aTarget)
{
  const CrashReport report = this->MakeCrashReport(aTarget);
  if (!this->responseBegun) {
    this->OnConnectFailed();
  }
  const bool leaving = this->context.state.Targets().Find(aTarget.id) == nullptr;
  LogEvent(LogLevel::Info, "attempt_broken")
    .With("request", this->call.request)
    .With("fingerprint", report.request)
    .With("workspace", report.workspace)
    .With("target", aTarget.id)
    .With("incarnation", aTarget.incarnation)
    .With("parts", this->SharedPartNames())
    .With("ran_ms", WholeMilliseconds(this->context.clock.MonotonicNow() - this->sentAt))
    .With("first_event", this->load.firstEventSeen)
    .With("leaves", leaving);
  if (leaving) {
    return;
  }
  this->SuspectCrash(aTarget, report, this->WasSurelyRunning());
}

void
Exchange::SuspectCrash(const TargetRecord& aTarget, CrashReport aReport, bool aWasRunning)
{
  if (aWasRunning) {
    this->context.interrupted.Add(aReport, aTarget.endpoint);
  }
  // A host that reaches no target would accuse the requests that it had in progress.
  if (this->context.paths.IsUnreachable(this->service)) {
    this->context.interrupted.OnServiceUnreachable(this->service);
    return;
  }
  EntryContext& shared = this->context;
  const MonotonicTime brokenAt = this->context.clock.MonotonicNow();
  this->context.probe.Run(
    aTarget,
    [&shared, report = std::move(aReport), aWasRunning, brokenAt, address = aTarget.endpoint](
      TerminationEvidence aEvidence) {
      if (aWasRunning || aEvidence == TerminationEvidence::Refused) {
        shared.unconfirmedCrashes.Add(report.Aged(shared.clock.MonotonicNow() - brokenAt), address);
        shared.prober.Probe(report.service);
      }
    });
}

// Returns the parts of the prompt that other requests may have, too, separated by commas.
std::string
Exchange::SharedPartNames() const
{
  std::string names;
  for (std::size_t index = 0; index + 1 < this->call.parts.size(); ++index) {
    names += (names.empty() ? "" : ",") + this->call.parts[index].id.Value();
  }
  return names;
}

// A request that was sent after the target had ended may have reached another listener at its
// address, which drops connections quickly. Such a request must not be blamed for the crash.
bool
Exchange::WasSurelyRunning() const
{
  return this->responseBegun || this->IsLongerThanADrop(this->sentAt);
}

bool
Exchange::IsLongerThanADrop(MonotonicTime aSentAt) const
{
  return this->context.clock.MonotonicNow() - aSentAt >= kMaxDropTime;
}

void
Exchange::OnBytes(const TargetRecord& aTarget)
{
  const MonotonicTime now = this->context.clock.MonotonicNow();
  if (this->responseBegun) {
    this->longestSilence = std::max(this->longestSilence, now - this->lastBytesAt);
  }
  this->lastBytesAt = now;
  this->CountBytes(aTarget);
}

void
Exchange::CountBytes(const TargetRecord& aTarget)
{
  this->context.reachability.OnBytes(aTarget.zone);
  this->context.probe.OnBytes(aTarget.id);
  this->context.paths.OnBytes(this->service);
}

// Bytes from other targets show that the fault is that of the target.
void
Exchange::OnConnectFailed()
{
  const bool hadBytes =
    this->context.paths.HadBytesWithin(this->service, ServiceReachability::kSuspiciousSilence);
  if (!hadBytes || this->plan->Unreachable() > 0) {
    this->context.prober.Probe(this->service);
  }
}

// A target that ended without closing its connections shows it only by its silence. Callers that
// leave before kSuspiciousSilence say nothing about the target.
void
Exchange::OnAttemptWithoutResponse(const TargetRecord& aTarget)
{
  const bool sent = this->sentAt != MonotonicTime();
  const Duration waited = this->context.clock.MonotonicNow() - this->sentAt;
  const bool unreachable = this->context.paths.IsUnreachable(this->service);
  if (sent && this->interrupt != Interrupt::HostStops && !unreachable && !this->plan->PassedOn() &&
      waited >= kSuspiciousSilence) {
    this->context.interrupted.Add(this->MakeCrashReport(aTarget), aTarget.endpoint);
  }
}

void
Exchange::ObserveNotices(const TargetRecord& aTarget, const TargetResponseInfo& aFacts)
{
  const bool ofAnother = !aFacts.target.Empty() && aFacts.target != aTarget.id;
  const TargetRecord* current =
    this->context.state.Targets().Find(ofAnother ? aFacts.target : aTarget.id);
  // Nothing is kept of targets that have left or that are not known here.
  if (current == nullptr) {
    return;
  }
  const Incarnation incarnation = ofAnother ? current->incarnation : aTarget.incarnation;
  if (aFacts.restFor > Duration::zero()) {
    this->context.rests.OnAsked(current->id, incarnation, aFacts.restFor);
    LogEvent(LogLevel::Info, "target_asks_for_rest")
      .With("request", this->call.request)
      .With("target", current->id)
      .With("incarnation", incarnation)
      .With("sends", this->plan->Sent())
      .With("sent_before_ms", WholeMilliseconds(this->context.clock.MonotonicNow() - this->sentAt))
      .With("rest_ms", WholeMilliseconds(aFacts.restFor));
    this->context.metrics.Add(Counter::TargetNotices, MetricKey{ WorkspaceId(), "rest" }, 1);
  }
  // Announcements of the target may still say otherwise: they take longer to arrive here.
  if (aFacts.leaving && incarnation >= current->incarnation) {
    LogEvent(LogLevel::Info, "target_says_leaving")
      .With("request", this->call.request)
      .With("target", current->id)
      .With("incarnation", incarnation);
    this->context.metrics.Add(Counter::TargetNotices, MetricKey{ WorkspaceId(), "leaving" }, 1);
    this->context.state.Targets().MarkRemoved(TargetId(current->id));
  }
}

void
Exchange::ObserveResponse(const TargetRecord& aTarget,
                          const TargetResponseInfo& aFacts,
                          MonotonicTime aSentAt)
{
  this->ObserveRateLimit(aTarget, aFacts, aSentAt);
  this->ObserveRoom(aTarget, aFacts, aSentAt);
  if (aFacts.coldFor > Duration::zero()) {
    this->context.limits.OnCold(aTarget, aFacts.coldFor);
  }
  if (aFacts.wrongTarget && aFacts.target != aTarget.id && !aFacts.target.Empty()) {
    this->context.state.Targets().MarkRemoved(aTarget.id);
  }
}

void
Exchange::ObserveRateLimit(const TargetRecord& aTarget,
                           const TargetResponseInfo& aFacts,
                           MonotonicTime aSentAt)
{
  if (aFacts.unreadable) {
    LogEvent(LogLevel::Warning, "target_answer_unreadable")
      .With("request", this->call.request)
      .With("target", aTarget.id)
      .With("error", *aFacts.unreadable);
    return;
  }
  // A response of another target, or of one that did not run the call, does not lift a limit.
  if (aFacts.wrongTarget || (aFacts.notRun && !aFacts.limit)) {
    return;
  }
  this->context.limits.OnAnswer(aTarget, aFacts.limit, aSentAt);
}

void
Exchange::ObserveRoom(const TargetRecord& aTarget,
                      const TargetResponseInfo& aFacts,
                      MonotonicTime aSentAt)
{
  if (aFacts.wrongTarget) {
    return;
  }
  BrittleTargetLimiter& brittle = this->context.brittle;
  const bool before = brittle.IsBrittle(this->service);
  brittle.OnAnswer(aTarget, aFacts.brittle, aSentAt);
  const bool now = brittle.IsBrittle(this->service);
  if (before != now) {
    LogEvent(LogLevel::Info, now ? "service_brittle" : "service_not_brittle")
      .With("request", this->call.request)
      .With("service", this->service)
      .With("target", aTarget.id)
      .With("tolerated_per_second", aFacts.brittle.value_or(RequestRate()).perSecond);
  }
  if (now && aFacts.full) {
    const std::uint64_t load = this->context.picker.LoadOf(aTarget.id).requests;
    brittle.OnRejected(aTarget);
    LogEvent(LogLevel::Info, "brittle_target_full")
      .With("request", this->call.request)
      .With("target", aTarget.id)
      .With("load", load)
      .With("slots", aTarget.load.slots);
  }
}

void
Exchange::ReportSuccessfulRun()
{
  CrashFilter& filter = this->context.crashFilter;
  if (!this->succeeded || !filter.IsActive()) {
    return;
  }
  filter.OnSuccessfulRun(SuccessfulRun{ this->Fingerprint(), this->service });
  for (const RequestFingerprint part : this->PartFingerprints()) {
    filter.OnSuccessfulPart(SuccessfulRun{ part, this->service });
  }
}

bool
Exchange::IsKnownToCrash()
{
  const CrashFilter& filter = this->context.crashFilter;
  if (!filter.IsActive()) {
    return false;
  }
  const std::vector<RequestFingerprint>& parts = this->PartFingerprints();
  const auto refusedPart = std::find_if(
    parts.begin(), parts.end(), [&](RequestFingerprint aPart) { return filter.IsRefused(aPart); });
  if (refusedPart != parts.end()) {
    LogEvent(LogLevel::Info, "part_refused")
      .With("request", this->call.request)
      .With("part", this->call.parts[static_cast<std::size_t>(refusedPart - parts.begin())].id)
      .With("fingerprint", *refusedPart);
  }
  this->crashesTargets = refusedPart != parts.end() || filter.IsRefused(this->Fingerprint());
  return this->crashesTargets;
}

const std::vector<RequestFingerprint>&
Exchange::PartFingerprints()
{
  if (!this->partFingerprints) {
    this->partFingerprints.emplace();
    for (std::size_t index = 0; index + 1 < this->call.parts.size(); ++index) {
      this->partFingerprints->push_back(FingerprintOfPart(this->call.parts[index].id.Value()));
    }
  }
  return *this->partFingerprints;
}

RequestFingerprint
Exchange::Fingerprint()
{
  if (this->fingerprint) {
    return *this->fingerprint;
  }
  RequestIdentity identity;
  if (this->workspace != nullptr) {
    identity.workspace = this->workspace->name;
  }
  identity.host = this->call.host;
  identity.method = this->request->head.method;
  identity.path = this->request->head.target;
  identity.body = this->request->body;
  this->fingerprint = FingerprintOf(identity);
  return *this->fingerprint;
}

HealthSignal
Exchange::HealthSignalOf(AttemptResult aResult) const
{
  switch (aResult) {
    case AttemptResult::Unreachable:
      return HealthSignal::NotReached;
    case AttemptResult::Broken:
      if (this->unacknowledged) {
        return HealthSignal::NotReached;
      }
      return this->endless ? HealthSignal::Endless : HealthSignal::Bad;
    case AttemptResult::Expired:
      return this->endless ? HealthSignal::Endless : HealthSignal::None;
    case AttemptResult::NotSent:
    case AttemptResult::Declined:
    case AttemptResult::CallerLeft:
    case AttemptResult::Overtaken:
      return HealthSignal::None;
    case AttemptResult::Delivered:
    case AttemptResult::Refused:
    case AttemptResult::Failed:
      return HealthSignal::Good;
  }
  return HealthSignal::None;
}

// Logs one line for each prompt that is sent, with what decided the selection: how much of it is
// fetched or must be prefilled, and the target's estimated load without this call.
void
Exchange::LogPromptSent(const TargetRecord& aTarget,
                        const TargetCall& aCall,
                        const CallLoad& aLoad) const
{
  if (this->selection.promptTokens == TokenCount()) {
    return;
  }
  const auto countTransfers = [](const std::vector<PartTransfer>& aMoves) {
    return std::count_if(aMoves.begin(), aMoves.end(), [](const PartTransfer& aMove) {
      return aMove.peer.has_value();
    });
  };
  const LoadCounts load = this->context.picker.LoadOf(aTarget.id);
  LogEvent(LogLevel::Info, "prompt_sent")
    .With("request", this->call.request)
    .With("target", aTarget.id)
    .With("software", aTarget.software)
    .With("send", this->plan->Sent())
    .With("prompt", this->selection.promptTokens)
    .With("parts", this->selection.parts.size())
    .With("last_part", this->selection.parts.empty() ? PartKey() : this->selection.parts.back().key)
    .With("to_read", aLoad.uncachedTokens)
    .With("fetches", countTransfers(aCall.fetches))
    .With("fetched_from", this->fetchedFrom)
    .With("saves", countTransfers(aCall.saves))
    .With("slow_stores", this->avoidedStores.size())
    .With("unread", load.unread - std::min(load.unread, aLoad.uncachedTokens.Value()))
    .With("running", load.requests - std::min<std::uint64_t>(load.requests, 1))
    .With("memory", load.memory)
    .With("weights", this->weights);
}

// Logs and counts the attempt if it continues a stream.
void
Exchange::RecordResumption(const TargetRecord& aTarget) const
{
  const bool byHost = this->framer.LastEvent().has_value();
  if (!byHost && !this->call.lastEvent) {
    return;
  }
  const std::string_view by = byHost ? "host" : "caller";
  LogEvent(LogLevel::Info, "stream_resumed")
    .With("request", this->call.request)
    .With("resumes", this->call.resumes)
    .With("by", by)
    .With("last_event", byHost ? *this->framer.LastEvent() : *this->call.lastEvent)
    .With("target", aTarget.id)
    .With("software", aTarget.software)
    .With("begun_on", this->begunOn.value_or(SoftwareVersion()));
  this->context.metrics.Add(
    Counter::ResumedStreams, MetricKey{ WorkspaceId(), std::string(by) }, 1);
}

// Counts the call under its route, and a refusal or failure under its cause or status.
void
Exchange::Count(int aStatus, Duration aTook) const
{
  const std::string name = this->route == nullptr ? "none" : this->route->name;
  Metrics& metrics = this->context.metrics;
  metrics.Add(Counter::Requests, MetricKey{ WorkspaceId(), name }, 1);
  metrics.Observe(Sample::WholeRequest, MetricKey{ WorkspaceId(), name }, aTook);
  if (aStatus == 503) {
    const char* cause = this->crashesTargets  ? "crashes_targets"
                        : this->refusedAtStop ? "stopping"
                        : this->overloaded    ? "overloaded"
                                              : "no_target";
    metrics.Add(Counter::Refusals, MetricKey{ WorkspaceId(), cause }, 1);
  } else if (aStatus >= 400 || aStatus == 0) {
    metrics.Add(Counter::Failures, MetricKey{ WorkspaceId(), std::to_string(aStatus) }, 1);
  }
}

void
Exchange::LogEnd(std::string_view aOutcome, int aStatus) const
{
  const bool successful = aStatus >= 200 && aStatus < 300;
  const Duration took = this->context.clock.MonotonicNow() - this->arrived;
  this->Count(aStatus, took);
  LogEvent(successful ? LogLevel::Debug : LogLevel::Info, "request_ended")
    .With("overloaded", this->overloaded)
    .With("request", this->call.request)
    .With("fingerprint", this->fingerprint.value_or(RequestFingerprint()))
    .With("route", this->route == nullptr ? "" : std::string_view(this->route->name))
    .With("configuration", this->routes == nullptr ? Revision() : this->routes->Config().version)
    .With("outcome", aOutcome)
    .With("status", aStatus)
    .With("sends", this->plan ? this->plan->Sent() : 0)
    .With("last_end", AttemptResultName(this->lastResult))
    .With("took_ms", WholeMilliseconds(took));
}

} // namespace damasklink
