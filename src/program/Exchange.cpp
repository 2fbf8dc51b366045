#include "Exchange.h"

#include <algorithm>
#include <utility>

#include "damasklink/state/Digests.h"
#include "damasklink/state/Text.h"
#include "damasklink/state/Units.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

// Connections within a site take a few milliseconds, more when the target's queue of new ones is
// full. A host without power answers nothing at all: the rest of the call's time is worth more.
constexpr Duration kConnectPatience = std::chrono::milliseconds(300);

// Larger answers of calls that are no streams are not kept to be tried again.
constexpr std::size_t kMostWholeAnswer = std::size_t{ 4 } * 1024 * 1024;

// When a refused call should come again: a target's queue is some hundred milliseconds long.
constexpr Duration kComeBackAfter = std::chrono::milliseconds(250);

// Foreign answers that are skipped on one channel before it is given up.
constexpr int kMostForeignAnswers = 3;

CallerError
Refusal(ErrorKind aKind, std::string aMessage, std::string aRemedy)
{
  return CallerError{ Error{ aKind, std::move(aMessage), std::move(aRemedy) },
                      RunOutcome::NotRun,
                      std::nullopt };
}

// Events pass on one by one only where the target's bytes are events as they are.
bool
IsEventStream(const HttpResponseHead& aHead)
{
  return aHead.status == 200 &&
         aHead.fields.Get("Content-Type").substr(0, 17) == "text/event-stream";
}

} // namespace

Exchange::Exchange(EntryContext& aContext, CallerChannel& aCaller, HttpRequestMessage aRequest)
  : context(aContext)
  , caller(aCaller)
  , request(std::move(aRequest))
  , arrived(aContext.clock.MonotonicNow())
{
}

Awaitable<bool>
Exchange::Run()
{
  if (this->context.picture.Routes() == nullptr) {
    co_await this->AwaitConfiguration();
  }
  if (const std::optional<CallerError> refusal = this->Resolve()) {
    co_return co_await this->AnswerFailure(*refusal);
  }
  this->context.retries.OnCall(this->service);
  this->ending.emplace(this->context.loop.get_executor(),
                       [this] { this->OnInterrupt(Interrupt::Expired); });
  this->ending->Arm(std::max(this->TimeLeft(), Duration::zero()));
  this->caller.WatchForDisconnect([this] { this->OnInterrupt(Interrupt::CallerLeft); });
  const bool kept = co_await this->Relay();
  this->ending->Disarm();
  this->caller.StopWatching();
  co_return kept;
}

Awaitable<void>
Exchange::AwaitConfiguration()
{
  const auto read = this->context.dialect.ReadCall(this->request.head);
  const Duration patience =
    read ? read.value().timeout.value_or(Duration::zero()) : Duration::zero();
  co_await this->context.firstConfiguration.Wait(patience, this->request.body.size());
}

// Finds out what the call is and where it goes. Returns why it cannot be relayed.
std::optional<CallerError>
Exchange::Resolve()
{
  auto read = this->context.dialect.ReadCall(this->request.head);
  if (!read) {
    return CallerError{ read.error(), RunOutcome::NotRun, std::nullopt };
  }
  this->call = std::move(read.value());
  this->routes = this->context.picture.Routes();
  if (this->routes == nullptr) {
    CallerError error = Refusal(
      ErrorKind::Unavailable, "this host has no configuration yet", "come back a little later");
    error.retryAfter = this->context.comeBack.DelayDuringStartup(
      this->context.clock.MonotonicNow() - this->context.started);
    return error;
  }
  this->route = this->routes->FindRoute(this->call.host, PathOf(this->request.head.target));
  if (this->route == nullptr) {
    return Refusal(ErrorKind::NotFound, "no route leads to this host and path", "check both");
  }
  const bool needsKey = !this->route->open && !this->routes->Config().workspaces.empty();
  if (needsKey) {
    this->workspace = this->routes->FindWorkspace(this->call.key);
    if (this->workspace == nullptr) {
      return Refusal(ErrorKind::Unauthenticated, "the key is not known", "send a valid key");
    }
  }
  if (auto refusal = this->FindHomes()) {
    return refusal;
  }
  this->service = ChooseService(*this->route, ShortHash(this->call.request.Value()));
  if (this->CrashesTargets()) {
    return Refusal(ErrorKind::Unavailable,
                   "targets ended each time they ran this request",
                   "change the request, or ask the operator to release it");
  }
  ExchangeLimits terms;
  const bool resumable = this->route->kind == CallKind::Streaming && this->route->resumable;
  terms.repeatable = this->route->kind == CallKind::Idempotent || resumable;
  terms.mostTargets = std::max<std::uint64_t>(this->route->mostTargets, 1);
  const Duration patience = this->call.timeout.value_or(this->route->timeout);
  terms.endsAt = this->arrived + std::min(this->route->timeout, patience);
  this->plan.emplace(terms);
  this->question.zone = this->context.settings.zone;
  return std::nullopt;
}

std::optional<CallerError>
Exchange::FindHomes()
{
  static const std::vector<RegionId> kAnywhere;
  const bool bound = !this->route->allowedRegions.empty() ||
                     (this->workspace != nullptr && !this->workspace->allowedRegions.empty());
  if (!bound) {
    return std::nullopt;
  }
  this->homes =
    HomeRegions(this->route->allowedRegions,
                this->workspace == nullptr ? kAnywhere : this->workspace->allowedRegions,
                this->context.settings.regions);
  if (this->homes.AllowsNoZone()) {
    return Refusal(ErrorKind::NotPermitted,
                   "the route and the workspace have no home region in common",
                   "use another route, or ask the operator for a common region");
  }
  return std::nullopt;
}

Awaitable<bool>
Exchange::Relay()
{
  ExchangeStep step = ExchangeStep::TryAnother;
  while (step == ExchangeStep::TryAnother) {
    const TargetRecord* chosen = this->ChooseTarget();
    if (chosen == nullptr) {
      step = this->plan->WithoutTarget();
      break;
    }
    // The board may change while this call waits.
    const TargetRecord target = *chosen;
    this->lastEnd = co_await this->Attempt(target);
    step = this->plan->After(
      this->lastEnd, this->context.clock.MonotonicNow(), this->context.retries.Of(this->service));
    if (step == ExchangeStep::TryAnother && this->CrashesTargets()) {
      step = this->plan->WithoutTarget();
    }
    if (step == ExchangeStep::TryAnother) {
      this->context.metrics.Add(
        Counter::Retries,
        MetricKey{ WorkspaceId(), std::string(AttemptResultName(this->lastEnd)) },
        1);
    }
    if (this->lastEnd != AttemptResult::Delivered) {
      LogEvent(LogLevel::Info, "attempt_ended")
        .With("request", this->call.request)
        .With("target", target.id)
        .With("service", this->service)
        .With("end", AttemptResultName(this->lastEnd))
        .With("sends", this->plan->Sent())
        .With("left_ms",
              std::chrono::duration_cast<std::chrono::milliseconds>(this->TimeLeft()).count())
        .With("next", ExchangeStepName(step));
    }
  }
  co_return co_await this->Finish(step);
}

Awaitable<AttemptResult>
Exchange::Attempt(const TargetRecord& aTarget)
{
  this->plan->Begin(AttemptId(this->call.request.Value()), aTarget.id);
  this->question.excluded.insert(aTarget.id);
  this->work = CallLoad{};
  this->sentAt = MonotonicTime();
  this->answerBegun = false;
  this->refused = false;
  this->work.uncachedTokens = this->context.picker.UncachedTokens(this->question, aTarget.id);
  this->work.memory =
    TokenCount(this->call.promptTokens.Value() + this->call.maxAnswerTokens.Value());
  this->work.incarnation = aTarget.incarnation;
  this->work.queuedBehindOthers =
    this->context.picker.LoadOf(aTarget.id).unread >= TargetPicker::kLongPrefill;
  this->context.picker.OnSent(aTarget.id, this->question, this->work);
  this->context.limits.OnSent(aTarget.id);
  this->context.returns.OnAdmitted();
  if (this->context.picker.HasUrgentSends() && this->context.tellSends) {
    this->context.tellSends();
  }
  this->context.health.OnStart(aTarget.id);
  this->context.reach.OnStart(aTarget.zone);
  AttemptResult end = co_await this->Converse(aTarget);
  if (this->interrupt != Interrupt::None && end != AttemptResult::Delivered) {
    end = this->EndOfFailure();
  }
  const bool evacuated = this->context.picture.Targets().Evacuated().contains(aTarget.zone);
  const bool usable =
    end != AttemptResult::Expired && end != AttemptResult::CallerLeft && !evacuated;
  if (this->channel != nullptr && usable) {
    this->context.pool.Keep(aTarget.endpoint, std::move(this->channel));
  }
  // Closing tells the target that nobody waits for the rest.
  this->channel.reset();
  this->context.picker.OnEnd(aTarget.id, this->work);
  if (end == AttemptResult::Delivered) {
    this->NoteRun();
    this->NoteSound();
    if (!this->context.broken.IsEmpty()) {
      this->context.broken.OnAnswered(aTarget.id, aTarget.incarnation, this->sentAt);
    }
  } else if (end == AttemptResult::Broken) {
    this->NoteBroken(aTarget);
  } else if (end == AttemptResult::Expired || end == AttemptResult::CallerLeft) {
    this->NoteUnanswered(aTarget);
  }
  // What became of a call to an earlier start of the target says nothing of the one that is there.
  const TargetRecord* now = this->context.picture.Targets().Find(aTarget.id);
  const bool restarted = now != nullptr && now->incarnation > aTarget.incarnation;
  const HealthSignal sign = restarted ? HealthSignal::None : this->SignOf(end);
  this->context.health.OnEnd(aTarget.id, sign);
  this->NoteReach(aTarget, sign);
  co_return end;
}

Awaitable<std::unique_ptr<TargetChannel>>
Exchange::Connect(const TargetRecord& aTarget)
{
  std::unique_ptr<TargetChannel> idle = this->context.pool.TakeIdle(aTarget.endpoint);
  if (idle != nullptr) {
    co_return idle;
  }
  auto fresh =
    std::make_unique<TargetChannel>(this->context.loop.get_executor(), this->context.clock);
  const Duration patience =
    std::clamp(this->TimeLeft(), Duration(std::chrono::milliseconds(1)), kConnectPatience);
  auto connected = co_await fresh->Connect(aTarget.endpoint, patience);
  if (!connected) {
    this->refused = connected.error().kind == ErrorKind::NotFound;
    LogEvent(LogLevel::Info, "target_unreachable")
      .With("request", this->call.request)
      .With("target", aTarget.id)
      .With("error", connected.error());
    co_return nullptr;
  }
  co_return fresh;
}

Awaitable<AttemptResult>
Exchange::Converse(const TargetRecord& aTarget)
{
  this->channel = co_await this->Connect(aTarget);
  if (this->channel == nullptr) {
    co_return AttemptResult::Unreachable;
  }
  if (this->interrupt != Interrupt::None) {
    co_return this->EndOfFailure();
  }
  this->plan->Sending();
  this->sentAt = this->context.clock.MonotonicNow();
  const TargetCall call = this->CallFor(aTarget);
  this->LogSend(aTarget, call);
  const HttpRequestHead head =
    this->context.dialect.MakeTargetRequestHead(this->request.head, call);
  // A target may answer before it has read a long body, so a failed send is not the end: the
  // answer that came first counts.
  auto sent = co_await this->channel->Send(head, this->request.body);
  auto answer = co_await this->ReadOwnHead(aTarget);
  if (!answer) {
    LogEvent(LogLevel::Info, "target_broke")
      .With("request", this->call.request)
      .With("target", aTarget.id)
      .With("sent", sent ? "whole" : "part")
      .With("error", answer.error());
    this->unacknowledged = answer.error().kind == ErrorKind::DeadlineExceeded;
    co_return AttemptResult::Broken;
  }
  co_return co_await this->TakeAnswer(aTarget, std::move(answer.value()));
}

// Reads the answer to this call. Answers to other requests that stand before it on the channel
// belong to nobody and are dropped; the channel is not used again.
Awaitable<Result<HttpResponseHead>>
Exchange::ReadOwnHead(const TargetRecord& aTarget)
{
  for (int skipped = 0; skipped < kMostForeignAnswers; ++skipped) {
    auto head = co_await this->channel->ReadHead();
    if (!head) {
      co_return head;
    }
    const TargetResponseInfo facts = this->context.dialect.ReadResponse(head.value());
    this->context.reach.OnBytes(aTarget.zone);
    this->context.checks.OnBytes(aTarget.id);
    if (facts.request == this->call.request || facts.request.Empty()) {
      co_return head;
    }
    LogEvent(LogLevel::Warning, "foreign_answer_dropped")
      .With("request", this->call.request)
      .With("target", aTarget.id)
      .With("belongs_to", facts.request);
    if (auto rest = co_await this->channel->ReadRest(kMostWholeAnswer); !rest) {
      co_return Fail(rest.error());
    }
  }
  co_return Fail(ErrorKind::Corrupt,
                 "the target sent answers to other requests only",
                 "look at the target's own log");
}

Awaitable<AttemptResult>
Exchange::TakeAnswer(const TargetRecord& aTarget, HttpResponseHead aHead)
{
  const TargetResponseInfo facts = this->context.dialect.ReadResponse(aHead);
  this->answerBegun = true;
  this->NoteLimit(aTarget, facts);
  if (facts.coldFor > Duration::zero()) {
    this->context.limits.OnCold(aTarget, facts.coldFor);
  }
  if (facts.wrongTarget && facts.target != aTarget.id && !facts.target.Empty()) {
    this->context.picture.Targets().MarkRemoved(aTarget.id);
  }
  if (facts.notRun) {
    auto rest = co_await this->channel->ReadRest(kMostWholeAnswer);
    if (!rest) {
      this->channel->Close();
    }
    co_return AttemptResult::Refused;
  }
  if (IsEventStream(aHead)) {
    co_return co_await this->PassStream(aTarget, std::move(aHead));
  }
  co_return co_await this->PassWhole(std::move(aHead));
}

Awaitable<AttemptResult>
Exchange::PassWhole(HttpResponseHead aHead)
{
  auto body = co_await this->channel->ReadRest(kMostWholeAnswer);
  if (!body) {
    LogEvent(LogLevel::Info, "target_broke")
      .With("request", this->call.request)
      .With("status", aHead.status)
      .With("error", body.error());
    co_return AttemptResult::Broken;
  }
  RemoveHopByHopFields(aHead.fields);
  if (aHead.status >= 500) {
    this->failure = WholeAnswer{ std::move(aHead), std::move(body.value()) };
    co_return AttemptResult::Failed;
  }
  this->ending->Disarm();
  this->ranWell = aHead.status < 300;
  this->LogEnd("answered", aHead.status);
  HttpResponseMessage answer{ std::move(aHead), std::move(body.value()) };
  const bool written = co_await this->caller.WriteWhole(std::move(answer), this->ClosesAfter());
  co_return written ? AttemptResult::Delivered : AttemptResult::CallerLeft;
}

Awaitable<AttemptResult>
Exchange::PassStream(const TargetRecord& aTarget, HttpResponseHead aHead)
{
  RemoveHopByHopFields(aHead.fields);
  while (true) {
    auto piece = co_await this->channel->ReadChunk();
    if (!piece) {
      LogEvent(LogLevel::Info, "stream_broke")
        .With("request", this->call.request)
        .With("target", aTarget.id)
        .With("last_event", this->framer.LastEvent().value_or(0))
        .With("passed_on", this->plan->PassedOn())
        .With("error", piece.error());
      this->framer.DiscardPartialEvent();
      co_return AttemptResult::Broken;
    }
    if (!piece.value()) {
      break;
    }
    this->context.reach.OnBytes(aTarget.zone);
    this->context.checks.OnBytes(aTarget.id);
    this->NoteFirstEvent(aTarget);
    const std::string events = this->framer.Append(*piece.value());
    if (!events.empty() && !co_await this->PassEvents(aHead, events)) {
      co_return AttemptResult::CallerLeft;
    }
  }
  if (this->framer.HasPartialEvent()) {
    this->framer.DiscardPartialEvent();
    co_return AttemptResult::Broken;
  }
  if (!this->plan->PassedOn()) {
    // A stream without any event.
    HttpResponseMessage empty{ aHead, "" };
    const bool written = co_await this->caller.WriteWhole(std::move(empty), this->ClosesAfter());
    co_return written ? AttemptResult::Delivered : AttemptResult::CallerLeft;
  }
  this->ranWell = true;
  this->LogEnd("streamed", aHead.status);
  const bool ended = co_await this->caller.EndStream();
  co_return ended ? AttemptResult::Delivered : AttemptResult::CallerLeft;
}

Awaitable<bool>
Exchange::PassEvents(const HttpResponseHead& aHead, std::string_view aEvents)
{
  if (this->plan->PassedOn()) {
    co_return co_await this->caller.WriteChunk(aEvents);
  }
  this->plan->MarkPassedOn();
  this->context.metrics.Observe(Sample::FirstToken,
                                MetricKey{ WorkspaceId(), this->route->name },
                                this->context.clock.MonotonicNow() - this->arrived);
  co_return co_await this->caller.BeginStream(aHead, aEvents, this->ClosesAfter());
}

Duration
Exchange::ComeBackAfter()
{
  if (this->overloaded) {
    return this->context.returns.NextRetryDelay();
  }
  if (this->question.rateLimited.empty()) {
    return kComeBackAfter;
  }
  return std::max(kComeBackAfter,
                  this->context.limits.TimeUntilPermit(this->Targets()).value_or(kComeBackAfter));
}

// Gives the caller its final answer. Returns whether its channel may be used again.
Awaitable<bool>
Exchange::Finish(ExchangeStep aStep)
{
  switch (aStep) {
    case ExchangeStep::Done:
      co_return this->lastEnd == AttemptResult::Delivered && !this->ClosesAfter();
    case ExchangeStep::PassOn: {
      this->LogEnd("target_failed", this->failure->head.status);
      HttpResponseMessage answer{ std::move(this->failure->head), std::move(this->failure->body) };
      const bool written = co_await this->caller.WriteWhole(std::move(answer), this->ClosesAfter());
      co_return written && !this->ClosesAfter();
    }
    case ExchangeStep::Refuse: {
      CallerError error = Refusal(
        ErrorKind::Unavailable, "no target took the request", "come back after the time given");
      error.retryAfter = this->ComeBackAfter();
      co_return co_await this->AnswerFailure(error);
    }
    case ExchangeStep::Expire: {
      const Error late{ ErrorKind::DeadlineExceeded,
                        "the target did not answer in time",
                        "allow more time, or look at the service" };
      const CallerError error{ late, this->plan->Record().Outcome(), std::nullopt };
      co_return co_await this->AnswerFailure(error);
    }
    case ExchangeStep::TryAnother:
    case ExchangeStep::Fail: {
      const Error broken{ ErrorKind::Interrupted,
                          "the target broke off before its answer was whole",
                          "look at the service; it may have run the request" };
      const CallerError error{ broken, this->plan->Record().Outcome(), std::nullopt };
      co_return co_await this->AnswerFailure(error);
    }
    case ExchangeStep::CutOff:
      this->LogEnd("cut_off", 0);
      this->caller.Close();
      co_return false;
  }
  co_return false;
}

Awaitable<bool>
Exchange::AnswerFailure(const CallerError& aError)
{
  HttpResponseMessage answer = this->context.dialect.FailureResponse(aError, this->call.request);
  this->LogEnd(aError.error.message, answer.head.status);
  const bool close = this->ClosesAfter();
  const bool written = co_await this->caller.WriteWhole(std::move(answer), close);
  co_return written && !close;
}

void
Exchange::OnInterrupt(Interrupt aReason)
{
  if (this->interrupt != Interrupt::None) {
    return;
  }
  this->interrupt = aReason;
  if (this->channel != nullptr) {
    this->channel->Close();
  }
  if (aReason == Interrupt::CallerLeft || this->plan->PassedOn()) {
    this->caller.Close();
  }
}

AttemptResult
Exchange::EndOfFailure() const
{
  return this->interrupt == Interrupt::CallerLeft ? AttemptResult::CallerLeft
                                                  : AttemptResult::Expired;
}

bool
Exchange::ClosesAfter() const
{
  return this->context.leaving ||
         ClosesConnection(this->request.head.fields, this->request.head.version);
}

Duration
Exchange::TimeLeft() const
{
  return this->plan->Limits().endsAt - this->context.clock.MonotonicNow();
}

} // namespace damasklink
