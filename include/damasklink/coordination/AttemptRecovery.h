// Decides how a request continues after an attempt was lost.
#pragma once

#include <cstdint>

#include "damasklink/coordination/DispatchRecord.h"
#include "damasklink/state/Clock.h"
#include "damasklink/state/Error.h"

namespace damasklink {

enum class RecoveryStep
{
  Repeat,   // Run the request from the start on another target.
  Resume,   // Request the rest from the same target, under the same attempt.
  Continue, // Continue after the delivered tokens on another target with the same weight version.
  GiveUp,   // Return the failure to the caller.
};

// The state of a request when one of its attempts was lost.
struct LostAttempt
{
  ErrorKind kind = ErrorKind::Interrupted;
  // Outcome of the whole request (DispatchRecord::Outcome()).
  RunOutcome outcome = RunOutcome::NotRun;
  // Tokens of the answer received so far.
  std::uint64_t tokens = 0;
  // Tokens received before the lost attempt, or its resumption, began.
  std::uint64_t tokensBefore = 0;
  // Attempts and resumptions so far.
  std::uint64_t tries = 0;
  // Whether the lost try was itself a resumption.
  bool resumed = false;
  // Whether the text received so far is available in full, which another target needs to continue
  // it.
  bool held = true;
  // Whether running the prompt twice is harmless, because it has no idempotency key.
  bool repeatable = true;
  Duration timeLeft{ 0 };
};

// Limit of attempts and resumptions together.
constexpr std::uint64_t kMaxTries = 6;

// Decides the next step. A request whose answer has begun is never started over. One that may have
// run and is not repeatable is never run again.
RecoveryStep
DecideRecoveryStep(const LostAttempt& aLost);

} // namespace damasklink
