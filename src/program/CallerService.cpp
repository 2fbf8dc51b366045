#include "CallerService.h"

#include "Responses.h"

#include <algorithm>

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

const TargetRecord*
FindServiceTarget(const TrafficView& aView, const ServiceName& aName)
{
  for (const TargetRecord& target : aView.targets) {
    if (target.kind == TargetKind::Service && target.service == aName) {
      return &target;
    }
  }
  return nullptr;
}

} // namespace

CallerService::CallerService(const RelayContext& aContext, const HostSettings& aSettings)
  : context(aContext)
  , settings(aSettings)
  , processTag(static_cast<std::uint64_t>(aContext.clock.WallNow().time_since_epoch().count()))
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
CallerService::CallService(const HttpRequest& aRequest)
{
  const auto view = this->context.views.Get();
  auto policy = this->Authenticate(aRequest, *view);
  if (!policy) {
    return RefusalResponse(policy.error());
  }
  const ServiceName name(aRequest.groups.at(0));
  const ServiceRoute* service = FindService(*policy.value(), name);
  const TargetRecord* target = FindServiceTarget(*view, name);
  if (service == nullptr) {
    return RefusalResponse(Error{ ErrorKind::NotFound,
                                  Concat("service '", name.Value(), "' is unknown here"),
                                  "ask the operator which services your team may call" });
  }
  if (target == nullptr) {
    return RefusalResponse(Error{ ErrorKind::Unavailable,
                                  Concat("service '", name.Value(), "' has no target now"),
                                  "try again shortly" });
  }
  HttpCall call;
  call.endpoint = target->endpoint;
  call.method = aRequest.method;
  call.path = aRequest.groups.at(1).empty() ? "/" : aRequest.groups.at(1);
  call.headers = { { "content-type", aRequest.Header("content-type") },
                   { "x-workspace", policy.value()->workspace.Value() } };
  call.body = aRequest.body;
  call.connectTimeout = this->settings.timeouts.connect;
  call.readTimeout = service->timeout;
  DispatchRecord record;
  record.Begin(AttemptId(this->MakeRequestId().Value()), target->id);
  record.Advance(AttemptStage::Sending);
  auto answer = CallHttp(std::move(call), ByteCount(this->settings.limits.requestBody));
  if (!answer) {
    if (answer.error().kind == ErrorKind::Unavailable) {
      record.Advance(AttemptStage::Refused);
    }
    return ErrorResponse(CallerError{ answer.error(), record.Outcome(), std::nullopt });
  }
  HttpResponse response;
  response.status = answer.value().status;
  response.contentType = answer.value().headers.front().second;
  response.body = std::move(answer.value().body);
  return response;
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
  return RequestId(absl::StrFormat("req-%s-%x-%d",
                                   this->settings.host.Value(),
                                   this->processTag,
                                   this->requestCounter.fetch_add(1)));
}

} // namespace damasklink
