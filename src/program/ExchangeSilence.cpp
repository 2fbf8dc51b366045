// What an Exchange does while its target sends nothing. The rest of the class is in the other
// Exchange*.cpp files.
#include "Exchange.h"

#include "damasklink/state/Units.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

// Time without an answer after which a connection is made to the target, to find out whether it can
// be reached at all.
constexpr Duration kMaxTargetSilence = std::chrono::milliseconds(600);

// The same once the answer has begun, or if no target of the service answers. A sound target may be
// silent for a second, and another one would have to read the prompt again.
constexpr Duration kMaxSoundSilence = std::chrono::milliseconds(1300);

// Interval between two checks of a target that stays silent.
constexpr Duration kTargetCheckInterval = std::chrono::seconds(1);

// How often a stream that was given up looks for a target to go on at.
constexpr Duration kOtherWayInterval = std::chrono::milliseconds(50);

} // namespace

void
Exchange::CheckSilence()
{
  this->CheckStandby();
  if (this->context.paths.IsUnreachable(this->service)) {
    if (this->Silence() >= kMaxSoundSilence) {
      this->OnSilent("service_unreachable");
    }
    return;
  }
  const MonotonicTime now = this->context.clock.MonotonicNow();
  if (this->Silence() >= this->MaxSilence() && now - this->checkedAt >= kTargetCheckInterval) {
    this->checkedAt = now;
    this->context.prober.CheckTarget(this->attemptTarget);
  }
}

void
Exchange::OnTargetUnreachable(const TargetId& aTarget)
{
  this->GiveUpStandbyAt(aTarget);
  if (this->attemptTarget.id == aTarget && this->Silence() >= this->MaxSilence()) {
    this->OnSilent("target_unreachable");
  }
}

Duration
Exchange::Silence() const
{
  return this->context.clock.MonotonicNow() - this->lastBytesAt;
}

Duration
Exchange::MaxSilence() const
{
  return this->responseBegun ? kMaxSoundSilence : kMaxTargetSilence;
}

void
Exchange::OnSilent(std::string_view aReason)
{
  const bool open = this->channel != nullptr || this->forwarded != nullptr;
  const bool ended = !open || this->received || this->unacknowledged;
  const bool waits = !ended && !this->writing;
  if (!this->plan->Limits().repeatable || !waits || !this->StartStandby()) {
    return;
  }
  if (!this->silenceLogged) {
    this->silenceLogged = true;
    LogEvent(LogLevel::Info, "silent_attempt")
      .With("request", this->call.request)
      .With("target", this->destination)
      .With("reason", aReason)
      .With("silence_ms", WholeMilliseconds(this->Silence()))
      .With("passed_on", this->plan->PassedOn());
    this->context.metrics.Add(
      Counter::SilentAttempts, MetricKey{ WorkspaceId(), std::string(aReason) }, 1);
  }
}

bool
Exchange::ReserveOtherWay()
{
  const MonotonicTime now = this->context.clock.MonotonicNow();
  RetryBudget& budget = this->context.retries.Of(this->service);
  return this->plan->MayRetry(now, budget) && !this->IsKnownToCrash() && this->HasOtherWay() &&
         this->plan->ReserveRetry(now, budget);
}

// Returns whether another target, or another host if this one reaches no target, can take the call.
bool
Exchange::HasOtherWay()
{
  const NextDestination next = this->ChooseDestination();
  return next.host.has_value() || next.target != nullptr;
}

// A target that was given up, or that TCP did not reach for a while, might have gone on. Its stream
// is not cut off at once if there is nothing to take its place at the moment, and may go on there.
Awaitable<bool>
Exchange::AwaitOtherWay()
{
  const MonotonicTime until = this->lastBytesAt + this->CallerPatience();
  const bool unreached = this->unacknowledged || this->context.paths.IsUnreachable(this->service);
  if (this->unacknowledged && !this->HasOtherWay()) {
    this->selection.excluded.erase(this->attemptTarget.id);
  }
  asio::steady_timer pause(this->context.loop);
  while ((this->givenUp || unreached) && this->plan->MaySendAgain() &&
         this->interrupt == Interrupt::None && this->context.clock.MonotonicNow() < until) {
    if (this->ReserveOtherWay()) {
      co_return true;
    }
    pause.expires_after(kOtherWayInterval);
    co_await pause.async_wait(kAsValue);
  }
  co_return false;
}

} // namespace damasklink
