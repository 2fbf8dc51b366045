// Responses and credentials that the handlers of all addresses share.
#pragma once

#include "damasklink/coordination/ClaimRegistry.h"
#include "damasklink/protocol/ErrorBody.h"
#include "damasklink/transport/HttpServer.h"

namespace damasklink {

// Returns a response with the error's status, body and Retry-After.
HttpResponse
ErrorResponse(const CallerError& aError);

// Returns the response for an error of a request that no target has seen.
HttpResponse
RefusalResponse(Error aError);

// Returns the answer of an earlier call under the same idempotency key, marked as such.
HttpResponse
ReplayResponse(const KeptAnswer& aAnswer);

// Returns the digest of all that makes a call what it is: method, path, query and body.
Digest
CallDigest(const HttpRequest& aRequest);

// Returns plain text with status 200.
HttpResponse
TextResponse(std::string aText);

// Returns the token of "authorization: Bearer <token>", empty when there is none.
std::string
BearerToken(const HttpRequest& aRequest);

// Checks the bearer token against digests, in constant time. Fails with Unauthenticated.
Result<void>
CheckKey(const HttpRequest& aRequest, const std::vector<Digest>& aAllowed);

// Returns a handler that runs aHandler only for a bearer token that CheckKey() allows. The digests
// must outlive it.
HttpHandler
RequireKey(const std::vector<Digest>& aAllowed, HttpHandler aHandler);

} // namespace damasklink
