// Error bodies in the format of the OpenAI API, extended by the outcome of the run.
#pragma once

#include <optional>
#include <string>

#include "damasklink/state/Clock.h"
#include "damasklink/state/Error.h"
#include "damasklink/state/Outcome.h"

namespace damasklink {

// An error reported to a caller.
struct CallerError
{
  Error error;
  RunOutcome outcome = RunOutcome::NotRun;
  // After which time the caller may retry; sent as Retry-After.
  std::optional<Duration> retryAfter;
};

// Returns the HTTP status for a kind of error.
int
HttpStatusOf(ErrorKind aKind);

// Returns the JSON text {"error": {"message", "type", "code", "outcome", ...}}.
std::string
FormatErrorBody(const CallerError& aError);

} // namespace damasklink
