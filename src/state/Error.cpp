#include "damasklink/state/Error.h"

namespace damasklink {

std::string_view
ErrorKindName(ErrorKind aKind)
{
  switch (aKind) {
    case ErrorKind::InvalidArgument:
      return "invalid_argument";
    case ErrorKind::Unauthenticated:
      return "unauthenticated";
    case ErrorKind::NotPermitted:
      return "not_permitted";
    case ErrorKind::NotFound:
      return "not_found";
    case ErrorKind::Conflict:
      return "conflict";
    case ErrorKind::Overloaded:
      return "overloaded";
    case ErrorKind::Unavailable:
      return "unavailable";
    case ErrorKind::NotLeader:
      return "not_leader";
    case ErrorKind::DeadlineExceeded:
      return "deadline_exceeded";
    case ErrorKind::Cancelled:
      return "cancelled";
    case ErrorKind::Corrupt:
      return "corrupt";
    case ErrorKind::Storage:
      return "storage";
    case ErrorKind::Interrupted:
      return "interrupted";
    case ErrorKind::Internal:
      return "internal";
  }
  return "internal";
}

std::string
Describe(const Error& aError)
{
  if (aError.remedy.empty()) {
    return aError.message;
  }
  return aError.message + "; " + aError.remedy;
}

std::ostream&
operator<<(std::ostream& aOut, const Error& aError)
{
  return aOut << ErrorKindName(aError.kind) << ": " << Describe(aError);
}

} // namespace damasklink
