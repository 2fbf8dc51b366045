#include "damasklink/coordination/ExchangeRetryPolicy.h"

#include <utility>

namespace damasklink {

std::string_view
AttemptResultName(AttemptResult aResult)
{
  switch (aResult) {
    case AttemptResult::Delivered:
      return "delivered";
    case AttemptResult::Unreachable:
      return "unreachable";
    case AttemptResult::NotSent:
      return "not_sent";
    case AttemptResult::Refused:
      return "refused";
    case AttemptResult::Declined:
      return "declined";
    case AttemptResult::Failed:
      return "failed";
    case AttemptResult::Broken:
      return "broken";
    case AttemptResult::Overtaken:
      return "overtaken";
    case AttemptResult::Expired:
      return "expired";
    case AttemptResult::CallerLeft:
      return "caller_left";
  }
  return "unknown";
}

std::string_view
ExchangeStepName(ExchangeStep aStep)
{
  switch (aStep) {
    case ExchangeStep::Done:
      return "done";
    case ExchangeStep::TryAnother:
      return "try_another";
    case ExchangeStep::PassOn:
      return "pass_on";
    case ExchangeStep::Refuse:
      return "refuse";
    case ExchangeStep::Fail:
      return "fail";
    case ExchangeStep::Expire:
      return "expire";
    case ExchangeStep::CutOff:
      return "cut_off";
  }
  return "unknown";
}

void
ExchangeRetryPolicy::Begin(AttemptId aAttempt, TargetId aTarget)
{
  this->current = this->record.Begin(std::move(aAttempt), std::move(aTarget));
}

void
ExchangeRetryPolicy::Sending()
{
  this->record.Advance(this->current, AttemptStage::Sending);
  ++this->sent;
  this->reserved = false;
}

void
ExchangeRetryPolicy::BeginStandby(AttemptId aAttempt, TargetId aTarget)
{
  this->standby = this->record.Begin(std::move(aAttempt), std::move(aTarget));
  this->record.Advance(this->standby, AttemptStage::Sending);
  ++this->sent;
  this->reserved = false;
}

void
ExchangeRetryPolicy::EndStandby(AttemptStage aStage, bool aDeclined)
{
  this->record.Advance(this->standby, aStage);
  if (aDeclined) {
    --this->sent;
    // No target was sent what the budget was charged for.
    this->reserved = true;
  }
}

void
ExchangeRetryPolicy::ContinueAtStandby(AttemptResult aResult)
{
  const bool declined = aResult == AttemptResult::Declined;
  const bool refused = declined || aResult == AttemptResult::Refused;
  this->sent -= declined ? 1 : 0;
  this->record.Advance(this->current, refused ? AttemptStage::Refused : AttemptStage::Lost);
  this->targetFailed = this->targetFailed || aResult == AttemptResult::Failed;
  this->current = this->standby;
}

ExchangeStep
ExchangeRetryPolicy::After(AttemptResult aResult, MonotonicTime aNow, RetryBudget& aBudget)
{
  switch (aResult) {
    case AttemptResult::Delivered:
      this->record.Advance(this->current, AttemptStage::Finished);
      return ExchangeStep::Done;
    case AttemptResult::CallerLeft:
      return ExchangeStep::Done;
    case AttemptResult::Unreachable:
      ++this->unreachable;
      break;
    case AttemptResult::Refused:
      this->record.Advance(this->current, AttemptStage::Refused);
      break;
    case AttemptResult::Declined:
      this->record.Advance(this->current, AttemptStage::Refused);
      // No target was sent the call.
      --this->sent;
      ++this->declined;
      break;
    case AttemptResult::Failed:
      this->targetFailed = true;
      [[fallthrough]];
    case AttemptResult::Broken:
    case AttemptResult::Overtaken:
      this->record.Advance(this->current, AttemptStage::Lost);
      break;
    case AttemptResult::NotSent:
    case AttemptResult::Expired:
      break;
  }
  // After an attempt that cannot have reached its target, the next one is not a retry.
  const bool firstSend = aResult == AttemptResult::Unreachable && this->sent == 0;
  const bool isRetry =
    !firstSend && aResult != AttemptResult::NotSent && aResult != AttemptResult::Declined;
  if (this->MayTryAnother(aResult, aNow) && (!isRetry || this->TakeRetry(aBudget))) {
    return ExchangeStep::TryAnother;
  }
  return this->GiveUp(aResult);
}

// A retry that was taken from the budget and not sent is left for the next attempt.
bool
ExchangeRetryPolicy::TakeRetry(RetryBudget& aBudget)
{
  this->reserved = this->reserved || aBudget.TryTake();
  return this->reserved;
}

bool
ExchangeRetryPolicy::MayRetry(MonotonicTime aNow, const RetryBudget& aBudget) const
{
  return this->MayTryAnother(AttemptResult::Broken, aNow) && (this->reserved || aBudget.Allows());
}

bool
ExchangeRetryPolicy::ReserveRetry(MonotonicTime aNow, RetryBudget& aBudget)
{
  return this->MayTryAnother(AttemptResult::Broken, aNow) && this->TakeRetry(aBudget);
}

bool
ExchangeRetryPolicy::MayHedge(MonotonicTime aNow) const
{
  return this->limits.repeatable && !this->passedOn && this->sent == 1 &&
         this->MayTryAnother(AttemptResult::Broken, aNow);
}

bool
ExchangeRetryPolicy::MaySendAgain() const
{
  return this->limits.repeatable && this->sent < this->limits.mostTargets;
}

ExchangeStep
ExchangeRetryPolicy::WithoutTarget() const
{
  return this->GiveUp(AttemptResult::Unreachable);
}

bool
ExchangeRetryPolicy::MayTryAnother(AttemptResult aResult, MonotonicTime aNow) const
{
  if (aResult == AttemptResult::Expired || aNow + kMinTimeLeft >= this->limits.endsAt) {
    return false;
  }
  if (this->sent >= this->limits.mostTargets || this->unreachable >= kMaxUnreachable ||
      this->declined >= kMaxDeclined) {
    return false;
  }
  return this->limits.repeatable || this->CertainlyNotRun();
}

ExchangeStep
ExchangeRetryPolicy::GiveUp(AttemptResult aResult) const
{
  if (this->passedOn) {
    return ExchangeStep::CutOff;
  }
  if (aResult == AttemptResult::Failed) {
    return ExchangeStep::PassOn;
  }
  if (this->CertainlyNotRun()) {
    return ExchangeStep::Refuse;
  }
  if (aResult == AttemptResult::Expired) {
    return ExchangeStep::Expire;
  }
  return this->targetFailed ? ExchangeStep::PassOn : ExchangeStep::Fail;
}

bool
ExchangeRetryPolicy::CertainlyNotRun() const
{
  return this->record.Outcome() == RunOutcome::NotRun;
}

} // namespace damasklink
