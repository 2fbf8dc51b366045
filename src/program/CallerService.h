// The callers' address: authentication, prompts, models and plain services.
#pragma once

#include <atomic>

#include "CompletionRelay.h"
#include "ServiceRelay.h"

namespace damasklink {

// Handles the calls of callers on the traffic threads.
class CallerService
{
public:
  CallerService(const RelayContext& aContext, ServiceContext aServices);

  // Adds all routes. The server must not outlive this object.
  void AddRoutes(HttpServer& aServer);

private:
  HttpResponse Complete(const HttpRequest& aRequest, CompletionStyle aStyle);
  HttpResponse ListModels(const HttpRequest& aRequest);
  HttpResponse MintKey(const HttpRequest& aRequest);
  HttpResponse CallService(const HttpRequest& aRequest);

  // Returns the policy of the caller's key; the view keeps it alive.
  Result<const ResolvedPolicy*> Authenticate(const HttpRequest& aRequest,
                                             const TrafficView& aView) const;
  RequestId MakeRequestId();

  const RelayContext& context;
  ServiceContext services;
  const HostSettings& settings;
  std::atomic<std::uint64_t> requestCounter{ 0 };
  std::string processTag;
};

} // namespace damasklink
