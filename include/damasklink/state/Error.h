// Typed errors whose messages name the remedy, and the result type that carries them.
#pragma once

#include <ostream>
#include <string>
#include <string_view>
#include <utility>

#include <boost/outcome.hpp>

namespace damasklink {

// The kinds of failure that code reacts to. What a person needs stands in the message.
enum class ErrorKind
{
  InvalidArgument,  // The input is wrong; the same call fails again.
  Unauthenticated,  // No key, or a key that nobody holds.
  NotPermitted,     // The key is known but may not do this.
  NotFound,         // The thing named does not exist.
  Conflict,         // Another change came first.
  Overloaded,       // Refused by a limit; come back later.
  Unavailable,      // Nobody who could do it can be reached.
  NotLeader,        // Another host decides; the message names it where known.
  DeadlineExceeded, // Time ran out.
  Cancelled,        // The caller went away.
  Corrupt,          // Stored or received bytes fail their check.
  Storage,          // The disk refused: full, unreadable, not permitted.
  Interrupted,      // The peer closed in the middle.
  Internal,         // A fault of this program.
};

// Returns the stable lower-case name that logs, metrics and error bodies use.
std::string_view
ErrorKindName(ErrorKind aKind);

// What went wrong and what to do about it.
struct Error
{
  ErrorKind kind = ErrorKind::Internal;
  // What happened, in one sentence without a full stop.
  std::string message;
  // What the reader can do, in one sentence without a full stop; may be empty for Cancelled.
  std::string remedy;

  bool operator==(const Error&) const = default;
};

// Returns "message; remedy", the form shown to people.
std::string
Describe(const Error& aError);

std::ostream&
operator<<(std::ostream& aOut, const Error& aError);

// A value or an Error. Reading the side that is not there ends the process, as a fault of ours.
template<typename T>
using Result =
  BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

// Returns the failure side of a Result.
inline auto
Fail(ErrorKind aKind, std::string aMessage, std::string aRemedy)
{
  return BOOST_OUTCOME_V2_NAMESPACE::failure(
    Error{ aKind, std::move(aMessage), std::move(aRemedy) });
}

inline auto
Fail(Error aError)
{
  return BOOST_OUTCOME_V2_NAMESPACE::failure(std::move(aError));
}

inline auto
Success()
{
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace damasklink
