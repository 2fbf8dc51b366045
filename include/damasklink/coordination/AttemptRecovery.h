// What to do with a prompt whose attempt was lost.
#pragma once

#include <cstdint>

#include "damasklink/coordination/DispatchRecord.h"
#include "damasklink/state/Clock.h"
#include "damasklink/state/Error.h"

namespace damasklink {

enum class RecoveryStep
{
  Repeat,   // Run it from the start on another target.
  Resume,   // Ask the same target for the rest, under the same attempt.
  Continue, // Let another target of the same weight version go on behind what was delivered.
  GiveUp,   // Tell the caller now.
};

// A request at the moment when an attempt of it was lost.
struct LostAttempt
{
  ErrorKind kind = ErrorKind::Interrupted;
  // Of the whole request (DispatchRecord::Outcome()).
  RunOutcome outcome = RunOutcome::NotRun;
  // Tokens of the answer that are in hand.
  std::uint64_t tokens = 0;
  // Tokens that were in hand when the lost attempt, or its resumption, began.
  std::uint64_t tokensBefore = 0;
  // Targets and resumptions tried so far.
  std::uint64_t tries = 0;
  // Whether the lost try was itself a resumption.
  bool resumed = false;
  // Whether all text in hand is held, so that another target can go on behind it.
  bool held = true;
  // Whether running the prompt twice does no harm: it carries no idempotency key.
  bool repeatable = true;
  Duration timeLeft{ 0 };
};

// Tries in all, resumptions included.
constexpr std::uint64_t kMaxTries = 6;

// Decides the next step. A run whose answer has begun is never started over; one that may have run
// and is not repeatable is never run again.
RecoveryStep
DecideRecoveryStep(const LostAttempt& aLost);

} // namespace damasklink
