#include "damasklink/state/ConfigNarrowing.h"

#include <algorithm>

#include "damasklink/state/Text.h"

namespace damasklink {
namespace {

using Path = std::vector<std::string>;

// Returns the versions that both lists allow; an empty list allows all. Returns false when none.
bool
CommonVersions(const std::vector<WeightVersion>& aAbove,
               const std::vector<WeightVersion>& aOwn,
               std::vector<WeightVersion>& aTo)
{
  if (aAbove.empty() || aOwn.empty()) {
    aTo = aAbove.empty() ? aOwn : aAbove;
    return true;
  }
  for (const WeightVersion& version : aOwn) {
    if (std::find(aAbove.begin(), aAbove.end(), version) != aAbove.end()) {
      aTo.push_back(version);
    }
  }
  return !aTo.empty();
}

std::vector<ModelGrant>
NarrowModels(const std::vector<ModelGrant>& aAbove, const std::vector<ModelGrant>& aOwn)
{
  std::vector<ModelGrant> narrowed;
  for (const ModelGrant& own : aOwn) {
    for (const ModelGrant& above : aAbove) {
      ModelGrant common{ own.model, {} };
      if (above.model == own.model &&
          CommonVersions(above.versions, own.versions, common.versions)) {
        narrowed.push_back(std::move(common));
      }
    }
  }
  return narrowed;
}

const ServiceRoute*
FindRoute(const std::vector<ServiceRoute>& aRoutes, const ServiceName& aName)
{
  const auto isNamed = [&](const ServiceRoute& aRoute) { return aRoute.name == aName; };
  const auto found = std::find_if(aRoutes.begin(), aRoutes.end(), isNamed);
  return found == aRoutes.end() ? nullptr : &*found;
}

std::vector<ServiceRoute>
NarrowServices(const std::vector<ServiceRoute>& aAbove, const std::vector<ServiceRoute>& aOwn)
{
  std::vector<ServiceRoute> narrowed;
  for (const ServiceRoute& own : aOwn) {
    if (const ServiceRoute* above = FindRoute(aAbove, own.name)) {
      narrowed.push_back(ServiceRoute{
        own.name, above->idempotent && own.idempotent, std::min(above->timeout, own.timeout) });
    }
  }
  return narrowed;
}

// Fills aTo with what both levels allow together.
template<typename T, typename Combine>
void
NarrowField(const std::optional<T>& aAbove, std::optional<T>& aOwn, Combine aCombine)
{
  if (!aOwn) {
    aOwn = aAbove;
  } else if (aAbove) {
    aOwn = aCombine(*aAbove, *aOwn);
  }
}

template<typename T>
void
Inherit(const std::optional<T>& aAbove, std::optional<T>& aOwn)
{
  if (!aOwn) {
    aOwn = aAbove;
  }
}

std::uint64_t
Lower(std::uint64_t aLeft, std::uint64_t aRight)
{
  return std::min(aLeft, aRight);
}

std::uint64_t
Higher(std::uint64_t aLeft, std::uint64_t aRight)
{
  return std::max(aLeft, aRight);
}

WhenStale
Stricter(WhenStale aLeft, WhenStale aRight)
{
  return aLeft == WhenStale::Refuse ? aLeft : aRight;
}

// Narrows everything but the two lists.
void
NarrowScalars(const SubtreePolicy& aAbove, SubtreePolicy& aOwn)
{
  NarrowField(aAbove.priority, aOwn.priority, Higher);
  NarrowField(aAbove.whenStale, aOwn.whenStale, Stricter);
  NarrowField(aAbove.limits.concurrentRequests, aOwn.limits.concurrentRequests, Lower);
  NarrowField(aAbove.limits.promptTokens, aOwn.limits.promptTokens, Lower);
  NarrowField(aAbove.limits.requestsPerSecond, aOwn.limits.requestsPerSecond, Lower);
  Inherit(aAbove.objective, aOwn.objective);
  Inherit(aAbove.serviceLevel, aOwn.serviceLevel);
  Inherit(aAbove.share, aOwn.share);
}

void
FindWiderModels(const std::vector<ModelGrant>& aAbove,
                const std::vector<ModelGrant>& aOwn,
                std::vector<Widening>& aTo)
{
  for (std::size_t index = 0; index < aOwn.size(); ++index) {
    const ModelGrant& grant = aOwn[index];
    const Path path{ "models", Concat(index) };
    if (!AllowsModel(aAbove, grant.model, WeightVersion())) {
      aTo.push_back({ path,
                      Concat("grants model '", grant.model.Value(), "' that its parent does not"),
                      "grant it in the parent first, or remove it here" });
      continue;
    }
    for (const WeightVersion& version : grant.versions) {
      if (!AllowsModel(aAbove, grant.model, version)) {
        aTo.push_back({ path,
                        Concat("grants version '",
                               version.Value(),
                               "' of model '",
                               grant.model.Value(),
                               "' that its parent does not"),
                        "grant the version in the parent first, or remove it here" });
      }
    }
  }
}

// Of two routes with one name it could not be told which bounds the children.
void
FindRepeatedServices(const std::vector<ServiceRoute>& aOwn, std::vector<Widening>& aTo)
{
  for (std::size_t index = 0; index < aOwn.size(); ++index) {
    if (FindRoute(aOwn, aOwn[index].name) != &aOwn[index]) {
      aTo.push_back({ { "services", Concat(index) },
                      Concat("routes service '", aOwn[index].name.Value(), "' a second time"),
                      "keep one of the two" });
    }
  }
}

void
FindWiderServices(const std::vector<ServiceRoute>& aAbove,
                  const std::vector<ServiceRoute>& aOwn,
                  std::vector<Widening>& aTo)
{
  for (std::size_t index = 0; index < aOwn.size(); ++index) {
    const ServiceRoute& own = aOwn[index];
    const ServiceRoute* above = FindRoute(aAbove, own.name);
    if (above == nullptr) {
      aTo.push_back({ { "services", Concat(index) },
                      Concat("routes service '", own.name.Value(), "' that its parent does not"),
                      "add the service to the parent first, or remove it here" });
    } else if (own.idempotent && !above->idempotent) {
      aTo.push_back({ { "services", Concat(index), "idempotent" },
                      "allows repeats of a service that the parent forbids to repeat",
                      "write idempotent: false, or change the parent first" });
    }
  }
}

void
FindWiderLimit(const char* aKey,
               const std::optional<std::uint64_t>& aAbove,
               const std::optional<std::uint64_t>& aOwn,
               std::vector<Widening>& aTo)
{
  if (aAbove && aOwn && *aOwn > *aAbove) {
    aTo.push_back({ { "limits", aKey },
                    Concat(*aOwn, " is above the parent's ", *aAbove),
                    Concat("write at most ", *aAbove, ", or raise the parent first") });
  }
}

} // namespace

SubtreePolicy
NarrowPolicy(const SubtreePolicy& aAbove, const SubtreePolicy& aOwn)
{
  SubtreePolicy narrowed = aOwn;
  NarrowScalars(aAbove, narrowed);
  NarrowField(aAbove.models, narrowed.models, NarrowModels);
  NarrowField(aAbove.services, narrowed.services, NarrowServices);
  return narrowed;
}

std::vector<Widening>
FindWidening(const SubtreePolicy& aAbove, const SubtreePolicy& aOwn)
{
  std::vector<Widening> found;
  if (aAbove.models && aOwn.models) {
    FindWiderModels(*aAbove.models, *aOwn.models, found);
  }
  if (aOwn.services) {
    FindRepeatedServices(*aOwn.services, found);
  }
  if (aAbove.services && aOwn.services) {
    FindWiderServices(*aAbove.services, *aOwn.services, found);
  }
  FindWiderLimit(
    "concurrent_requests", aAbove.limits.concurrentRequests, aOwn.limits.concurrentRequests, found);
  FindWiderLimit("prompt_tokens", aAbove.limits.promptTokens, aOwn.limits.promptTokens, found);
  FindWiderLimit(
    "requests_per_second", aAbove.limits.requestsPerSecond, aOwn.limits.requestsPerSecond, found);
  if (aAbove.priority && aOwn.priority && *aOwn.priority < *aAbove.priority) {
    found.push_back({ { "priority" },
                      Concat(*aOwn.priority, " is served before the parent's ", *aAbove.priority),
                      Concat("write ", *aAbove.priority, " or more, or change the parent first") });
  }
  if (aAbove.whenStale == WhenStale::Refuse && aOwn.whenStale == WhenStale::Serve) {
    found.push_back({ { "when_stale" },
                      "serves where the parent refuses",
                      "write refuse, or change the parent first" });
  }
  return found;
}

std::vector<Widening>
FindWidening(const SubtreePolicy& aDefaults, const WorkspaceNode& aWorkspace)
{
  std::vector<Widening> found = FindWidening(aDefaults, aWorkspace.policy);
  const SubtreePolicy bounds = NarrowPolicy(aDefaults, aWorkspace.policy);
  for (const auto& [teamId, team] : aWorkspace.teams) {
    for (Widening& widening : FindWidening(bounds, team.policy)) {
      widening.path.insert(widening.path.begin(), { "teams", teamId.Value() });
      found.push_back(std::move(widening));
    }
  }
  return found;
}

PolicyResolver::PolicyResolver(const SubtreePolicy& aDefaults)
  : defaults(aDefaults)
  , models(aDefaults.models.value_or(std::vector<ModelGrant>()))
  , services(aDefaults.services.value_or(std::vector<ServiceRoute>()))
{
}

ResolvedPolicy
PolicyResolver::Resolve(const WorkspaceId& aWorkspace,
                        const SubtreePolicy& aWorkspacePolicy,
                        const TeamId& aTeam,
                        const SubtreePolicy& aTeamPolicy) const
{
  SubtreePolicy narrowed = aTeamPolicy;
  NarrowScalars(aWorkspacePolicy, narrowed);
  NarrowScalars(this->defaults, narrowed);
  ResolvedPolicy resolved;
  resolved.workspace = aWorkspace;
  resolved.team = aTeam;
  resolved.models = this->models;
  resolved.services = this->services;
  if (aWorkspacePolicy.models || aTeamPolicy.models) {
    std::optional<std::vector<ModelGrant>> own = aTeamPolicy.models;
    NarrowField(aWorkspacePolicy.models, own, NarrowModels);
    NarrowField(this->defaults.models, own, NarrowModels);
    resolved.models = SharedList<ModelGrant>(std::move(*own));
  }
  if (aWorkspacePolicy.services || aTeamPolicy.services) {
    std::optional<std::vector<ServiceRoute>> own = aTeamPolicy.services;
    NarrowField(aWorkspacePolicy.services, own, NarrowServices);
    NarrowField(this->defaults.services, own, NarrowServices);
    resolved.services = SharedList<ServiceRoute>(std::move(*own));
  }
  resolved.priority = narrowed.priority.value_or(resolved.priority);
  resolved.objective = narrowed.objective.value_or(resolved.objective);
  resolved.serviceLevel = narrowed.serviceLevel.value_or(resolved.serviceLevel);
  resolved.whenStale = narrowed.whenStale.value_or(resolved.whenStale);
  resolved.limits = narrowed.limits;
  resolved.share = narrowed.share.value_or(resolved.share);
  return resolved;
}

Result<ResolvedPolicy>
ResolvePolicy(const ConfigTree& aTree, const WorkspaceId& aWorkspace, const TeamId& aTeam)
{
  const auto workspace = aTree.workspaces.find(aWorkspace);
  if (workspace == aTree.workspaces.end()) {
    return Fail(ErrorKind::NotFound,
                Concat("workspace '", aWorkspace.Value(), "' does not exist"),
                "apply its subtree first");
  }
  const auto team = workspace->second.teams.find(aTeam);
  if (team == workspace->second.teams.end()) {
    return Fail(ErrorKind::NotFound,
                Concat("team '", aTeam.Value(), "' does not exist"),
                "add it to the workspace's subtree");
  }
  return PolicyResolver(aTree.defaults)
    .Resolve(aWorkspace, workspace->second.policy, aTeam, team->second.policy);
}

} // namespace damasklink
