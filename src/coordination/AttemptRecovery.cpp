#include "damasklink/coordination/AttemptRecovery.h"

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

RecoveryStep
DecideRecoveryStep(const LostAttempt& aLost)
{
  const bool over = aLost.timeLeft <= Duration(0) || IsFinal(aLost.kind);
  if (over || aLost.tries >= kMaxTries) {
    return RecoveryStep::GiveUp;
  }
  if (aLost.tokens == 0) {
    const bool mayRepeat = aLost.repeatable || aLost.outcome == RunOutcome::NotRun;
    return mayRepeat ? RecoveryStep::Repeat : RecoveryStep::GiveUp;
  }
  // A target that answers resumptions without bringing the answer on is as good as gone.
  const bool broughtOn = aLost.tokens > aLost.tokensBefore;
  if (!aLost.resumed || broughtOn) {
    return RecoveryStep::Resume;
  }
  return aLost.held ? RecoveryStep::Continue : RecoveryStep::GiveUp;
}

} // namespace damasklink
