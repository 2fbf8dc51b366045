#include "damasklink/coordination/AttemptRecovery.h"

namespace damasklink {

namespace {

// Returns whether another attempt would fail in the same way.
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
  const bool ended = aLost.timeLeft <= Duration(0) || IsFinal(aLost.kind);
  if (ended || aLost.tries >= kMaxTries) {
    return RecoveryStep::GiveUp;
  }
  if (aLost.tokens == 0) {
    const bool mayRepeat = aLost.repeatable || aLost.outcome == RunOutcome::NotRun;
    return mayRepeat ? RecoveryStep::Repeat : RecoveryStep::GiveUp;
  }
  // A target that accepts resumptions but adds no tokens is treated as lost.
  const bool madeProgress = aLost.tokens > aLost.tokensBefore;
  if (!aLost.resumed || madeProgress) {
    return RecoveryStep::Resume;
  }
  return aLost.held ? RecoveryStep::Continue : RecoveryStep::GiveUp;
}

} // namespace damasklink
