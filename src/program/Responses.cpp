#include "Responses.h"

#include <algorithm>

#include <absl/strings/match.h>

#include "damasklink/state/Digests.h"
#include "damasklink/state/Text.h"

namespace damasklink {
namespace {

constexpr std::int64_t kMillisecondsPerSecond = 1000;

} // namespace

HttpResponse
ErrorResponse(const CallerError& aError)
{
  HttpResponse response;
  response.status = HttpStatusOf(aError.error.kind);
  response.body = FormatErrorBody(aError);
  if (aError.retryAfter) {
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(*aError.retryAfter);
    const std::int64_t seconds =
      (wait.count() + kMillisecondsPerSecond - 1) / kMillisecondsPerSecond;
    response.headers.emplace_back("retry-after", Concat(std::max<std::int64_t>(seconds, 1)));
  }
  return response;
}

HttpResponse
RefusalResponse(Error aError)
{
  CallerError refusal;
  refusal.error = std::move(aError);
  refusal.outcome = RunOutcome::NotRun;
  return ErrorResponse(refusal);
}

HttpResponse
ReplayResponse(const KeptAnswer& aAnswer)
{
  HttpResponse response;
  response.status = aAnswer.status;
  response.contentType = aAnswer.contentType;
  response.body = aAnswer.body;
  response.headers.emplace_back("idempotent-replay", "true");
  return response;
}

Digest
CallDigest(const HttpRequest& aRequest)
{
  return DigestOf(Concat(aRequest.method, " ", aRequest.target, "\n", aRequest.body));
}

HttpResponse
TextResponse(std::string aText)
{
  HttpResponse response;
  response.contentType = "text/plain; charset=utf-8";
  response.body = std::move(aText);
  return response;
}

std::string
BearerToken(const HttpRequest& aRequest)
{
  constexpr std::string_view kScheme = "Bearer ";
  const std::string header = aRequest.Header("authorization");
  if (!absl::StartsWithIgnoreCase(header, ForAbsl(kScheme))) {
    return "";
  }
  return header.substr(kScheme.size());
}

Result<void>
CheckKey(const HttpRequest& aRequest, const std::vector<Digest>& aAllowed)
{
  const Digest presented = DigestOf(BearerToken(aRequest));
  bool known = false;
  // All entries are compared, so that the duration does not reveal which one matched.
  for (const Digest& allowed : aAllowed) {
    const bool equal = EqualInConstantTime(presented, allowed);
    known = known || equal;
  }
  if (!known) {
    return Fail(ErrorKind::Unauthenticated,
                "the key is missing or unknown",
                "send 'Authorization: Bearer <key>' with a key whose digest is in the settings");
  }
  return Success();
}

HttpHandler
RequireKey(const std::vector<Digest>& aAllowed, HttpHandler aHandler)
{
  return [&aAllowed, handler = std::move(aHandler)](const HttpRequest& aRequest) {
    if (auto checked = CheckKey(aRequest, aAllowed); !checked) {
      return RefusalResponse(checked.error());
    }
    return handler(aRequest);
  };
}

} // namespace damasklink
