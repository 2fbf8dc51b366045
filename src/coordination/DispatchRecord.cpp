#include "damasklink/coordination/DispatchRecord.h"

#include <algorithm>
#include <utility>

namespace damasklink {
namespace {

bool
IsValidTransition(AttemptStage aFrom, AttemptStage aTo)
{
  switch (aFrom) {
    case AttemptStage::Prepared:
      return true;
    case AttemptStage::Sending:
      return aTo != AttemptStage::Prepared;
    case AttemptStage::Answering:
      return aTo == AttemptStage::Finished || aTo == AttemptStage::Lost;
    case AttemptStage::Refused:
    case AttemptStage::Finished:
    case AttemptStage::Lost:
      return false;
  }
  return false;
}

RunOutcome
OutcomeOf(AttemptStage aStage)
{
  switch (aStage) {
    case AttemptStage::Prepared:
    case AttemptStage::Refused:
      return RunOutcome::NotRun;
    case AttemptStage::Finished:
      return RunOutcome::Ran;
    case AttemptStage::Sending:
    case AttemptStage::Answering:
    case AttemptStage::Lost:
      return RunOutcome::MayHaveRun;
  }
  return RunOutcome::MayHaveRun;
}

} // namespace

std::size_t
DispatchRecord::Begin(AttemptId aAttempt, TargetId aTarget)
{
  this->attempts.push_back(
    Attempt{ std::move(aAttempt), std::move(aTarget), AttemptStage::Prepared });
  return this->attempts.size() - 1;
}

void
DispatchRecord::Advance(AttemptStage aStage)
{
  this->Advance(this->attempts.size() - 1, aStage);
}

void
DispatchRecord::Advance(std::size_t aIndex, AttemptStage aStage)
{
  AttemptStage& stage = this->attempts.at(aIndex).stage;
  if (IsValidTransition(stage, aStage)) {
    stage = aStage;
  }
}

void
DispatchRecord::AddEarlierOutcome(RunOutcome aOutcome)
{
  this->earlier = std::max(this->earlier, aOutcome);
}

RunOutcome
DispatchRecord::Outcome() const
{
  RunOutcome outcome = this->earlier;
  for (const Attempt& attempt : this->attempts) {
    outcome = std::max(outcome, OutcomeOf(attempt.stage));
  }
  return outcome;
}

} // namespace damasklink
