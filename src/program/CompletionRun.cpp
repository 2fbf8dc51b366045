#include "CompletionRun.h"

#include <algorithm>
#include <random>
#include <thread>
#include <utility>

#include "damasklink/state/Text.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

// How often a disconnect of the caller, the deadline and a stop are checked while the engine is
// silent.
constexpr Duration kPollInterval = std::chrono::milliseconds(100);
// How long Open() waits, so that a refusal gets an HTTP status of its own. Afterwards the stream is
// open, and a disconnect of the caller is noticed.
constexpr Duration kOpenTimeout = std::chrono::seconds(1);
// Text buffered of one answer. A longer answer can be resumed, but not continued on another engine.
constexpr std::size_t kMaxBufferedBytes = 8 * kMebibyte;
// Range of the random delay before a repeat, in milliseconds; the upper end doubles with each try.
constexpr std::uint64_t kMinRetryDelay = 5;
constexpr std::uint64_t kMaxRetryDelay = 25;

// Sleeps for a random time, so that requests that failed together are not repeated together.
void
DelayBeforeRepeat(std::uint64_t aTries)
{
  thread_local std::minstd_rand random{ std::random_device{}() };
  std::uniform_int_distribution<std::uint64_t> spread(kMinRetryDelay, kMaxRetryDelay << aTries);
  std::this_thread::sleep_for(std::chrono::milliseconds(spread(random)));
}

} // namespace

CompletionRun::CompletionRun(const RelayContext& aContext,
                             const CompletionCall& aCall,
                             RequestMeter& aMeter,
                             DispatchRecord& aRecord)
  : context(aContext)
  , call(aCall)
  , meter(aMeter)
  , record(aRecord)
  , deadline(aContext.host.clock.MonotonicNow() + aCall.timeLimit)
{
  this->route.workspace = this->call.policy.workspace;
  this->route.model = this->call.request.model;
  this->route.version = this->call.request.version;
  this->route.adapter = this->call.request.adapter;
  this->route.grants = this->call.policy.models;
  this->route.objective = this->call.policy.objective;
  aContext.reuse.LookUp(this->call.request.prompt, this->route);
}

CompletionRun::~CompletionRun()
{
  this->EndAttempt(false);
}

void
CompletionRun::End()
{
  this->context.reuse.OnAnswered(this->route, this->decision, this->stream->Assembled().Usage());
  this->ReportAttemptEnd(LoadSignal::Served, HealthSignal::Good);
  this->outstanding = false;
  this->context.routing.OnDone(this->route, this->decision, true);
}

// Without a target the pool is that of the model: callers may name any version and adapter, and
// each would make a new pool.
PoolId
CompletionRun::Pool(bool aNoTarget) const
{
  const std::string model = "model/" + this->route.model.Value();
  if (aNoTarget) {
    return PoolId(model);
  }
  return PoolId(Concat(model, "@", this->route.version.Value(), "+", this->route.adapter.Value()));
}

std::vector<TargetRecord>
CompletionRun::Eligible() const
{
  const auto view = this->context.host.views.Get();
  std::vector<TargetRecord> eligible;
  for (const TargetRecord& target : view->targets) {
    if (!EligibleVersion(this->route, target).Empty()) {
      eligible.push_back(target);
    }
  }
  return eligible;
}

Result<void>
CompletionRun::Open()
{
  if (auto started = this->StartOnNewTarget(); !started) {
    if (!this->outstanding) {
      return started;
    }
    if (auto recovered = this->Recover(started.error()); !recovered) {
      return recovered;
    }
  }
  const MonotonicTime deadline = this->context.host.clock.MonotonicNow() + kOpenTimeout;
  while (this->context.host.clock.MonotonicNow() < deadline) {
    auto text = this->PollOnce(nullptr);
    if (!text) {
      if (auto recovered = this->Recover(text.error()); !recovered) {
        return recovered;
      }
      continue;
    }
    if (!text.value().empty() || this->stream->Complete()) {
      return Success();
    }
  }
  return Success();
}

Result<std::string>
CompletionRun::NextText(const StreamWriter* aCaller)
{
  while (this->pending.empty() && !this->stream->Complete()) {
    auto text = this->PollOnce(aCaller);
    if (text) {
      continue;
    }
    if (auto recovered = this->Recover(text.error()); !recovered) {
      return Fail(recovered.error());
    }
  }
  return std::exchange(this->pending, {});
}

Result<std::string>
CompletionRun::PollOnce(const StreamWriter* aCaller)
{
  if (auto checked = this->CheckMayContinue(); !checked) {
    return Fail(checked.error());
  }
  auto text = this->stream->Poll(std::min(kPollInterval, this->TimeLeft()));
  if (!text) {
    return text;
  }
  const MonotonicTime now = this->context.host.clock.MonotonicNow();
  if (!text.value().empty() || this->stream->Complete()) {
    this->lastProgress = now;
    this->AppendText(text.value());
    return text;
  }
  // While there is text, a failed write shows that the caller disconnected.
  if (aCaller != nullptr && !aCaller->IsOpen()) {
    return Fail(ErrorKind::Cancelled, "the caller disconnected", "");
  }
  const HostTimeouts& timeouts = this->context.host.settings.timeouts;
  const Duration limit = this->tokens == 0 ? timeouts.firstToken : timeouts.betweenTokens;
  if (now - this->lastProgress >= limit) {
    return Fail(ErrorKind::DeadlineExceeded, "the engine stopped responding", "try again");
  }
  return text;
}

Result<void>
CompletionRun::CheckMayContinue() const
{
  if (this->context.state.MustStop()) {
    return Fail(ErrorKind::Unavailable, "this host is stopping", "send the prompt again");
  }
  if (this->TimeLeft() <= Duration(0)) {
    return Fail(ErrorKind::DeadlineExceeded,
                "the request's deadline passed",
                "allow more time, or ask for fewer tokens");
  }
  return Success();
}

void
CompletionRun::AppendText(const std::string& aText)
{
  const std::uint64_t now = this->stream->Assembled().NextOffset();
  if (this->tokens == 0 && now > 0) {
    this->firstToken = this->context.host.clock.MonotonicNow() - this->attemptStart;
    this->context.routing.OnFirstToken(this->route, this->decision, this->firstToken, TokenCount());
  }
  this->meter.OnTokens(now - this->tokens);
  this->tokens = now;
  this->pending += aText;
  this->buffered = this->buffered && this->answer.size() + aText.size() <= kMaxBufferedBytes;
  if (this->buffered) {
    this->answer += aText;
  } else {
    this->answer.clear();
  }
}

Result<void>
CompletionRun::StartOnNewTarget()
{
  const auto usable = this->context.admission.Usable(this->Eligible());
  auto chosen = this->context.routing.ChooseAndSend(this->route, usable);
  if (!chosen) {
    return Fail(chosen.error());
  }
  this->decision = chosen.value();
  this->outstanding = true;
  this->resumed = false;
  this->route.excluded.push_back(this->decision.target);
  this->context.reuse.ImportBlocks(this->route, this->decision);
  const std::size_t number = this->record.Attempts().size() + 1;
  return this->StartAttempt(AttemptId(Concat(this->call.id.Value(), "-", number)));
}

Result<void>
CompletionRun::StartAttempt(const AttemptId& aAttempt)
{
  EnginePrompt prompt;
  prompt.attempt = aAttempt;
  prompt.workspace = this->route.workspace;
  prompt.model = this->call.request.model;
  prompt.version = this->decision.version;
  prompt.adapter = this->call.request.adapter;
  prompt.prompt = this->call.request.prompt;
  prompt.maxTokens = this->call.request.maxTokens;
  prompt.offset = this->tokens;
  prompt.delivered = this->answer;
  prompt.sampling = this->call.request.sampling;
  this->record.Begin(prompt.attempt, this->decision.target);
  this->context.admission.OnStart(this->decision.target);
  this->attemptOpen = true;
  ++this->tries;
  this->tokensBefore = this->tokens;
  this->attemptStart = this->context.host.clock.MonotonicNow();
  this->lastProgress = this->attemptStart;
  if (this->ticket != nullptr && !this->ticket->LeaseValid(this->attemptStart)) {
    return Fail(ErrorKind::Conflict, "the claim of the key expired", "try again");
  }
  const Duration connect = std::min(this->context.host.settings.timeouts.connect, this->TimeLeft());
  auto opened = EngineStream::Open(this->decision.endpoint, connect, prompt, this->record);
  if (!opened) {
    return Fail(opened.error());
  }
  this->stream = std::move(opened.value());
  return Success();
}

Result<void>
CompletionRun::Recover(Error aError)
{
  while (true) {
    this->ReportAttemptFailure(aError.kind);
    // Only attempts without progress count against the request.
    if (this->tokens > this->tokensBefore) {
      this->tries = 1;
    }
    LostAttempt lost;
    lost.kind = aError.kind;
    lost.outcome = this->record.Outcome();
    lost.tokens = this->tokens;
    lost.tokensBefore = this->tokensBefore;
    lost.tries = this->tries;
    lost.resumed = this->resumed;
    lost.held = this->buffered;
    lost.repeatable = this->ticket == nullptr;
    lost.timeLeft = this->context.state.MustStop() ? Duration(0) : this->TimeLeft();
    const RecoveryStep step = DecideRecoveryStep(lost);
    const bool withinBudget = step != RecoveryStep::Repeat || this->context.state.TryTakeRetry();
    if (step == RecoveryStep::GiveUp || !withinBudget) {
      return Fail(std::move(aError));
    }
    LogEvent(LogLevel::Warning, "attempt_failed")
      .With("request", this->call.id)
      .With("target", this->decision.target)
      .With("tokens", this->tokens)
      .With("error", aError);
    auto recovered = this->ExecuteStep(step);
    if (recovered) {
      this->meter.OnRetry();
      return Success();
    }
    // The failure of the last target says more than the error that no other target is left.
    if (!this->outstanding) {
      return Fail(std::move(aError));
    }
    aError = recovered.error();
  }
}

Result<void>
CompletionRun::ExecuteStep(RecoveryStep aStep)
{
  if (aStep == RecoveryStep::Resume) {
    this->stream.reset();
    this->resumed = true;
    return this->StartAttempt(this->record.Attempts().back().id);
  }
  this->EndAttempt(false);
  if (aStep == RecoveryStep::Repeat) {
    DelayBeforeRepeat(this->tries);
  } else {
    this->route.continuation = true;
    this->route.version = this->decision.version;
  }
  return this->StartOnNewTarget();
}

void
CompletionRun::ReportAttemptEnd(LoadSignal aLoad, HealthSignal aHealth)
{
  if (this->attemptOpen) {
    this->attemptOpen = false;
    this->context.admission.OnEnd(this->decision.target, aLoad, aHealth, this->firstToken);
  }
}

void
CompletionRun::ReportAttemptFailure(ErrorKind aFailure)
{
  if (aFailure == ErrorKind::Overloaded) {
    return this->ReportAttemptEnd(LoadSignal::Overloaded, HealthSignal::Good);
  }
  const bool notTargetsFault = aFailure == ErrorKind::Cancelled ||
                               aFailure == ErrorKind::Conflict || this->TimeLeft() <= Duration(0) ||
                               this->context.state.MustStop();
  this->ReportAttemptEnd(LoadSignal::Failed,
                         notTargetsFault ? HealthSignal::None : HealthSignal::Bad);
}

Duration
CompletionRun::TimeLeft() const
{
  return std::max(this->deadline - this->context.host.clock.MonotonicNow(), Duration(0));
}

void
CompletionRun::EndAttempt(bool aWhole)
{
  this->stream.reset();
  this->ReportAttemptEnd(LoadSignal::Failed, HealthSignal::None);
  if (this->outstanding) {
    this->outstanding = false;
    this->context.routing.OnDone(this->route, this->decision, aWhole);
  }
}

} // namespace damasklink
