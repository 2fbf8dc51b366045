#include "CallerService.h"

#include "Responses.h"

#include <algorithm>
#include <random>

#include <absl/strings/str_format.h>

#include "damasklink/state/Digests.h"
#include "damasklink/state/Text.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

const ServiceRoute*
FindService(const ResolvedPolicy& aPolicy, const ServiceName& aName)
{
  for (const ServiceRoute& service : aPolicy.services) {
    if (service.name == aName) {
      return &service;
    }
  }
  return nullptr;
}

// Text of random digits, so that ids of two lives of a host differ whatever the clock says.
std::string
RandomTag()
{
  std::random_device device;
  return absl::StrFormat("%08x%08x", device(), device());
}

} // namespace

CallerService::CallerService(const RelayContext& aContext, ServiceContext aServices)
  : context(aContext)
  , services(aServices)
  , settings(aServices.host.settings)
  , processTag(RandomTag())
{
}

void
CallerService::AddRoutes(HttpServer& aServer)
{
  aServer.Route("POST", "/v1/completions", [this](const HttpRequest& aRequest) {
    return this->Complete(aRequest, CompletionStyle::Text);
  });
  aServer.Route("POST", "/v1/chat/completions", [this](const HttpRequest& aRequest) {
    return this->Complete(aRequest, CompletionStyle::Chat);
  });
  aServer.Route("GET", "/v1/models", [this](const HttpRequest& aRequest) {
    return this->ListModels(aRequest);
  });
  aServer.Route(
    "POST", "/v1/keys", [this](const HttpRequest& aRequest) { return this->MintKey(aRequest); });
  for (const char* method : { "GET", "POST", "PUT", "PATCH", "DELETE" }) {
    aServer.Route(method, "/services/([^/]+)(/.*)?", [this](const HttpRequest& aRequest) {
      return this->CallService(aRequest);
    });
  }
}

HttpResponse
CallerService::Complete(const HttpRequest& aRequest, CompletionStyle aStyle)
{
  const auto view = this->context.views.Get();
  auto policy = this->Authenticate(aRequest, *view);
  if (!policy) {
    return RefusalResponse(policy.error());
  }
  auto parsed = ParseCompletionRequest(aRequest.body, aStyle);
  if (!parsed) {
    return RefusalResponse(parsed.error());
  }
  const CompletionRequest& prompt = parsed.value();
  if (!AllowsModel(policy.value()->models, prompt.model, prompt.version)) {
    return RefusalResponse(Error{ ErrorKind::NotFound,
                                  Concat("model '", prompt.model.Value(), "' is unknown here"),
                                  "name a model that /v1/models lists" });
  }
  const bool streamed = prompt.stream;
  auto relay = std::make_shared<CompletionRelay>(
    this->context, std::move(parsed.value()), *policy.value(), this->MakeRequestId());
  if (auto opened = relay->Open(); !opened) {
    return ErrorResponse(relay->Describe(opened.error()));
  }
  HttpResponse response;
  if (streamed) {
    response.contentType = "text/event-stream";
    // The server copies the function, so the relay is shared with it.
    response.stream = [relay](StreamWriter& aWriter) { return relay->Stream(aWriter); };
    return response;
  }
  auto body = relay->Collect();
  if (!body) {
    return ErrorResponse(relay->Describe(body.error()));
  }
  response.body = std::move(body.value());
  return response;
}

HttpResponse
CallerService::ListModels(const HttpRequest& aRequest)
{
  const auto view = this->context.views.Get();
  auto policy = this->Authenticate(aRequest, *view);
  if (!policy) {
    return RefusalResponse(policy.error());
  }
  std::vector<ModelName> models;
  for (const ModelGrant& grant : policy.value()->models) {
    models.push_back(grant.model);
  }
  HttpResponse response;
  response.body = FormatModelList(models);
  return response;
}

HttpResponse
CallerService::MintKey(const HttpRequest& aRequest)
{
  const auto view = this->context.views.Get();
  auto policy = this->Authenticate(aRequest, *view);
  if (!policy) {
    return RefusalResponse(policy.error());
  }
  HttpResponse response;
  response.body = FormatMintedKey(this->services.claims.Mint(policy.value()->workspace),
                                  this->settings.timeouts.keyRetention);
  return response;
}

HttpResponse
CallerService::CallService(const HttpRequest& aRequest)
{
  const auto view = this->context.views.Get();
  auto policy = this->Authenticate(aRequest, *view);
  if (!policy) {
    return RefusalResponse(policy.error());
  }
  const ServiceName name(aRequest.groups.at(0));
  const ServiceRoute* service = FindService(*policy.value(), name);
  if (service == nullptr) {
    return RefusalResponse(Error{ ErrorKind::NotFound,
                                  Concat("service '", name.Value(), "' is unknown here"),
                                  "ask the operator which services your team may call" });
  }
  ServiceRelay relay(this->services,
                     ServiceCall{ aRequest, *policy.value(), *service, this->MakeRequestId() });
  return relay.Run();
}

Result<const ResolvedPolicy*>
CallerService::Authenticate(const HttpRequest& aRequest, const TrafficView& aView) const
{
  const std::string token = BearerToken(aRequest);
  if (token.empty()) {
    return Fail(ErrorKind::Unauthenticated,
                "no key was sent",
                "send the header 'Authorization: Bearer <key>'");
  }
  // The look-up is by digest, so its time tells nothing about the key itself.
  return FindCaller(aView, DigestOf(token));
}

RequestId
CallerService::MakeRequestId()
{
  return RequestId(absl::StrFormat("req-%s-%s-%d",
                                   this->settings.host.Value(),
                                   this->processTag,
                                   this->requestCounter.fetch_add(1)));
}

} // namespace damasklink
