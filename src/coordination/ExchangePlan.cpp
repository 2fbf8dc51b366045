#include "damasklink/coordination/ExchangePlan.h"

#include <utility>

namespace damasklink {

std::string_view
AttemptEndName(AttemptEnd aEnd)
{
  switch (aEnd) {
    case AttemptEnd::Delivered:
      return "delivered";
    case AttemptEnd::Unreachable:
      return "unreachable";
    case AttemptEnd::Refused:
      return "refused";
    case AttemptEnd::Failed:
      return "failed";
    case AttemptEnd::Broken:
      return "broken";
    case AttemptEnd::Expired:
      return "expired";
    case AttemptEnd::CallerLeft:
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
ExchangePlan::Begin(AttemptId aAttempt, TargetId aTarget)
{
  this->record.Begin(std::move(aAttempt), std::move(aTarget));
}

void
ExchangePlan::Sending()
{
  this->record.Advance(AttemptStage::Sending);
  ++this->sent;
}

ExchangeStep
ExchangePlan::After(AttemptEnd aEnd, MonotonicTime aNow, RetryBudget& aBudget)
{
  switch (aEnd) {
    case AttemptEnd::Delivered:
      this->record.Advance(AttemptStage::Finished);
      return ExchangeStep::Done;
    case AttemptEnd::CallerLeft:
      return ExchangeStep::Done;
    case AttemptEnd::Unreachable:
      ++this->unreachable;
      break;
    case AttemptEnd::Refused:
      this->record.Advance(AttemptStage::Refused);
      break;
    case AttemptEnd::Failed:
    case AttemptEnd::Broken:
      this->record.Advance(AttemptStage::Lost);
      break;
    case AttemptEnd::Expired:
      break;
  }
  // A send after one that cannot have arrived is no repeat.
  const bool costs = aEnd != AttemptEnd::Unreachable || this->sent > 0;
  if (this->MayTryAnother(aEnd, aNow) && (!costs || aBudget.TryTake())) {
    return ExchangeStep::TryAnother;
  }
  return this->GiveUp(aEnd);
}

ExchangeStep
ExchangePlan::WithoutTarget() const
{
  return this->GiveUp(AttemptEnd::Unreachable);
}

bool
ExchangePlan::MayTryAnother(AttemptEnd aEnd, MonotonicTime aNow) const
{
  if (aEnd == AttemptEnd::Expired || aNow + kLeastTime >= this->terms.endsAt) {
    return false;
  }
  if (this->sent >= this->terms.mostTargets || this->unreachable >= kMostUnreachable) {
    return false;
  }
  return this->terms.repeatable || this->CertainlyNotRun();
}

ExchangeStep
ExchangePlan::GiveUp(AttemptEnd aEnd) const
{
  if (this->passedOn) {
    return ExchangeStep::CutOff;
  }
  if (aEnd == AttemptEnd::Failed) {
    return ExchangeStep::PassOn;
  }
  if (this->CertainlyNotRun()) {
    return ExchangeStep::Refuse;
  }
  return aEnd == AttemptEnd::Expired ? ExchangeStep::Expire : ExchangeStep::Fail;
}

bool
ExchangePlan::CertainlyNotRun() const
{
  return this->record.Outcome() == RunOutcome::NotRun;
}

} // namespace damasklink
