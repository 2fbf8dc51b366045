#include "damasklink/coordination/RelayPlan.h"

namespace damasklink {

namespace {

// Failures that another try would only meet again.
bool
IsFinal(ErrorKind aKind)
{
  return aKind == ErrorKind::Cancelled || aKind == ErrorKind::InvalidArgument ||
         aKind == ErrorKind::Conflict;
}

} // namespace

RelayStep
DecideRelayStep(const LostAttempt& aLost)
{
  const bool over = aLost.timeLeft <= Duration(0) || IsFinal(aLost.kind);
  if (over || aLost.tries >= kMostTries) {
    return RelayStep::GiveUp;
  }
  if (aLost.tokens == 0) {
    const bool mayRepeat = aLost.repeatable || aLost.outcome == RunOutcome::NotRun;
    return mayRepeat ? RelayStep::Repeat : RelayStep::GiveUp;
  }
  // A target that answers resumptions without bringing the answer on is as good as gone.
  const bool broughtOn = aLost.tokens > aLost.tokensAtStart;
  if (!aLost.resumed || broughtOn) {
    return RelayStep::Resume;
  }
  return aLost.held ? RelayStep::Continue : RelayStep::GiveUp;
}

} // namespace damasklink
