// The callers' address: authentication, prompts, models, keys and plain services.
#pragma once

#include <atomic>

#include "CompletionRelay.h"
#include "ServiceRelay.h"

namespace damasklink {

// Handles the calls of callers on the traffic threads.
class CallerService
{
public:
  explicit CallerService(const RelayContext& aContext);

  // Adds all routes. The server must not outlive this object.
  void AddRoutes(HttpServer& aServer);

private:
  // Who calls; the view keeps the policy alive.
  struct Caller
  {
    std::shared_ptr<const TrafficView> view;
    const ResolvedPolicy* policy = nullptr;
  };
  using CallerHandler = HttpResponse (CallerService::*)(const HttpRequest&, const Caller&);

  // Adds a route whose handler is called for known callers only.
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

  // Finds the caller by its key, and refuses one whose policy may be too old to be served.
  Result<Caller> Authenticate(const HttpRequest& aRequest) const;
  RequestId MakeRequestId();

  const RelayContext& context;
  std::atomic<std::uint64_t> requestCounter{ 0 };
  std::string processTag;
};

} // namespace damasklink
