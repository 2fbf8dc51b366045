// Carries one call to a plain service and its answer back to the caller.
#pragma once

#include "RelayContext.h"
#include "RequestMeter.h"
#include "damasklink/transport/HttpClient.h"

namespace damasklink {

// A caller's call, as its handler read it.
struct ServiceCall
{
  const HttpRequest& request;
  const ResolvedPolicy& policy;
  const ServiceRoute& route;
  RequestId id;
  // As the caller asked; 0 goes first.
  std::uint64_t priority = 0;
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
  ServiceRelay(const RelayContext& aContext, ServiceCall aCall);

  // Whether this host still takes new work. Requires it of Run().
  bool Accepted() const { return this->running.Begun(); }

  HttpResponse Run();

private:
  // Waits for the call's turn. Returns the response when it must not be sent.
  std::optional<HttpResponse> Enter();
  std::vector<TargetRecord> Targets() const;

  // Returns the response when the call must not be sent; else the ticket, if need be, is held.
  std::optional<HttpResponse> ClaimKey();
  Result<HttpAnswer> SendToSomeTarget();
  bool MayRepeat() const;
  Result<HttpAnswer> SendTo(const TargetRecord& aTarget);
  Result<HttpAnswer> Exchange(HttpExchange& aExchange);
  HttpCall MakeCall(const TargetRecord& aTarget, const AttemptId& aAttempt) const;
  HttpResponse Failure(const CallerError& aFailure);
  Duration TimeLeft() const;

  const RelayContext& context;
  ServiceCall call;
  RunningRequest running;
  RequestMeter meter;
  MonotonicTime deadline;
  AdmissionSlot place;
  DispatchRecord record;
  // Settles the claim from the record, so it stands after it.
  std::unique_ptr<ClaimTicket> ticket;
};

} // namespace damasklink
