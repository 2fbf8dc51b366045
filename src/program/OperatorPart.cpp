#include "OperatorPart.h"

#include <nlohmann/json.hpp>

#include "Responses.h"
#include "damasklink/protocol/BurnApi.h"
#include "damasklink/protocol/MetricsText.h"
#include "damasklink/transport/Log.h"

namespace damasklink {

OperatorPart::OperatorPart(const HostContext& aContext,
                           const MetricsRegistry& aMetrics,
                           const ServiceLevelWindows& aServiceLevels)
  : context(aContext)
  , metrics(aMetrics)
  , serviceLevels(aServiceLevels)
{
}

void
OperatorPart::AddRoutes(const HostServers& aServers)
{
  HttpServer& server = aServers.operators;
  const std::vector<Digest>& keys = this->context.settings.operatorKeys;
  server.Route("GET", "/healthz", [](const HttpRequest&) { return TextResponse("ok\n"); });
  server.Route("GET", "/readyz", [this](const HttpRequest&) { return this->Readiness(); });
  server.Route("GET", "/metrics", RequireKey(keys, [this](const HttpRequest&) {
                 return this->ServeMetrics();
               }));
  server.Route(
    "GET", "/v1/burn", RequireKey(keys, [this](const HttpRequest&) { return this->ServeBurn(); }));
  server.Route("PUT", "/v1/log-level", RequireKey(keys, [this](const HttpRequest& aRequest) {
                 return this->ChangeLogLevel(aRequest);
               }));
}

HttpResponse
OperatorPart::Readiness() const
{
  if (this->context.phase.load() == HostPhase::Ready) {
    return TextResponse("ready\n");
  }
  return RefusalResponse(
    Error{ ErrorKind::Unavailable, "this host is starting or stopping", "use another host" });
}

HttpResponse
OperatorPart::ServeMetrics() const
{
  HttpResponse response =
    TextResponse(FormatMetrics(this->metrics.Snapshot(), this->context.settings.host));
  response.contentType = "text/plain; version=0.0.4; charset=utf-8";
  return response;
}

HttpResponse
OperatorPart::ServeBurn() const
{
  const auto view = this->context.views.Get();
  HostBurn burn;
  burn.host = this->context.settings.host;
  burn.workspaces = JoinBurn(view->callers->ServiceLevels(), this->serviceLevels.Counts());
  HttpResponse response;
  response.body = FormatHostBurn(burn);
  return response;
}

HttpResponse
OperatorPart::ChangeLogLevel(const HttpRequest& aRequest) const
{
  const auto body = nlohmann::json::parse(aRequest.body, nullptr, false);
  const auto named = body.is_object() ? body.find("level") : body.end();
  LogLevel level = LogLevel::Info;
  if (named == body.end() || !named->is_string() ||
      !ParseLogLevel(named->get<std::string>(), level)) {
    return RefusalResponse(Error{ ErrorKind::InvalidArgument,
                                  "the body has no known log level",
                                  R"(send {"level": "debug"}, or info, warning, error)" });
  }
  SetLogLevel(level);
  LogEvent(LogLevel::Warning, "log_level_changed")
    .With("host", this->context.settings.host)
    .With("level", named->get<std::string>());
  return TextResponse("changed\n");
}

} // namespace damasklink
