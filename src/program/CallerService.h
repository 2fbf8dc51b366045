// The HTTP API for callers: authentication, prompts, models, idempotency keys and services.
#pragma once

#include <atomic>

#include "CompletionRelay.h"
#include "ServiceRelay.h"

namespace damasklink {

// Handles the requests of callers. The handlers run on the traffic threads, several at once.
class CallerService
{
public:
  explicit CallerService(const RelayContext& aContext);

  // Adds all routes. The server must not outlive this object.
  void AddRoutes(HttpServer& aServer);

private:
  // An authenticated caller; the view owns the policy.
  struct Caller
  {
    std::shared_ptr<const TrafficView> view;
    const ResolvedPolicy* policy = nullptr;
  };
  using CallerHandler = HttpResponse (CallerService::*)(const HttpRequest&, const Caller&);

  // Adds a route whose handler is called only for authenticated callers.
  void AddRoute(HttpServer& aServer,
                const std::string& aMethod,
                const std::string& aPattern,
                CallerHandler aHandler);

  HttpResponse CompleteText(const HttpRequest& aRequest, const Caller& aCaller);
  HttpResponse CompleteChat(const HttpRequest& aRequest, const Caller& aCaller);
  HttpResponse Complete(const HttpRequest& aRequest, const Caller& aCaller, CompletionStyle aStyle);
  HttpResponse Run(std::shared_ptr<CompletionRelay> aRelay, bool aKeyed, bool aStreamed);
  HttpResponse ListModels(const HttpRequest& aRequest, const Caller& aCaller);
  HttpResponse MintKey(const HttpRequest& aRequest, const Caller& aCaller);
  HttpResponse CallService(const HttpRequest& aRequest, const Caller& aCaller);

  // Finds the caller by its key. Fails with Unauthenticated for a missing or unknown key, and with
  // Unavailable when the configuration may be older than the caller's policy accepts.
  Result<Caller> Authenticate(const HttpRequest& aRequest) const;
  RequestId MakeRequestId();

  const RelayContext& context;
  std::atomic<std::uint64_t> requestCounter{ 0 };
  // Random for each start of the process, so that request ids differ between starts.
  std::string processTag;
};

} // namespace damasklink
