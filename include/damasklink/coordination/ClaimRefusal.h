// Errors for callers whose claim of an idempotency key is not granted.
#pragma once

#include <optional>

#include "damasklink/coordination/ClaimRegistry.h"
#include "damasklink/state/Error.h"
#include "damasklink/state/Outcome.h"

namespace damasklink {

struct ClaimRefusal
{
  Error error;
  // What is known about earlier calls with the same key.
  RunOutcome earlier = RunOutcome::NotRun;
  std::optional<Duration> retryAfter;
};

// Returns the refusal for a reply, whose verdict must not be Granted or Kept.
ClaimRefusal
RefusalOf(const ClaimReply& aReply);

} // namespace damasklink
