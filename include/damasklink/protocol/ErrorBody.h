// Error bodies in the shape that OpenAI clients read, with the outcome added.
#pragma once

#include <optional>
#include <string>

#include "damasklink/state/Clock.h"
#include "damasklink/state/Error.h"
#include "damasklink/state/Outcome.h"

namespace damasklink {

// A refusal or failure as a caller sees it.
struct CallerError
{
  Error error;
  RunOutcome outcome = RunOutcome::NotRun;
  // When the same call may succeed; sent as Retry-After.
  std::optional<Duration> retryAfter;
};

// Returns the HTTP status for a kind of error.
int
HttpStatusOf(ErrorKind aKind);

// Returns {"error": {"message", "type", "code", "outcome", ...}} as text.
std::string
FormatErrorBody(const CallerError& aError);

} // namespace damasklink
