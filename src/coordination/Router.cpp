#include "damasklink/coordination/Router.h"

#include "damasklink/state/Text.h"
#include <algorithm>

namespace damasklink {
namespace {

bool
RoleFits(const RouteRequest& aRequest, TargetRole aRole)
{
  if (aRole == TargetRole::Both) {
    return true;
  }
  const TargetRole wanted = aRequest.continuation ? TargetRole::Decode : TargetRole::Prefill;
  return aRole == wanted;
}

bool
Serves(const RouteRequest& aRequest, const ServedModel& aServed)
{
  const bool sameModel = aServed.model == aRequest.model;
  const bool sameVersion = aRequest.version.Empty() || aServed.version == aRequest.version;
  if (!sameModel || !sameVersion) {
    return false;
  }
  if (!AllowsModel(aRequest.grants, aServed.model, aServed.version)) {
    return false;
  }
  const auto& adapters = aServed.adapters;
  return aRequest.adapter.Empty() ||
         std::find(adapters.begin(), adapters.end(), aRequest.adapter) != adapters.end();
}

} // namespace

WeightVersion
EligibleVersion(const RouteRequest& aRequest, const TargetRecord& aTarget)
{
  const auto& excluded = aRequest.excluded;
  const bool tried = std::find(excluded.begin(), excluded.end(), aTarget.id) != excluded.end();
  if (tried || aTarget.kind != TargetKind::Engine || !RoleFits(aRequest, aTarget.role)) {
    return WeightVersion();
  }
  for (const ServedModel& served : aTarget.models) {
    if (Serves(aRequest, served)) {
      return served.version;
    }
  }
  return WeightVersion();
}

Result<RouteDecision>
LeastLoadedRouter::Choose(const RouteRequest& aRequest, const std::vector<TargetRecord>& aTargets)
{
  const TargetRecord* best = nullptr;
  std::uint64_t bestLoad = 0;
  for (const TargetRecord& target : aTargets) {
    if (EligibleVersion(aRequest, target).Empty()) {
      continue;
    }
    const std::uint64_t load = this->outstanding[target.id];
    if (best == nullptr || load < bestLoad) {
      best = &target;
      bestLoad = load;
    }
  }
  if (best == nullptr) {
    return Fail(ErrorKind::Unavailable,
                Concat("no target serves model '", aRequest.model.Value(), "' now"),
                "try again shortly, or ask the operator which targets are announced");
  }
  RouteDecision decision;
  decision.target = best->id;
  decision.endpoint = best->endpoint;
  decision.version = EligibleVersion(aRequest, *best);
  return decision;
}

void
LeastLoadedRouter::OnSent(const RouteRequest& /*aRequest*/, const RouteDecision& aDecision)
{
  ++this->outstanding[aDecision.target];
}

void
LeastLoadedRouter::OnFirstToken(const RouteRequest& /*aRequest*/,
                                const RouteDecision& /*aDecision*/,
                                Duration /*aElapsed*/,
                                TokenCount /*aReused*/)
{
}

void
LeastLoadedRouter::OnDone(const RouteRequest& /*aRequest*/,
                          const RouteDecision& aDecision,
                          bool /*aWhole*/)
{
  --this->outstanding[aDecision.target];
}

} // namespace damasklink
