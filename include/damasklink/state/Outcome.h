// What may be said of a request that was refused or failed: did its target run it?
#pragma once

#include <string_view>

namespace damasklink {

// "not run" is a promise: no byte of the request reached a target that could act on it.
enum class RunOutcome
{
  NotRun,
  MayHaveRun,
  Ran,
};

// Returns the text of the `outcome` field of error bodies.
constexpr std::string_view
RunOutcomeName(RunOutcome aOutcome)
{
  switch (aOutcome) {
    case RunOutcome::NotRun:
      return "not_run";
    case RunOutcome::MayHaveRun:
      return "may_have_run";
    case RunOutcome::Ran:
      return "ran";
  }
  return "may_have_run";
}

} // namespace damasklink
