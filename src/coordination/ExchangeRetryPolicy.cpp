#include "damasklink/coordination/ExchangeRetryPolicy.h"

#include <utility>

namespace damasklink {

std::string_view
AttemptResultName(AttemptResult aEnd)
{
  switch (aEnd) {
    case AttemptResult::Delivered:
      return "delivered";
    case AttemptResult::Unreachable:
      return "unreachable";
    case AttemptResult::Refused:
      return "refused";
    case AttemptResult::Failed:
      return "failed";
    case AttemptResult::Broken:
      return "broken";
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
  this->record.Begin(std::move(aAttempt), std::move(aTarget));
}

void
ExchangeRetryPolicy::Sending()
{
  this->record.Advance(AttemptStage::Sending);
  ++this->sent;
}

ExchangeStep
ExchangeRetryPolicy::After(AttemptResult aEnd, MonotonicTime aNow, RetryBudget& aBudget)
{
  switch (aEnd) {
    case AttemptResult::Delivered:
      this->record.Advance(AttemptStage::Finished);
      return ExchangeStep::Done;
    case AttemptResult::CallerLeft:
      return ExchangeStep::Done;
    case AttemptResult::Unreachable:
      ++this->unreachable;
      break;
    case AttemptResult::Refused:
      this->record.Advance(AttemptStage::Refused);
      break;
    case AttemptResult::Failed:
    case AttemptResult::Broken:
      this->record.Advance(AttemptStage::Lost);
      break;
    case AttemptResult::Expired:
      break;
  }
  // A send after one that cannot have arrived is no repeat.
  const bool costs = aEnd != AttemptResult::Unreachable || this->sent > 0;
  if (this->MayTryAnother(aEnd, aNow) && (!costs || aBudget.TryTake())) {
    return ExchangeStep::TryAnother;
  }
  return this->GiveUp(aEnd);
}

ExchangeStep
ExchangeRetryPolicy::WithoutTarget() const
{
  return this->GiveUp(AttemptResult::Unreachable);
}

bool
ExchangeRetryPolicy::MayTryAnother(AttemptResult aEnd, MonotonicTime aNow) const
{
  if (aEnd == AttemptResult::Expired || aNow + kMinTimeLeft >= this->terms.endsAt) {
    return false;
  }
  if (this->sent >= this->terms.mostTargets || this->unreachable >= kMaxUnreachable) {
    return false;
  }
  return this->terms.repeatable || this->CertainlyNotRun();
}

ExchangeStep
ExchangeRetryPolicy::GiveUp(AttemptResult aEnd) const
{
  if (this->passedOn) {
    return ExchangeStep::CutOff;
  }
  if (aEnd == AttemptResult::Failed) {
    return ExchangeStep::PassOn;
  }
  if (this->CertainlyNotRun()) {
    return ExchangeStep::Refuse;
  }
  return aEnd == AttemptResult::Expired ? ExchangeStep::Expire : ExchangeStep::Fail;
}

bool
ExchangeRetryPolicy::CertainlyNotRun() const
{
  return this->record.Outcome() == RunOutcome::NotRun;
}

} // namespace damasklink
