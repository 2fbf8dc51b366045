#include "Exchange.h"

#include <algorithm>
#include <utility>

#include "damasklink/state/Digests.h"
#include "damasklink/state/Text.h"
#include "damasklink/state/Units.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

// Connections within a site take a few milliseconds, longer when the target's accept queue is full.
// A host without power never answers; a longer timeout would waste time that other targets need.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);

// Largest body of a refusal, of which nothing is kept. The connection is closed beyond it.
constexpr std::size_t kMaxRefusalBytes = std::size_t{ 64 } * 1024;

// Retry-After of a refused call: a target's queue takes some hundred milliseconds to drain.
constexpr Duration kDefaultRetryDelay = std::chrono::milliseconds(250);

// How often a call past its deadline is checked that its caller is still taking the response.
constexpr Duration kWriteCheckInterval = std::chrono::milliseconds(200);

// Number of responses to other requests after which a connection is abandoned.
constexpr int kMaxForeignResponses = 3;

// Largest body of a response to another request. The connection is abandoned beyond it.
constexpr std::size_t kMaxForeignBytes = std::size_t{ 4 } * 1024 * 1024;

CallerError
Refusal(ErrorKind aKind, std::string aMessage, std::string aRemedy)
{
  return CallerError{ Error{ aKind, std::move(aMessage), std::move(aRemedy) },
                      RunOutcome::NotRun,
                      std::nullopt };
}

} // namespace

Exchange::Exchange(EntryContext& aContext,
                   CallerChannel& aCaller,
                   HttpRequestMessage aRequest,
                   std::optional<ForwardedLimits> aForwarded)
  : context(aContext)
  , caller(aCaller)
  , request(std::make_shared<HttpRequestMessage>(std::move(aRequest)))
  , forwardedLimits(std::move(aForwarded))
  , arrived(aContext.clock.MonotonicNow())
  , eventMemory(*aContext.memory.TryReserve(MemoryUse::Events, 0))
{
}

Awaitable<bool>
Exchange::Run()
{
  if (this->context.state.Routes() == nullptr) {
    co_await this->AwaitConfiguration();
  }
  if (const std::optional<CallerError> refusal = this->Resolve()) {
    co_return co_await this->RespondWithError(*refusal);
  }
  if (const std::optional<CallerError> refusal = this->RefusalAtStop()) {
    co_return co_await this->RespondWithError(*refusal);
  }
  // A host that lags reads a request and the end of its connection together.
  if (this->caller.HasLeft()) {
    LogEvent(LogLevel::Info, "request_dropped")
      .With("request", this->call.request)
      .With("route", this->route->name)
      .With("reason", "caller_left");
    co_return false;
  }
  this->context.inProgress.insert(this);
  this->deadline.emplace(this->context.loop.get_executor(),
                         [this] { this->OnInterrupt(Interrupt::Expired); });
  this->deadline->Arm(std::max(this->TimeLeft(), Duration::zero()));
  this->caller.WatchForDisconnect([this] { this->OnInterrupt(Interrupt::CallerLeft); });
  const std::optional<CallerError> unknownOrigin = co_await this->ResolveOrigin();
  // The host that forwarded a call has counted it.
  if (!this->forwardedLimits) {
    this->context.retries.OnCall(this->service);
    this->context.hedges.OnCall(this->service, this->context.clock.MonotonicNow());
  }
  const bool reusable =
    unknownOrigin ? co_await this->RespondWithError(*unknownOrigin) : co_await this->Relay();
  this->CancelStandby();
  this->deadline->Disarm();
  this->caller.StopWatching();
  this->context.inProgress.erase(this);
  this->LearnCallTime();
  co_return reusable;
}

Awaitable<void>
Exchange::AwaitConfiguration()
{
  const auto read = this->context.dialect.ReadCall(this->request->head);
  const Duration patience =
    read ? read.value().timeout.value_or(Duration::zero()) : Duration::zero();
  co_await this->context.firstConfiguration.Wait(patience, this->request->body.size());
}

// Reads the call and finds its route, workspace and service. Returns why it cannot be relayed.
std::optional<CallerError>
Exchange::Resolve()
{
  auto read = this->context.dialect.ReadCall(this->request->head);
  if (!read) {
    return CallerError{ read.error(), RunOutcome::NotRun, std::nullopt };
  }
  this->call = std::move(read.value());
  if (this->forwardedLimits) {
    this->call.timeout = this->forwardedLimits->timeLeft;
    if (this->forwardedLimits->lastEvent) {
      this->call.lastEvent = this->forwardedLimits->lastEvent;
    }
    this->begunOn = this->forwardedLimits->software;
  }
  this->routes = this->context.state.Routes();
  if (this->routes == nullptr) {
    CallerError error = Refusal(
      ErrorKind::Unavailable, "this host has no configuration yet", "retry after the given time");
    error.retryAfter = this->context.startupDelay.DelayDuringStartup(
      this->context.clock.MonotonicNow() - this->context.started);
    return error;
  }
  this->route = this->routes->FindRoute(this->call.host, PathOf(this->request->head.target));
  if (this->route == nullptr) {
    return Refusal(ErrorKind::NotFound, "no route matches this host and path", "check both");
  }
  const bool needsKey = !this->route->open && !this->routes->Config().workspaces.empty();
  if (needsKey) {
    this->workspace = this->routes->FindWorkspace(this->call.key);
    if (this->workspace == nullptr) {
      return Refusal(ErrorKind::Unauthenticated, "the key is not known", "send a valid key");
    }
  }
  if (auto refusal = this->ResolveAllowedRegions()) {
    return refusal;
  }
  this->service = ChooseService(*this->route, ShortHash(this->call.request.Value()));
  if (this->IsKnownToCrash()) {
    return Refusal(ErrorKind::Unavailable,
                   "targets ended each time they ran this request or a part of its prompt",
                   "change the request, or ask the operator to release it");
  }
  ExchangeLimits exchangeLimits;
  exchangeLimits.repeatable = this->route->kind == CallKind::Idempotent || this->IsResumable();
  exchangeLimits.mostTargets = std::max<std::uint64_t>(this->route->mostTargets, 1);
  if (this->forwardedLimits) {
    exchangeLimits.mostTargets =
      std::min(exchangeLimits.mostTargets, this->forwardedLimits->sendsLeft);
  }
  const Duration patience = this->call.timeout.value_or(this->route->timeout);
  exchangeLimits.endsAt = this->arrived + std::min(this->route->timeout, patience);
  this->plan.emplace(exchangeLimits);
  this->selection.zone = this->context.settings.zone;
  return std::nullopt;
}

// Returns whether another target can continue the response after its first events.
bool
Exchange::IsResumable() const
{
  return this->route->kind == CallKind::Streaming && this->route->resumable;
}

std::optional<CallerError>
Exchange::ResolveAllowedRegions()
{
  static const std::vector<RegionId> kUnrestricted;
  const bool restricted = !this->route->allowedRegions.empty() ||
                          (this->workspace != nullptr && !this->workspace->allowedRegions.empty());
  if (!restricted) {
    return std::nullopt;
  }
  this->allowedRegions =
    RegionRestriction(this->route->allowedRegions,
                      this->workspace == nullptr ? kUnrestricted : this->workspace->allowedRegions,
                      this->context.settings.regions);
  if (this->allowedRegions.AllowsNoZone()) {
    return Refusal(ErrorKind::NotPermitted,
                   "the route and the workspace have no allowed region in common",
                   "use another route, or ask the operator for a common region");
  }
  return std::nullopt;
}

// Makes one attempt and returns the next step.
Awaitable<ExchangeStep>
Exchange::AttemptNext()
{
  if (!co_await this->AttemptOnce()) {
    co_return this->plan->WithoutTarget();
  }
  const bool replaceable =
    this->lastResult == AttemptResult::Broken || this->lastResult == AttemptResult::Failed ||
    this->lastResult == AttemptResult::Declined || this->lastResult == AttemptResult::Refused ||
    this->lastResult == AttemptResult::Overtaken;
  if (replaceable && co_await this->AwaitStandby()) {
    this->plan->ContinueAtStandby(this->lastResult);
    this->LogAttemptEnd(ExchangeStep::TryAnother);
    co_return ExchangeStep::TryAnother;
  }
  this->CancelStandby();
  ExchangeStep step = this->plan->After(
    this->lastResult, this->context.clock.MonotonicNow(), this->context.retries.Of(this->service));
  if (co_await this->MayStillForward(step)) {
    step = ExchangeStep::TryAnother;
  }
  if (step == ExchangeStep::TryAnother && (this->bodyGivenBack || this->IsKnownToCrash())) {
    step = this->plan->WithoutTarget();
  }
  this->LogAttemptEnd(step);
  co_return step;
}

Awaitable<bool>
Exchange::Relay()
{
  ExchangeStep step = ExchangeStep::TryAnother;
  while (step == ExchangeStep::TryAnother) {
    step = co_await this->AttemptNext();
    if (step == ExchangeStep::CutOff && co_await this->AwaitOtherWay()) {
      step = ExchangeStep::TryAnother;
    }
    if (step == ExchangeStep::TryAnother) {
      this->context.metrics.Add(
        Counter::Retries,
        MetricKey{ WorkspaceId(), std::string(AttemptResultName(this->lastResult)) },
        1);
    }
  }
  co_return co_await this->Finish(step);
}

void
Exchange::LogAttemptEnd(ExchangeStep aStep) const
{
  if (this->lastResult == AttemptResult::Delivered) {
    return;
  }
  LogEvent(LogLevel::Info, "attempt_ended")
    .With("request", this->call.request)
    .With("target", this->destination)
    .With("service", this->service)
    .With("end", AttemptResultName(this->lastResult))
    .With("sends", this->plan->Sent())
    .With("left_ms", WholeMilliseconds(this->TimeLeft()))
    .With("next", ExchangeStepName(aStep));
}

Awaitable<bool>
Exchange::AttemptOnce()
{
  if (this->standby != nullptr) {
    this->lastResult = co_await this->ContinueAtStandby();
    co_return true;
  }
  const NextDestination next = this->ChooseDestination();
  if (next.host) {
    this->destination = next.host->Value();
    this->lastResult = co_await this->Forward(*next.host);
    co_return true;
  }
  // Copied, because the directory of targets may change while this call waits.
  std::optional<TargetRecord> found;
  if (next.target != nullptr) {
    found = *next.target;
  } else if (this->MayAwaitRoom()) {
    found = co_await this->AwaitRoom();
  }
  if (!found) {
    co_return false;
  }
  const TargetRecord target = std::move(*found);
  this->destination = target.id.Value();
  this->lastResult = co_await this->Attempt(target);
  co_return true;
}

Awaitable<AttemptResult>
Exchange::Attempt(const TargetRecord& aTarget)
{
  this->plan->Begin(AttemptId(this->call.request.Value()), aTarget.id);
  this->selection.excluded.insert(aTarget.id);
  this->ResetAttempt();
  this->load = this->MakeLoad(aTarget);
  this->CountSend(aTarget, this->load);
  this->attemptTarget = aTarget;
  co_return this->EndAttempt(aTarget, co_await this->SendAndReceive(aTarget));
}

void
Exchange::ResetAttempt()
{
  this->load = CallLoad{};
  this->sentAt = MonotonicTime();
  this->responseBegun = false;
  this->endless = false;
  this->refused = false;
  this->unacknowledged = false;
  this->checkedAt = MonotonicTime();
  this->received = false;
  this->silenceLogged = false;
  this->overtaken = false;
}

CallLoad
Exchange::MakeLoad(const TargetRecord& aTarget)
{
  CallLoad made;
  made.uncachedTokens = this->context.picker.UncachedTokens(this->selection, aTarget.id);
  made.memory = TokenCount(this->call.promptTokens.Value() + this->call.maxAnswerTokens.Value());
  made.incarnation = aTarget.incarnation;
  made.queuedBehindOthers =
    this->context.picker.LoadOf(aTarget.id).unread >= TargetSelector::kLongPrefill;
  return made;
}

void
Exchange::CountSend(const TargetRecord& aTarget, const CallLoad& aLoad)
{
  this->context.picker.OnSent(aTarget.id, this->selection, aLoad);
  if (this->context.crowded.contains(this->service)) {
    this->context.turns.OnSent(aTarget.id,
                               LoadCounts{ 1, aLoad.uncachedTokens.Value(), aLoad.memory.Value() });
  }
  this->context.limits.OnSent(aTarget.id);
  this->context.brittle.OnSent(aTarget);
  this->context.retryScheduler.OnAdmitted();
  if (this->context.picker.HasUrgentSends() && this->context.reportLoad) {
    this->context.reportLoad();
  }
  this->context.health.OnStart(aTarget.id);
  this->context.reachability.OnStart(aTarget.zone);
}

// Returns the result, which is another one if the call was interrupted.
AttemptResult
Exchange::EndAttempt(const TargetRecord& aTarget, AttemptResult aResult)
{
  AttemptResult result = aResult;
  if (this->context.waiting.erase(this) > 0) {
    this->context.paths.OnEnded(this->service);
  }
  if (this->hedgeTimer) {
    this->hedgeTimer->Disarm();
  }
  if (this->overtaken && result == AttemptResult::Broken) {
    result = AttemptResult::Overtaken;
  }
  if (this->interrupt != Interrupt::None && result != AttemptResult::Delivered) {
    result = this->ResultOfInterrupt();
  }
  const bool evacuated = this->context.state.Targets().Evacuated().contains(aTarget.zone);
  const bool reusable =
    result != AttemptResult::Expired && result != AttemptResult::CallerLeft && !evacuated;
  if (this->channel != nullptr && reusable) {
    this->context.pool.Keep(aTarget.endpoint, std::move(this->channel));
  }
  // Closing a connection that was not pooled cancels the rest of the response at the target.
  this->channel.reset();
  this->RecordAttemptEnd(aTarget, result);
  this->context.room.OnRoomFreed();
  return result;
}

// Tells everything that follows the attempts at a target how this one ended.
void
Exchange::RecordAttemptEnd(const TargetRecord& aTarget, AttemptResult aResult)
{
  this->context.picker.OnEnd(aTarget.id, this->load);
  const bool ran = aResult == AttemptResult::Delivered || aResult == AttemptResult::Failed;
  this->context.brittle.OnEnded(
    aTarget.id,
    aTarget.incarnation,
    ran ? std::optional(this->context.clock.MonotonicNow() - this->sentAt) : std::nullopt);
  if (aResult == AttemptResult::Delivered) {
    this->ObserveSlotTime();
    this->ReportSuccessfulRun();
    if (!this->context.interrupted.IsEmpty()) {
      this->context.interrupted.OnAnswered(aTarget.id, aTarget.incarnation, this->sentAt);
    }
  } else if (aResult == AttemptResult::Broken) {
    this->OnAttemptBroken(aTarget);
  } else if (aResult == AttemptResult::Expired || aResult == AttemptResult::CallerLeft) {
    this->OnAttemptWithoutResponse(aTarget);
  }
  // The result of a call to an earlier incarnation says nothing about the health of the current
  // one.
  const TargetRecord* current = this->context.state.Targets().Find(aTarget.id);
  const bool restarted = current != nullptr && current->incarnation > aTarget.incarnation;
  const HealthSignal signal = restarted ? HealthSignal::None : this->HealthSignalOf(aResult);
  this->context.health.OnEnd(aTarget.id, signal);
  this->RecordReachability(aTarget, signal);
}

Awaitable<std::unique_ptr<TargetConnection>>
Exchange::Connect(const TargetRecord& aTarget)
{
  std::unique_ptr<TargetConnection> idle = this->context.pool.TakeIdle(aTarget.endpoint);
  if (idle != nullptr) {
    co_return idle;
  }
  auto fresh =
    std::make_unique<TargetConnection>(this->context.loop.get_executor(), this->context.clock);
  const Duration timeout =
    std::clamp(this->TimeLeft(), Duration(std::chrono::milliseconds(1)), kConnectTimeout);
  auto connected = co_await fresh->Connect(aTarget.endpoint, timeout);
  if (!connected) {
    this->refused = connected.error().kind == ErrorKind::NotFound;
    const std::string_view reason = this->refused ? "refused " : "unanswered ";
    this->context.metrics.Add(Counter::FailedConnects,
                              MetricKey{ WorkspaceId(), Concat(reason, this->service.Value()) },
                              1);
    LogEvent(LogLevel::Info, "target_unreachable")
      .With("request", this->call.request)
      .With("target", aTarget.id)
      .With("service", this->service)
      .With("error", connected.error());
    this->OnConnectFailed();
    co_return nullptr;
  }
  co_return fresh;
}

Awaitable<AttemptResult>
Exchange::SendAndReceive(const TargetRecord& aTarget)
{
  this->channel = co_await this->Connect(aTarget);
  if (this->channel == nullptr) {
    co_return AttemptResult::Unreachable;
  }
  if (this->interrupt != Interrupt::None) {
    co_return this->ResultOfInterrupt();
  }
  // An answer to another call may have arrived while this one was connecting.
  if (!this->StillTakesCalls(aTarget)) {
    co_return AttemptResult::NotSent;
  }
  this->plan->Sending();
  this->sentAt = this->context.clock.MonotonicNow();
  this->lastBytesAt = this->sentAt;
  this->ArmHedge();
  this->context.paths.OnSent(this->service);
  this->context.waiting.insert(this);
  const TargetCall call = this->CallFor(aTarget);
  this->LogPromptSent(aTarget, call, this->load);
  this->RecordResumption(aTarget);
  const HttpRequestHead head =
    this->context.dialect.MakeTargetRequestHead(this->request->head, call);
  // A target may answer before it has read the whole body, for example to refuse it, so the
  // response is read even if the send failed.
  this->bodySent = false;
  auto sent = co_await this->channel->Send(head, this->request->body);
  this->bodySent = sent.has_value();
  auto responseHead = co_await this->ReadMatchingHead(aTarget);
  if (!responseHead) {
    LogEvent(LogLevel::Info, "target_broke")
      .With("request", this->call.request)
      .With("target", aTarget.id)
      .With("sent", sent ? "whole" : "part")
      .With("error", responseHead.error());
    this->unacknowledged =
      this->unacknowledged || responseHead.error().kind == ErrorKind::DeadlineExceeded;
    co_return AttemptResult::Broken;
  }
  co_return co_await this->HandleResponse(aTarget, std::move(responseHead.value()), "");
}

// Returns whether the response belongs to this call. A response without an id may be additional
// bytes of a faulty target, unless the target sends no ids.
bool
Exchange::IsResponseToCall(TargetConnection& aConnection, const TargetResponseInfo& aFacts) const
{
  if (aFacts.request == this->call.request) {
    aConnection.MarkNamesRequests();
    return true;
  }
  return aFacts.request.Empty() && !aConnection.NamesRequests();
}

// Reads the head of the response to this call. Responses to other requests that precede it on the
// connection are dropped.
Awaitable<Result<HttpResponseHead>>
Exchange::ReadMatchingHead(const TargetRecord& aTarget)
{
  for (int skipped = 0; skipped < kMaxForeignResponses; ++skipped) {
    auto head = co_await this->channel->ReadHead();
    if (!head) {
      co_return head;
    }
    const TargetResponseInfo facts = this->context.dialect.ReadResponse(head.value());
    this->OnBytes(aTarget);
    this->ObserveNotices(aTarget, facts);
    if (this->IsResponseToCall(*this->channel, facts)) {
      co_return head;
    }
    LogEvent(LogLevel::Warning, "foreign_answer_dropped")
      .With("request", this->call.request)
      .With("target", aTarget.id)
      .With("belongs_to", facts.request);
    if (auto rest = co_await this->channel->Discard(kMaxForeignBytes); !rest) {
      co_return Fail(rest.error());
    }
  }
  co_return Fail(
    ErrorKind::Corrupt, "the target sent answers to other requests only", "check the target's log");
}

Awaitable<AttemptResult>
Exchange::HandleResponse(const TargetRecord& aTarget, HttpResponseHead aHead, std::string aFirst)
{
  const TargetResponseInfo facts = this->context.dialect.ReadResponse(aHead);
  this->responseBegun = true;
  this->ObserveResponse(aTarget, facts, this->sentAt);
  if (facts.notRun) {
    if (!co_await this->channel->Discard(kMaxRefusalBytes)) {
      this->channel->Close();
    }
    co_return AttemptResult::Refused;
  }
  // Of two streams, the one that brings the first event is the caller's.
  const bool awaitsEvent = IsEventStream(aHead) && this->IsHedging();
  if (aHead.status < 500 && !awaitsEvent) {
    this->CancelStandby();
  }
  if (!IsEventStream(aHead)) {
    this->EndHedgeWait();
  }
  if (IsEventStream(aHead)) {
    co_return co_await this->ForwardStream(aTarget, std::move(aHead), std::move(aFirst));
  }
  if (this->plan->PassedOn()) {
    // The caller has a part of another response.
    this->channel->Close();
    co_return AttemptResult::Broken;
  }
  co_return co_await this->ForwardWholeResponse(std::move(aHead));
}

Awaitable<AttemptResult>
Exchange::ForwardStream(const TargetRecord& aTarget, HttpResponseHead aHead, std::string aFirst)
{
  RemoveHopByHopFields(aHead.fields);
  if (!aFirst.empty()) {
    const AttemptResult passed = co_await this->ForwardBytes(aHead, aFirst);
    if (passed != AttemptResult::Delivered) {
      co_return passed;
    }
  }
  while (true) {
    auto piece = co_await this->channel->ReadChunk();
    if (!piece) {
      LogEvent(LogLevel::Info, "stream_broke")
        .With("request", this->call.request)
        .With("target", aTarget.id)
        .With("last_event", this->framer.LastEvent().value_or(0))
        .With("passed_on", this->plan->PassedOn())
        .With("error", piece.error());
      this->DiscardPartialEvent();
      co_return AttemptResult::Broken;
    }
    if (!piece.value()) {
      this->received = true;
      break;
    }
    const AttemptResult passed = co_await this->ForwardBytes(aHead, *piece.value());
    if (passed != AttemptResult::Delivered) {
      co_return passed;
    }
  }
  if (this->framer.HasPartialEvent()) {
    this->DiscardPartialEvent();
    co_return AttemptResult::Broken;
  }
  if (!this->plan->PassedOn()) {
    // The stream ended without any event.
    HttpResponseMessage empty{ aHead, "" };
    const bool written = co_await this->WriteResponse(std::move(empty));
    co_return written ? AttemptResult::Delivered : AttemptResult::CallerLeft;
  }
  this->succeeded = true;
  this->LogEnd("streamed", aHead.status);
  const bool ended = co_await this->caller.EndStream();
  co_return ended ? AttemptResult::Delivered : AttemptResult::CallerLeft;
}

Awaitable<AttemptResult>
Exchange::ForwardBytes(const HttpResponseHead& aHead, std::string_view aBytes)
{
  this->OnBytes(this->attemptTarget);
  this->EndHedgeWait();
  this->CancelStandby();
  this->ObserveFirstEvent(this->attemptTarget);
  const std::string events = this->framer.Append(aBytes);
  if (!events.empty() && !co_await this->ForwardEvents(aHead, events)) {
    co_return AttemptResult::CallerLeft;
  }
  if (!this->CountPartialEvent()) {
    this->DiscardPartialEvent();
    this->channel->Close();
    co_return AttemptResult::Broken;
  }
  co_return AttemptResult::Delivered;
}

// Returns whether the incomplete event may be kept until its rest arrives.
bool
Exchange::CountPartialEvent()
{
  const std::size_t bytes = this->framer.PartialBytes();
  const bool sound = bytes <= EventFramer::kMaxEventBytes;
  if (sound && this->eventMemory.TryResize(bytes)) {
    return true;
  }
  LogEvent(LogLevel::Warning, "event_given_up")
    .With("request", this->call.request)
    .With("target", this->destination)
    .With("bytes", bytes)
    .With("reason", sound ? "no_memory" : "too_large")
    .With("held", this->context.memory.Held())
    .With("limit", this->context.memory.Limit());
  return false;
}

void
Exchange::DiscardPartialEvent()
{
  this->framer.DiscardPartialEvent();
  this->eventMemory.TryResize(0);
}

bool
Exchange::IsEventStream(const HttpResponseHead& aHead)
{
  return aHead.status == 200 &&
         aHead.fields.Get("Content-Type").substr(0, 17) == "text/event-stream";
}

Awaitable<bool>
Exchange::ForwardEvents(const HttpResponseHead& aHead, std::string_view aEvents)
{
  this->writing = true;
  const bool written = co_await this->WriteEvents(aHead, aEvents);
  this->writing = false;
  co_return written;
}

Awaitable<bool>
Exchange::WriteEvents(const HttpResponseHead& aHead, std::string_view aEvents)
{
  if (this->plan->PassedOn()) {
    co_return co_await this->caller.WriteChunk(aEvents);
  }
  this->plan->MarkPassedOn();
  if (!this->IsResumable()) {
    this->plan->ForbidRepeats();
  }
  if (!this->begunOn) {
    this->begunOn = this->attemptTarget.software;
  }
  this->caller.SetStreamSoftware(*this->begunOn);
  this->RecordOrigin();
  this->context.metrics.Observe(Sample::FirstToken,
                                MetricKey{ WorkspaceId(), this->route->name },
                                this->context.clock.MonotonicNow() - this->arrived);
  this->closeAnnounced = this->ShouldCloseCallerConnection();
  co_return co_await this->caller.BeginStream(aHead, aEvents, this->closeAnnounced);
}

Duration
Exchange::TimeUntilRested()
{
  if (this->context.rests.IsEmpty()) {
    return Duration::zero();
  }
  std::optional<Duration> shortest;
  for (const TargetRecord& target : this->Targets()) {
    if (WeightsOf(target, this->call.model) >= this->selection.minWeights) {
      const Duration rest = this->context.rests.Remaining(target.id, target.incarnation);
      shortest = std::min(shortest.value_or(rest), rest);
    }
  }
  return shortest.value_or(Duration::zero());
}

Duration
Exchange::RefusalRetryDelay()
{
  if (this->overloaded) {
    return this->context.retryScheduler.NextRetryDelay();
  }
  const Duration rest = this->TimeUntilRested();
  if (rest > Duration::zero()) {
    // Callers that return at the same moment would be turned away together once more.
    const Duration spread =
      this->context.retryScheduler.NextRetryDelay() - RetryScheduler::kMinRetryDelay;
    return rest + spread;
  }
  if (this->selection.rateLimited.empty()) {
    return kDefaultRetryDelay;
  }
  return std::max(
    kDefaultRetryDelay,
    this->context.limits.TimeUntilPermit(this->Targets()).value_or(kDefaultRetryDelay));
}

// Sends the caller its final response. Returns whether the caller's connection can take another
// request.
Awaitable<bool>
Exchange::Finish(ExchangeStep aStep)
{
  switch (aStep) {
    case ExchangeStep::Done:
      if (this->lastResult != AttemptResult::Delivered) {
        this->LogLoss("not_taken");
      }
      co_return this->lastResult == AttemptResult::Delivered && !this->closeAnnounced;
    case ExchangeStep::PassOn: {
      this->LogEnd("target_failed", this->failedResponse->head.status);
      HttpResponseMessage response{ std::move(this->failedResponse->head),
                                    this->failedResponse->body.TakeBytes() };
      co_return co_await this->WriteLastResponse(std::move(response));
    }
    case ExchangeStep::Refuse: {
      CallerError error =
        Refusal(ErrorKind::Unavailable, "no target took the request", "retry after the given time");
      // A stream whose version is gone cannot be resumed, so its caller should not come back.
      if (!this->begunOn || !this->Targets().empty()) {
        error.retryAfter = this->RefusalRetryDelay();
      }
      co_return co_await this->RespondWithError(error);
    }
    case ExchangeStep::Expire: {
      const Error expired = this->interrupt == Interrupt::HostStops
                              ? Error{ ErrorKind::DeadlineExceeded,
                                       "this host stopped before the target answered",
                                       "send the request again if it may run twice" }
                              : Error{ ErrorKind::DeadlineExceeded,
                                       "the target did not answer in time",
                                       "allow more time, or check the service" };
      const CallerError error{ expired, this->plan->Record().Outcome(), std::nullopt };
      co_return co_await this->RespondWithError(error);
    }
    case ExchangeStep::TryAnother:
    case ExchangeStep::Fail: {
      const Error broken{ ErrorKind::Interrupted,
                          "the target broke off before its answer was complete",
                          "check the service; it may have run the request" };
      const CallerError error{ broken, this->plan->Record().Outcome(), std::nullopt };
      co_return co_await this->RespondWithError(error);
    }
    case ExchangeStep::CutOff:
      this->LogEnd("cut_off", 0);
      this->LogLoss("cut_off");
      this->caller.Close();
      co_return false;
  }
  co_return false;
}

Awaitable<bool>
Exchange::RespondWithError(const CallerError& aError)
{
  HttpResponseMessage response = this->context.dialect.FailureResponse(aError, this->call.request);
  this->LogEnd(aError.error.message, response.head.status);
  co_return co_await this->WriteLastResponse(std::move(response));
}

// Returns whether the caller's connection can take another request.
Awaitable<bool>
Exchange::WriteLastResponse(HttpResponseMessage aResponse)
{
  const bool written = co_await this->WriteResponse(std::move(aResponse));
  if (!written) {
    this->LogLoss("not_taken");
  }
  co_return written && !this->closeAnnounced;
}

// A connection is closed after its response only if the response has announced it: the caller may
// have sent its next request already.
Awaitable<bool>
Exchange::WriteResponse(HttpResponseMessage aResponse)
{
  this->closeAnnounced = this->ShouldCloseCallerConnection();
  co_return co_await this->caller.WriteWhole(std::move(aResponse), this->closeAnnounced);
}

void
Exchange::OnInterrupt(Interrupt aReason)
{
  if (this->interrupt != Interrupt::None) {
    return;
  }
  // The caller still takes an answer that is there; writing it has a timeout of its own.
  if (aReason == Interrupt::Expired && this->partsBegun && this->writing) {
    this->deadline->Arm(kWriteCheckInterval);
    return;
  }
  this->interrupt = aReason;
  if (this->roomTicket) {
    this->context.room.Leave(*this->roomTicket);
  }
  this->CancelStandby();
  if (this->channel != nullptr) {
    this->channel->Close();
  }
  if (this->forwardingWait != nullptr) {
    this->forwardingWait->End();
  }
  if (this->forwarded != nullptr) {
    this->forwarded->Close();
  }
  if (aReason == Interrupt::CallerLeft || this->plan->PassedOn()) {
    this->caller.Close();
  }
}

AttemptResult
Exchange::ResultOfInterrupt() const
{
  return this->interrupt == Interrupt::CallerLeft ? AttemptResult::CallerLeft
                                                  : AttemptResult::Expired;
}

bool
Exchange::ShouldCloseCallerConnection() const
{
  return this->context.shuttingDown || this->context.overloaded ||
         ClosesConnection(this->request->head.fields, this->request->head.version);
}

Duration
Exchange::TimeLeft() const
{
  return this->plan->Limits().endsAt - this->context.clock.MonotonicNow();
}

} // namespace damasklink
