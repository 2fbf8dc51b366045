// What an Exchange does when its host stops. The rest of the class is in the other Exchange*.cpp
// files.
#include "Exchange.h"

#include "damasklink/state/Units.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

// Retry-After of a call that a stopping host does not take. Others take it at once.
constexpr Duration kRetryDelayAtStop = std::chrono::milliseconds(50);

} // namespace

// Calls that other hosts forward are declined before they get here.
std::optional<CallerError>
Exchange::RefusalAtStop()
{
  if (this->forwardedLimits) {
    return std::nullopt;
  }
  this->refusedAtStop = !this->context.stopping.MayTake(
    this->route->name, { this->TimeLeft(), this->CallerPatience() });
  if (!this->refusedAtStop) {
    return std::nullopt;
  }
  const Error stopping{ ErrorKind::Unavailable,
                        "this host stops before the call is expected to end",
                        "send the request again on a new connection" };
  return CallerError{ stopping, RunOutcome::NotRun, kRetryDelayAtStop };
}

void
Exchange::LearnCallTime()
{
  const bool answered =
    this->lastResult == AttemptResult::Delivered || this->lastResult == AttemptResult::Failed;
  if (answered && !this->forwardedLimits) {
    const Duration took = this->context.clock.MonotonicNow() - this->arrived;
    this->context.stopping.OnAnswered(this->route->name, took, this->longestSilence);
  }
}

void
Exchange::OnStopLimit()
{
  if (this->received || this->interrupt != Interrupt::None) {
    return;
  }
  this->LogCutAtStop(this->plan->PassedOn() ? "cut_off" : "given_up");
  this->OnInterrupt(Interrupt::HostStops);
  if (this->forwardedLimits) {
    // The other host then sends the call elsewhere where that is allowed.
    this->caller.Close();
  }
}

void
Exchange::LogCutAtStop(std::string_view aOutcome) const
{
  const MonotonicTime now = this->context.clock.MonotonicNow();
  const bool sent = this->sentAt != MonotonicTime();
  LogEvent(LogLevel::Warning, "call_cut_at_stop")
    .With("request", this->call.request)
    .With("route", this->route->name)
    .With("target", this->destination)
    .With("outcome", aOutcome)
    .With("passed_on", this->plan->PassedOn())
    .With("sends", this->plan->Sent())
    .With("stopping_for_ms",
          WholeMilliseconds(now - this->context.stopping.StoppingSince().value_or(now)))
    .With("taken_before_ms", WholeMilliseconds(now - this->arrived))
    .With("silence_ms", WholeMilliseconds(sent ? this->Silence() : Duration::zero()));
}

} // namespace damasklink
