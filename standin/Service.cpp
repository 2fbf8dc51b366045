#include "Service.h"

#include <thread>

#include <nlohmann/json.hpp>

namespace damasklink::standin {

Service::Service(ServiceOptions aOptions)
  : options(std::move(aOptions))
{
}

void
Service::AddRoutes(HttpServer& aServer)
{
  aServer.Route("GET", "/runs", [this](const HttpRequest&) { return this->ListRuns(); });
  aServer.Route("POST", "/.*", [this](const HttpRequest& aRequest) { return this->Run(aRequest); });
}

TargetRecord
Service::Record() const
{
  TargetRecord record;
  record.id = this->options.id;
  record.kind = TargetKind::Service;
  record.zone = this->options.zone;
  record.endpoint = this->options.listen;
  record.service = this->options.service;
  return record;
}

HttpResponse
Service::Run(const HttpRequest& aRequest)
{
  std::this_thread::sleep_for(this->options.work);
  HttpResponse response;
  absl::MutexLock lock(&this->mutex);
  const std::uint64_t count = ++this->runs[aRequest.body];
  response.body = nlohmann::json{ { "run", count }, { "path", aRequest.path } }.dump();
  return response;
}

HttpResponse
Service::ListRuns()
{
  HttpResponse response;
  absl::MutexLock lock(&this->mutex);
  response.body = nlohmann::json(this->runs).dump();
  return response;
}

} // namespace damasklink::standin
