#include "EngineOrders.h"

#include "damasklink/protocol/OrderApi.h"

namespace damasklink::standin {
namespace {

constexpr int kStatusBadRequest = 400;
constexpr int kStatusConflict = 409;

TargetRole
RoleAfter(TargetRole aNow, DeploymentRole aWished)
{
  switch (aWished) {
    case DeploymentRole::Keep:
      return aNow;
    case DeploymentRole::Both:
      return TargetRole::Both;
    case DeploymentRole::Prefill:
      return TargetRole::Prefill;
    case DeploymentRole::Decode:
      return TargetRole::Decode;
  }
  return aNow;
}

} // namespace

EngineOrders::EngineOrders(std::vector<ServedModel> aModels, EngineOrderOptions aOptions)
  : options(aOptions)
  , models(aModels)
  , loading(std::move(aModels))
{
}

void
EngineOrders::AddRoutes(HttpServer& aServer)
{
  aServer.Route(
    "POST", "/v1/orders", [this](const HttpRequest& aRequest) { return this->Take(aRequest); });
}

HttpResponse
EngineOrders::Take(const HttpRequest& aRequest)
{
  HttpResponse response;
  response.body = "{}";
  const auto order = ParseTargetOrder(aRequest.body);
  if (!order) {
    response.status = kStatusBadRequest;
    return response;
  }
  absl::MutexLock lock(&this->mutex);
  if (this->options.checksFencing && order.value().fencing < this->highest) {
    response.status = kStatusConflict;
    return response;
  }
  this->highest = std::max(this->highest, order.value().fencing);
  if (std::chrono::steady_clock::now() >= this->loadedAt) {
    this->models = this->loading;
  }
  this->role = RoleAfter(this->role, order.value().role);
  this->loading = { order.value().desired };
  this->loadedAt = std::chrono::steady_clock::now() + this->options.loadTime;
  return response;
}

void
EngineOrders::Describe(TargetRecord& aRecord) const
{
  absl::MutexLock lock(&this->mutex);
  const bool loaded = std::chrono::steady_clock::now() >= this->loadedAt;
  aRecord.models = loaded ? this->loading : this->models;
  aRecord.role = this->role;
  aRecord.checksFencing = this->options.checksFencing;
}

} // namespace damasklink::standin
