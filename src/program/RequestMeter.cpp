#include "RequestMeter.h"

namespace damasklink {
namespace {

bool
IsCallerFault(ErrorKind aKind)
{
  switch (aKind) {
    case ErrorKind::InvalidArgument:
    case ErrorKind::Unauthenticated:
    case ErrorKind::NotPermitted:
    case ErrorKind::NotFound:
    case ErrorKind::Conflict:
    case ErrorKind::Cancelled:
      return true;
    default:
      return false;
  }
}

} // namespace

RequestMeter::RequestMeter(Metrics& aMetrics, const Clock& aClock, const ResolvedPolicy& aPolicy)
  : metrics(aMetrics)
  , clock(aClock)
  , workspace(aPolicy.workspace)
  , level(aPolicy.serviceLevel)
  , begun(aClock.MonotonicNow())
{
  this->metrics.Add(Counter::Requests, this->Key(), 1);
}

void
RequestMeter::OnTokens(std::uint64_t aTokens)
{
  if (!this->firstToken) {
    this->firstToken = this->clock.MonotonicNow();
    this->metrics.Observe(Sample::FirstToken, this->Key(), *this->firstToken - this->begun);
  }
  this->tokens += aTokens;
}

void
RequestMeter::OnRetry()
{
  this->metrics.Add(Counter::Retries, this->Key(), 1);
}

void
RequestMeter::OnEngineAnswer(const AnswerUsage& aUsage)
{
  this->metrics.Add(Counter::PromptTokens, this->Key(), aUsage.prompt.Value());
  this->metrics.Add(Counter::ReusedTokens, this->Key(), aUsage.reused.Value());
  this->End(true);
}

void
RequestMeter::OnServiceResponse()
{
  this->metrics.CountServiceLevel(this->workspace, true);
  const Duration elapsed = this->clock.MonotonicNow() - this->begun;
  this->metrics.Observe(Sample::WholeRequest, this->Key("service"), elapsed);
}

void
RequestMeter::OnFailure(const CallerError& aError)
{
  const bool refused = aError.outcome == RunOutcome::NotRun;
  const Counter counter = refused ? Counter::Refusals : Counter::Failures;
  this->metrics.Add(counter, this->Key(ErrorKindName(aError.error.kind)), 1);
  if (!IsCallerFault(aError.error.kind)) {
    this->End(false);
  }
}

void
RequestMeter::End(bool aComplete)
{
  const MonotonicTime now = this->clock.MonotonicNow();
  const bool inTime = this->firstToken && *this->firstToken - this->begun <= this->level.firstToken;
  this->metrics.CountServiceLevel(this->workspace, aComplete && inTime);
  this->metrics.Add(Counter::AnswerTokens, this->Key(), this->tokens);
  if (!aComplete) {
    return;
  }
  this->metrics.Observe(Sample::WholeRequest, this->Key(), now - this->begun);
  if (this->tokens > 1) {
    // One observation of the mean: an observation for each token would cost too much.
    const auto gaps = static_cast<std::int64_t>(this->tokens - 1);
    this->metrics.Observe(Sample::BetweenTokens, this->Key(), (now - *this->firstToken) / gaps);
  }
}

MetricKey
RequestMeter::Key(std::string_view aKind) const
{
  return MetricKey{ this->workspace, std::string(aKind) };
}

} // namespace damasklink
