// What an exchange shows of its targets, and what it leaves in the log and the metrics; the rest of
// the class stands in Exchange.cpp.
#include "Exchange.h"

#include <algorithm>

#include "damasklink/state/Units.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

// Far longer than a target that is well takes to begin its answer.
constexpr Duration kSuspiciousWait = std::chrono::seconds(1);

// Whoever ends connections that it does not want does so sooner.
constexpr Duration kLongerThanADrop = std::chrono::milliseconds(100);

} // namespace

void
Exchange::NoteReach(const TargetRecord& aTarget, HealthSignal aSign)
{
  if (this->refused) {
    this->context.reach.OnBytes(aTarget.zone);
    return;
  }
  const bool before = this->context.reach.IsUnreachable(aTarget.zone);
  this->context.reach.OnEnd(aTarget.zone, aTarget.id, aSign);
  if (!before && this->context.reach.IsUnreachable(aTarget.zone)) {
    LogEvent(LogLevel::Warning, "zone_out_of_reach")
      .With("zone", aTarget.zone)
      .With("target", aTarget.id)
      .With("request", this->call.request);
  }
}

CrashReport
Exchange::ReportOn(const TargetRecord& aTarget)
{
  return CrashReport{ this->Fingerprint(),
                      this->workspace == nullptr ? WorkspaceId() : this->workspace->name,
                      this->service,
                      aTarget.id,
                      aTarget.incarnation };
}

// Reports the request where the target has ended under it, as soon as something proves that. A
// target that said that it leaves ends for that reason.
void
Exchange::NoteBroken(const TargetRecord& aTarget)
{
  const CrashReport report = this->ReportOn(aTarget);
  const bool leaves = this->context.picture.Targets().Find(aTarget.id) == nullptr;
  LogEvent(LogLevel::Info, "attempt_broken")
    .With("request", this->call.request)
    .With("fingerprint", report.request)
    .With("workspace", report.workspace)
    .With("target", aTarget.id)
    .With("incarnation", aTarget.incarnation)
    .With("leaves", leaves);
  if (leaves) {
    return;
  }
  const bool underWay = this->WasUnderWay();
  if (underWay) {
    this->context.broken.Add(report, aTarget.endpoint);
  }
  CrashWatch& watch = this->context.crashes;
  this->context.checks.Run(aTarget, [&watch, report, underWay](EndProof aProof) {
    if (underWay || aProof == EndProof::Refused) {
      watch.OnCrash(report);
    }
  });
}

// Guards against striking requests that were sent after the target had ended, to whoever listens at
// its address and ends connections.
bool
Exchange::WasUnderWay() const
{
  return this->answerBegun || this->context.clock.MonotonicNow() - this->sentAt >= kLongerThanADrop;
}

// A target that ended without closing its connections shows by its silence alone. Most callers that
// leave do so sooner, and their targets are well.
void
Exchange::NoteUnanswered(const TargetRecord& aTarget)
{
  const bool sent = this->sentAt != MonotonicTime();
  const Duration waited = this->context.clock.MonotonicNow() - this->sentAt;
  if (sent && !this->plan->PassedOn() && waited >= kSuspiciousWait) {
    this->context.broken.Add(this->ReportOn(aTarget), aTarget.endpoint);
  }
}

void
Exchange::NoteLimit(const TargetRecord& aTarget, const TargetResponseInfo& aFacts)
{
  if (aFacts.unreadable) {
    LogEvent(LogLevel::Warning, "target_answer_unreadable")
      .With("request", this->call.request)
      .With("target", aTarget.id)
      .With("error", *aFacts.unreadable);
    return;
  }
  // What another target answers, or one that did not run the call, lifts nothing.
  if (aFacts.wrongTarget || (aFacts.notRun && !aFacts.limit)) {
    return;
  }
  this->context.limits.OnAnswer(aTarget, aFacts.limit, this->sentAt);
}

void
Exchange::NoteSound()
{
  if (this->ranWell && this->context.crashes.IsActive()) {
    this->context.crashes.OnSuccessfulRun(SuccessfulRun{ this->Fingerprint(), this->service });
  }
}

bool
Exchange::CrashesTargets()
{
  return this->context.crashes.IsActive() && this->context.crashes.IsRefused(this->Fingerprint());
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
  identity.method = this->request.head.method;
  identity.path = this->request.head.target;
  identity.body = this->request.body;
  this->fingerprint = FingerprintOf(identity);
  return *this->fingerprint;
}

HealthSignal
Exchange::SignOf(AttemptResult aEnd) const
{
  switch (aEnd) {
    case AttemptResult::Unreachable:
      return HealthSignal::NotReached;
    case AttemptResult::Broken:
      return this->unacknowledged ? HealthSignal::NotReached : HealthSignal::Bad;
    case AttemptResult::CallerLeft:
    case AttemptResult::Expired:
      return HealthSignal::None;
    case AttemptResult::Delivered:
    case AttemptResult::Refused:
    case AttemptResult::Failed:
      return HealthSignal::Good;
  }
  return HealthSignal::None;
}

// One line for each choice of a target for a prompt, with what decided it: whether it is found kept
// there, fetched or read, and how busy the target was believed to be without this call.
void
Exchange::LogSend(const TargetRecord& aTarget, const TargetCall& aCall) const
{
  if (this->question.promptTokens == TokenCount()) {
    return;
  }
  const auto moved = [](const std::vector<PartTransfer>& aMoves) {
    return std::count_if(aMoves.begin(), aMoves.end(), [](const PartTransfer& aMove) {
      return aMove.peer.has_value();
    });
  };
  const LoadCounts load = this->context.picker.LoadOf(aTarget.id);
  LogEvent(LogLevel::Info, "prompt_sent")
    .With("request", this->call.request)
    .With("target", aTarget.id)
    .With("send", this->plan->Sent())
    .With("prompt", this->question.promptTokens)
    .With("parts", this->question.parts.size())
    .With("last_part", this->question.parts.empty() ? PartKey() : this->question.parts.back().key)
    .With("to_read", this->work.uncachedTokens)
    .With("fetches", moved(aCall.fetches))
    .With("fetched_from", this->fetchedFrom)
    .With("saves", moved(aCall.saves))
    .With("slow_stores", this->avoided.size())
    .With("unread", load.unread - std::min(load.unread, this->work.uncachedTokens.Value()))
    .With("running", load.requests - std::min<std::uint64_t>(load.requests, 1))
    .With("memory", load.memory)
    .With("weights", this->weights);
}

// Counts the end of the call by its route, a refusal or failure by its status.
void
Exchange::Count(int aStatus, Duration aTook) const
{
  const std::string name = this->route == nullptr ? "none" : this->route->name;
  Metrics& metrics = this->context.metrics;
  metrics.Add(Counter::Requests, MetricKey{ WorkspaceId(), name }, 1);
  metrics.Observe(Sample::WholeRequest, MetricKey{ WorkspaceId(), name }, aTook);
  if (aStatus == 503) {
    const bool crashes = this->fingerprint && this->context.crashes.IsRefused(*this->fingerprint);
    const char* cause = crashes ? "crashes_targets" : this->overloaded ? "overloaded" : "no_target";
    metrics.Add(Counter::Refusals, MetricKey{ WorkspaceId(), cause }, 1);
  } else if (aStatus >= 400 || aStatus == 0) {
    metrics.Add(Counter::Failures, MetricKey{ WorkspaceId(), std::to_string(aStatus) }, 1);
  }
}

void
Exchange::LogEnd(std::string_view aOutcome, int aStatus) const
{
  const bool good = aStatus >= 200 && aStatus < 300;
  const Duration took = this->context.clock.MonotonicNow() - this->arrived;
  this->Count(aStatus, took);
  LogEvent(good ? LogLevel::Debug : LogLevel::Info, "request_ended")
    .With("overloaded", this->overloaded)
    .With("request", this->call.request)
    .With("fingerprint", this->fingerprint.value_or(RequestFingerprint()))
    .With("route", this->route == nullptr ? "" : std::string_view(this->route->name))
    .With("configuration", this->routes == nullptr ? Revision() : this->routes->Config().version)
    .With("outcome", aOutcome)
    .With("status", aStatus)
    .With("sends", this->plan ? this->plan->Sent() : 0)
    .With("last_end", AttemptResultName(this->lastEnd))
    .With("took_ms", WholeMilliseconds(took));
}

} // namespace damasklink
