// Responses and checks of credentials, shared by the handlers of all servers of a host.
#pragma once

#include "damasklink/coordination/ClaimRegistry.h"
#include "damasklink/protocol/ErrorBody.h"
#include "damasklink/transport/HttpServer.h"

namespace damasklink {

// Returns a response with the error's status, body and Retry-After.
HttpResponse
ErrorResponse(const CallerError& aError);

// Returns the response to a request that was refused before it was sent to a target.
HttpResponse
RefusalResponse(Error aError);

// Returns the answer of an earlier call with the same idempotency key, marked as a replay.
HttpResponse
ReplayResponse(const KeptAnswer& aAnswer);

// Returns the digest of method, path, query and body. Calls with the same idempotency key must have
// the same digest.
Digest
CallDigest(const HttpRequest& aRequest);

// Returns a plain-text response with status 200.
HttpResponse
TextResponse(std::string aText);

// Returns the token of "authorization: Bearer <token>", empty when there is none.
std::string
BearerToken(const HttpRequest& aRequest);

// Checks that the digest of the bearer token is one of aAllowed, in constant time. Fails with
// Unauthenticated.
Result<void>
CheckKey(const HttpRequest& aRequest, const std::vector<Digest>& aAllowed);

// Returns a handler that runs aHandler only for a bearer token that CheckKey() accepts. aAllowed
// must outlive it.
HttpHandler
RequireKey(const std::vector<Digest>& aAllowed, HttpHandler aHandler);

} // namespace damasklink
