#include "CallerService.h"

#include "Responses.h"

#include <random>

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>

#include "damasklink/state/Digests.h"
#include "damasklink/state/Text.h"

namespace damasklink {
namespace {

// For requests without x-deadline-ms.
constexpr Duration kDefaultTimeLimit = std::chrono::minutes(10);
constexpr std::uint64_t kMaxDeadlineMs = 3'600'000;
constexpr std::uint64_t kMaxPriority = 9;

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

// Returns random hexadecimal digits. They keep the request ids of two starts of a host apart, even
// when its clock was set back.
std::string
RandomTag()
{
  std::random_device device;
  return absl::StrFormat("%08x%08x", device(), device());
}

// Reads x-deadline-ms, the time for the whole answer.
Result<Duration>
ReadTimeLimit(const HttpRequest& aRequest)
{
  const std::string text = aRequest.Header("x-deadline-ms");
  if (text.empty()) {
    return kDefaultTimeLimit;
  }
  std::uint64_t milliseconds = 0;
  const bool parsed = absl::SimpleAtoi(text, &milliseconds);
  if (!parsed || milliseconds == 0 || milliseconds > kMaxDeadlineMs) {
    return Fail(ErrorKind::InvalidArgument,
                "header x-deadline-ms is not a whole number in range",
                "send 1 to 3600000, the milliseconds that the answer may take");
  }
  return Duration(std::chrono::milliseconds(milliseconds));
}

// Reads x-priority. It can lower the priority of a call, but not raise it above that of its policy.
Result<std::uint64_t>
ReadPriority(const HttpRequest& aRequest)
{
  const std::string text = aRequest.Header("x-priority");
  std::uint64_t priority = 0;
  if (!text.empty() && (!absl::SimpleAtoi(text, &priority) || priority > kMaxPriority)) {
    return Fail(ErrorKind::InvalidArgument,
                "header x-priority is not a whole number in range",
                "send 0, which goes first, to 9");
  }
  return priority;
}

HttpResponse
LeavingResponse()
{
  CallerError refusal;
  refusal.error =
    Error{ ErrorKind::Unavailable, "this host is leaving", "send the call again, to any host" };
  refusal.retryAfter = std::chrono::seconds(1);
  return ErrorResponse(refusal);
}

} // namespace

CallerService::CallerService(const RelayContext& aContext)
  : context(aContext)
  , processTag(RandomTag())
{
}

void
CallerService::AddRoutes(HttpServer& aServer)
{
  this->AddRoute(aServer, "POST", "/v1/completions", &CallerService::CompleteText);
  this->AddRoute(aServer, "POST", "/v1/chat/completions", &CallerService::CompleteChat);
  this->AddRoute(aServer, "GET", "/v1/models", &CallerService::ListModels);
  this->AddRoute(aServer, "POST", "/v1/keys", &CallerService::MintKey);
  for (const char* method : { "GET", "POST", "PUT", "PATCH", "DELETE" }) {
    this->AddRoute(aServer, method, "/services/([^/]+)(/.*)?", &CallerService::CallService);
  }
}

void
CallerService::AddRoute(HttpServer& aServer,
                        const std::string& aMethod,
                        const std::string& aPattern,
                        CallerHandler aHandler)
{
  aServer.Route(aMethod, aPattern, [this, aHandler](const HttpRequest& aRequest) {
    auto caller = this->Authenticate(aRequest);
    if (!caller) {
      return RefusalResponse(caller.error());
    }
    return (this->*aHandler)(aRequest, caller.value());
  });
}

HttpResponse
CallerService::CompleteText(const HttpRequest& aRequest, const Caller& aCaller)
{
  return this->Complete(aRequest, aCaller, CompletionStyle::Text);
}

HttpResponse
CallerService::CompleteChat(const HttpRequest& aRequest, const Caller& aCaller)
{
  return this->Complete(aRequest, aCaller, CompletionStyle::Chat);
}

HttpResponse
CallerService::Complete(const HttpRequest& aRequest, const Caller& aCaller, CompletionStyle aStyle)
{
  auto parsed = ParseCompletionRequest(aRequest.body, aStyle);
  if (!parsed) {
    return RefusalResponse(parsed.error());
  }
  const CompletionRequest& prompt = parsed.value();
  if (!AllowsModel(aCaller.policy->models, prompt.model, prompt.version)) {
    return RefusalResponse(Error{ ErrorKind::NotFound,
                                  Concat("model '", prompt.model.Value(), "' is unknown here"),
                                  "name a model that /v1/models lists" });
  }
  auto timeLimit = ReadTimeLimit(aRequest);
  if (!timeLimit) {
    return RefusalResponse(timeLimit.error());
  }
  auto priority = ReadPriority(aRequest);
  if (!priority) {
    return RefusalResponse(priority.error());
  }
  CompletionCall call;
  call.request = prompt;
  call.policy = *aCaller.policy;
  call.id = this->MakeRequestId();
  call.key = IdempotencyKey(aRequest.Header("idempotency-key"));
  call.digest = CallDigest(aRequest);
  call.timeLimit = timeLimit.value();
  call.priority = priority.value();
  const bool keyed = !call.key.Empty();
  return this->Run(
    std::make_shared<CompletionRelay>(this->context, std::move(call)), keyed, prompt.stream);
}

HttpResponse
CallerService::Run(std::shared_ptr<CompletionRelay> aRelay, bool aKeyed, bool aStreamed)
{
  if (!aRelay->Accepted()) {
    return LeavingResponse();
  }
  if (auto refusal = aRelay->Enter()) {
    return ErrorResponse(*refusal);
  }
  if (aKeyed) {
    if (auto response = aRelay->Claim()) {
      return std::move(*response);
    }
  }
  if (auto opened = aRelay->Open(); !opened) {
    return ErrorResponse(aRelay->Describe(opened.error()));
  }
  HttpResponse response;
  if (aStreamed) {
    response.contentType = "text/event-stream";
    // The relay is shared because the server copies the function.
    response.stream = [relay = std::move(aRelay)](StreamWriter& aWriter) {
      return relay->Stream(aWriter);
    };
    return response;
  }
  auto body = aRelay->Collect();
  if (!body) {
    return ErrorResponse(aRelay->Describe(body.error()));
  }
  response.body = std::move(body.value());
  return response;
}

HttpResponse
CallerService::ListModels(const HttpRequest& /*aRequest*/, const Caller& aCaller)
{
  std::vector<ModelName> models;
  for (const ModelGrant& grant : aCaller.policy->models) {
    models.push_back(grant.model);
  }
  HttpResponse response;
  response.body = FormatModelList(models);
  return response;
}

HttpResponse
CallerService::MintKey(const HttpRequest& /*aRequest*/, const Caller& aCaller)
{
  HttpResponse response;
  response.body = FormatIssuedKey(this->context.claims.Mint(aCaller.policy->workspace),
                                  this->context.host.settings.timeouts.keyRetention);
  return response;
}

HttpResponse
CallerService::CallService(const HttpRequest& aRequest, const Caller& aCaller)
{
  const ServiceName name(aRequest.groups.at(0));
  const ServiceRoute* service = FindService(*aCaller.policy, name);
  if (service == nullptr) {
    return RefusalResponse(Error{ ErrorKind::NotFound,
                                  Concat("service '", name.Value(), "' is unknown here"),
                                  "ask the operator which services your team may call" });
  }
  auto priority = ReadPriority(aRequest);
  if (!priority) {
    return RefusalResponse(priority.error());
  }
  ServiceRelay relay(
    this->context,
    ServiceCall{ aRequest, *aCaller.policy, *service, this->MakeRequestId(), priority.value() });
  return relay.Accepted() ? relay.Run() : LeavingResponse();
}

Result<CallerService::Caller>
CallerService::Authenticate(const HttpRequest& aRequest) const
{
  const std::string token = BearerToken(aRequest);
  if (token.empty()) {
    return Fail(ErrorKind::Unauthenticated,
                "no key was sent",
                "send the header 'Authorization: Bearer <key>'");
  }
  Caller caller;
  caller.view = this->context.host.views.Get();
  // The lookup uses the digest, so its duration reveals nothing about the key.
  auto policy = FindCaller(*caller.view, DigestOf(token));
  if (!policy) {
    return Fail(policy.error());
  }
  caller.policy = policy.value();
  return caller;
}

RequestId
CallerService::MakeRequestId()
{
  return RequestId(absl::StrFormat("req-%s-%s-%d",
                                   this->context.host.settings.host.Value(),
                                   this->processTag,
                                   this->requestCounter.fetch_add(1)));
}

} // namespace damasklink
