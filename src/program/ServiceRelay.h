// Relays one call to a service, and the answer to the caller.
#pragma once

#include "RelayContext.h"
#include "RequestMeter.h"
#include "damasklink/transport/HttpClient.h"

namespace damasklink {

// A call to a service, as parsed by its handler.
struct ServiceCall
{
  const HttpRequest& request;
  const ResolvedPolicy& policy;
  const ServiceRoute& route;
  RequestId id;
  // Requested by the caller; 0 is the highest.
  std::uint64_t priority = 0;
};

// Handles one call: admission, claim, attempts and answer. Runs on one traffic thread.
//
//   ServiceRelay relay(context, call);
//   return relay.Run();
//
// A call with an idempotency key is claimed first. A call to a route that is not idempotent is sent
// once: another target is tried only when no connection could be made.
class ServiceRelay
{
public:
  ServiceRelay(const RelayContext& aContext, ServiceCall aCall);

  // Whether this host accepts the call. Run() may only be called if it does.
  bool Accepted() const { return this->running.Accepted(); }

  HttpResponse Run();

private:
  // Waits for admission. Returns the response when the call must not be sent.
  std::optional<HttpResponse> Enter();
  std::vector<TargetRecord> Targets() const;

  // Claims the key, if there is one. Returns the response when the call must not be sent.
  std::optional<HttpResponse> ClaimKey();
  Result<HttpClientResponse> SendToSomeTarget();
  bool MayRepeat() const;
  Result<HttpClientResponse> SendTo(const TargetRecord& aTarget);
  Result<HttpClientResponse> Exchange(HttpExchange& aExchange);
  HttpCall MakeCall(const TargetRecord& aTarget, const AttemptId& aAttempt) const;
  HttpResponse Failure(const CallerError& aFailure);
  Duration TimeLeft() const;

  const RelayContext& context;
  ServiceCall call;
  RunningRequest running;
  RequestMeter meter;
  MonotonicTime deadline;
  AdmissionSlot slot;
  DispatchRecord record;
  // Declared after the record, from which its destructor settles the claim.
  std::unique_ptr<ClaimTicket> ticket;
};

} // namespace damasklink
