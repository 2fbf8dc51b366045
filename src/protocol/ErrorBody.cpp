#include "damasklink/protocol/ErrorBody.h"

#include <nlohmann/json.hpp>

namespace damasklink {
namespace {

// Returns the value of `type`, one of those that the OpenAI API defines.
std::string_view
ClientErrorType(ErrorKind aKind)
{
  switch (aKind) {
    case ErrorKind::InvalidArgument:
    case ErrorKind::NotFound:
    case ErrorKind::Conflict:
      return "invalid_request_error";
    case ErrorKind::Unauthenticated:
      return "authentication_error";
    case ErrorKind::NotPermitted:
      return "permission_error";
    case ErrorKind::Overloaded:
      return "rate_limit_error";
    default:
      return "server_error";
  }
}

} // namespace

int
HttpStatusOf(ErrorKind aKind)
{
  switch (aKind) {
    case ErrorKind::InvalidArgument:
      return 400;
    case ErrorKind::Unauthenticated:
      return 401;
    case ErrorKind::NotPermitted:
      return 403;
    case ErrorKind::NotFound:
      return 404;
    case ErrorKind::Conflict:
      return 409;
    case ErrorKind::Overloaded:
      return 429;
    case ErrorKind::Cancelled:
      return 499;
    case ErrorKind::Unavailable:
    case ErrorKind::NotLeader:
      return 503;
    case ErrorKind::Interrupted:
      return 502;
    case ErrorKind::DeadlineExceeded:
      return 504;
    case ErrorKind::Corrupt:
    case ErrorKind::Storage:
    case ErrorKind::Internal:
      return 500;
  }
  return 500;
}

std::string
FormatErrorBody(const CallerError& aError)
{
  nlohmann::json body;
  body["message"] = Describe(aError.error);
  body["type"] = ClientErrorType(aError.error.kind);
  body["code"] = ErrorKindName(aError.error.kind);
  body["param"] = nullptr;
  body["outcome"] = RunOutcomeName(aError.outcome);
  if (aError.retryAfter) {
    using Milliseconds = std::chrono::milliseconds;
    body["retry_after_ms"] = std::chrono::duration_cast<Milliseconds>(*aError.retryAfter).count();
  }
  const nlohmann::json document = { { "error", body } };
  return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace damasklink
