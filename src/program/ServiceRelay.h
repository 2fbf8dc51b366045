// Carries one call to a plain service and its answer back to the caller.
#pragma once

#include "ClaimGate.h"
#include "HostContext.h"
#include "damasklink/protocol/ErrorBody.h"
#include "damasklink/transport/HttpClient.h"

namespace damasklink {

// What every service call of one process shares.
struct ServiceContext
{
  const HostContext& host;
  ClaimGate& claims;
};

// A caller's call, as its handler read it.
struct ServiceCall
{
  const HttpRequest& request;
  const ResolvedPolicy& policy;
  const ServiceRoute& route;
  RequestId id;
};

// One call from its claim to its end, on one traffic thread.
//
//   ServiceRelay relay(context, call);
//   return relay.Run();
//
// A call that carries an idempotency key is claimed first. A call to a route that is not
// idempotent is sent once; only a connection that never came to be is followed by another target.
class ServiceRelay
{
public:
  ServiceRelay(ServiceContext aContext, ServiceCall aCall);

  HttpResponse Run();

private:
  // Returns the response when the call must not be sent; else the ticket is held.
  std::optional<HttpResponse> ClaimKey(const IdempotencyKey& aKey);
  Result<HttpAnswer> SendToSomeTarget();
  Result<HttpAnswer> SendTo(const TargetRecord& aTarget);
  Result<HttpAnswer> Exchange(HttpExchange& aExchange);
  HttpCall MakeCall(const TargetRecord& aTarget, const AttemptId& aAttempt) const;
  HttpResponse Failure(Error aError, std::optional<Duration> aRetryAfter = std::nullopt) const;
  Duration TimeLeft() const;

  ServiceContext context;
  ServiceCall call;
  MonotonicTime deadline;
  DispatchRecord record;
  // Settles the claim from the record, so it stands after it.
  std::unique_ptr<ClaimTicket> ticket;
};

} // namespace damasklink
