// What a caller is told when its key's claim was not granted.
#pragma once

#include <optional>

#include "damasklink/coordination/ClaimRegistry.h"
#include "damasklink/state/Error.h"
#include "damasklink/state/Outcome.h"

namespace damasklink {

struct ClaimRefusal
{
  Error error;
  // What is known of earlier calls under the same key.
  RunOutcome earlier = RunOutcome::NotRun;
  std::optional<Duration> retryAfter;
};

// Returns the refusal for a verdict. Requires a verdict other than Granted and Kept.
ClaimRefusal
RefusalOf(const ClaimReply& aReply);

} // namespace damasklink
