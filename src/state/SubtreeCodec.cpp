// Packs subtrees into bytes. The numbers stand in stored files: fields are only ever added at the
// end of the list below, and never change their meaning.
#include "damasklink/state/Digests.h"
#include "damasklink/state/Subtree.h"

namespace damasklink {
namespace {

constexpr std::uint64_t kDeleted = 0;

// Bits that tell which fields of a policy are set.
constexpr std::uint64_t kModels = 1U << 0U;
constexpr std::uint64_t kServices = 1U << 1U;
constexpr std::uint64_t kPriority = 1U << 2U;
constexpr std::uint64_t kObjective = 1U << 3U;
constexpr std::uint64_t kServiceLevel = 1U << 4U;
constexpr std::uint64_t kWhenStale = 1U << 5U;
constexpr std::uint64_t kConcurrentRequests = 1U << 6U;
constexpr std::uint64_t kPromptTokens = 1U << 7U;
constexpr std::uint64_t kRequestsPerSecond = 1U << 8U;
constexpr std::uint64_t kShare = 1U << 9U;
constexpr std::uint64_t kAfterLastField = 1U << 10U;

template<typename T>
std::uint64_t
FieldBit(const std::optional<T>& aField, std::uint64_t aBit)
{
  return aField ? aBit : 0;
}

std::uint64_t
FieldsOf(const SubtreePolicy& aPolicy)
{
  return FieldBit(aPolicy.models, kModels) | FieldBit(aPolicy.services, kServices) |
         FieldBit(aPolicy.priority, kPriority) | FieldBit(aPolicy.objective, kObjective) |
         FieldBit(aPolicy.serviceLevel, kServiceLevel) | FieldBit(aPolicy.whenStale, kWhenStale) |
         FieldBit(aPolicy.limits.concurrentRequests, kConcurrentRequests) |
         FieldBit(aPolicy.limits.promptTokens, kPromptTokens) |
         FieldBit(aPolicy.limits.requestsPerSecond, kRequestsPerSecond) |
         FieldBit(aPolicy.share, kShare);
}

template<typename IdType>
void
PackIds(const std::vector<IdType>& aIds, CompactWriter& aTo)
{
  aTo.Number(aIds.size());
  for (const IdType& id : aIds) {
    aTo.Id(id);
  }
}

template<typename IdType>
std::vector<IdType>
UnpackIds(CompactReader& aFrom)
{
  std::vector<IdType> ids(aFrom.Count());
  for (IdType& id : ids) {
    id = aFrom.Id<IdType>();
  }
  return ids;
}

void
PackModels(const std::vector<ModelGrant>& aModels, CompactWriter& aTo)
{
  aTo.Number(aModels.size());
  for (const ModelGrant& grant : aModels) {
    aTo.Id(grant.model);
    PackIds(grant.versions, aTo);
  }
}

std::vector<ModelGrant>
UnpackModels(CompactReader& aFrom)
{
  std::vector<ModelGrant> models(aFrom.Count());
  for (ModelGrant& grant : models) {
    grant.model = aFrom.Id<ModelName>();
    grant.versions = UnpackIds<WeightVersion>(aFrom);
  }
  return models;
}

void
PackDuration(Duration aDuration, CompactWriter& aTo)
{
  aTo.Number(static_cast<std::uint64_t>(aDuration.count()));
}

Duration
UnpackDuration(CompactReader& aFrom)
{
  return Duration(static_cast<Duration::rep>(aFrom.Number()));
}

void
PackServices(const std::vector<ServiceRoute>& aServices, CompactWriter& aTo)
{
  aTo.Number(aServices.size());
  for (const ServiceRoute& service : aServices) {
    aTo.Id(service.name).Flag(service.idempotent);
    PackDuration(service.timeout, aTo);
  }
}

std::vector<ServiceRoute>
UnpackServices(CompactReader& aFrom)
{
  std::vector<ServiceRoute> services(aFrom.Count());
  for (ServiceRoute& service : services) {
    service.name = aFrom.Id<ServiceName>();
    service.idempotent = aFrom.Flag();
    service.timeout = UnpackDuration(aFrom);
  }
  return services;
}

void
PackCount(const std::optional<std::uint64_t>& aCount, CompactWriter& aTo)
{
  if (aCount) {
    aTo.Number(*aCount);
  }
}

void
PackPolicy(const SubtreePolicy& aPolicy, CompactWriter& aTo)
{
  aTo.Number(FieldsOf(aPolicy));
  if (aPolicy.models) {
    PackModels(*aPolicy.models, aTo);
  }
  if (aPolicy.services) {
    PackServices(*aPolicy.services, aTo);
  }
  PackCount(aPolicy.priority, aTo);
  if (aPolicy.objective) {
    aTo.Real(aPolicy.objective->time)
      .Real(aPolicy.objective->recompute)
      .Real(aPolicy.objective->link);
  }
  if (aPolicy.serviceLevel) {
    PackDuration(aPolicy.serviceLevel->firstToken, aTo);
    aTo.Real(aPolicy.serviceLevel->share);
  }
  if (aPolicy.whenStale) {
    aTo.Flag(*aPolicy.whenStale == WhenStale::Refuse);
  }
  PackCount(aPolicy.limits.concurrentRequests, aTo);
  PackCount(aPolicy.limits.promptTokens, aTo);
  PackCount(aPolicy.limits.requestsPerSecond, aTo);
  PackCount(aPolicy.share, aTo);
}

std::optional<std::uint64_t>
UnpackCount(std::uint64_t aFields, std::uint64_t aBit, CompactReader& aFrom)
{
  return (aFields & aBit) != 0 ? std::optional(aFrom.Number()) : std::nullopt;
}

SubtreePolicy
UnpackPolicy(CompactReader& aFrom)
{
  SubtreePolicy policy;
  const std::uint64_t fields = aFrom.Number();
  if (fields >= kAfterLastField) {
    aFrom.MarkBad();
    return policy;
  }
  if ((fields & kModels) != 0) {
    policy.models = UnpackModels(aFrom);
  }
  if ((fields & kServices) != 0) {
    policy.services = UnpackServices(aFrom);
  }
  policy.priority = UnpackCount(fields, kPriority, aFrom);
  if ((fields & kObjective) != 0) {
    ObjectiveWeights& weights = policy.objective.emplace();
    weights.time = aFrom.Real();
    weights.recompute = aFrom.Real();
    weights.link = aFrom.Real();
  }
  if ((fields & kServiceLevel) != 0) {
    ServiceLevel& level = policy.serviceLevel.emplace();
    level.firstToken = UnpackDuration(aFrom);
    level.share = aFrom.Real();
  }
  if ((fields & kWhenStale) != 0) {
    policy.whenStale = aFrom.Flag() ? WhenStale::Refuse : WhenStale::Serve;
  }
  policy.limits.concurrentRequests = UnpackCount(fields, kConcurrentRequests, aFrom);
  policy.limits.promptTokens = UnpackCount(fields, kPromptTokens, aFrom);
  policy.limits.requestsPerSecond = UnpackCount(fields, kRequestsPerSecond, aFrom);
  policy.share = UnpackCount(fields, kShare, aFrom);
  return policy;
}

void
PackWorkspace(const WorkspaceNode& aWorkspace, CompactWriter& aTo)
{
  PackPolicy(aWorkspace.policy, aTo);
  aTo.Number(aWorkspace.teams.size());
  for (const auto& [id, team] : aWorkspace.teams) {
    aTo.Id(id);
    PackPolicy(team.policy, aTo);
    aTo.Number(team.keys.size());
    for (const Digest& key : team.keys) {
      const DigestBytes packed = PackDigest(key);
      aTo.Raw(std::string_view(reinterpret_cast<const char*>(packed.data()), packed.size()));
    }
  }
}

Digest
UnpackKey(CompactReader& aFrom)
{
  DigestBytes packed{};
  const std::string_view raw = aFrom.Raw(packed.size());
  std::copy(raw.begin(), raw.end(), packed.begin());
  return UnpackDigest(packed);
}

WorkspaceNode
UnpackWorkspace(CompactReader& aFrom)
{
  WorkspaceNode workspace;
  workspace.policy = UnpackPolicy(aFrom);
  const std::size_t teams = aFrom.Count();
  for (std::size_t index = 0; index < teams; ++index) {
    TeamNode& team = workspace.teams[aFrom.Id<TeamId>()];
    team.policy = UnpackPolicy(aFrom);
    team.keys.resize(aFrom.Count());
    for (Digest& key : team.keys) {
      key = UnpackKey(aFrom);
    }
  }
  return workspace;
}

void
PackDeployments(const DeploymentSet& aDeployments, CompactWriter& aTo)
{
  aTo.Number(aDeployments.size());
  for (const auto& [name, deployment] : aDeployments) {
    aTo.Id(name).Id(deployment.model).Id(deployment.version);
    PackIds(deployment.adapters, aTo);
    aTo.Number(static_cast<std::uint64_t>(deployment.role));
    PackIds(deployment.targets, aTo);
    aTo.Number(deployment.keepServing);
    PackDuration(deployment.loadInterval, aTo);
    PackDuration(deployment.loadLimit, aTo);
    aTo.Number(deployment.attempt);
  }
}

DeploymentSet
UnpackDeployments(CompactReader& aFrom)
{
  DeploymentSet set;
  const std::size_t count = aFrom.Count();
  for (std::size_t index = 0; index < count; ++index) {
    Deployment& deployment = set[aFrom.Id<DeploymentName>()];
    deployment.model = aFrom.Id<ModelName>();
    deployment.version = aFrom.Id<WeightVersion>();
    deployment.adapters = UnpackIds<AdapterName>(aFrom);
    const std::uint64_t role = aFrom.Number();
    if (role > static_cast<std::uint64_t>(DeploymentRole::Decode)) {
      aFrom.MarkBad();
      return set;
    }
    deployment.role = static_cast<DeploymentRole>(role);
    deployment.targets = UnpackIds<TargetId>(aFrom);
    deployment.keepServing = aFrom.Number();
    deployment.loadInterval = UnpackDuration(aFrom);
    deployment.loadLimit = UnpackDuration(aFrom);
    deployment.attempt = aFrom.Number();
  }
  return set;
}

} // namespace

void
PackContent(const SharedContent& aContent, CompactWriter& aTo)
{
  if (aContent == nullptr) {
    aTo.Number(kDeleted);
  } else if (const auto* policy = std::get_if<SubtreePolicy>(aContent.get())) {
    aTo.Number(static_cast<std::uint64_t>(SubtreeKind::Defaults));
    PackPolicy(*policy, aTo);
  } else if (const auto* set = std::get_if<DeploymentSet>(aContent.get())) {
    aTo.Number(static_cast<std::uint64_t>(SubtreeKind::Deployments));
    PackDeployments(*set, aTo);
  } else {
    aTo.Number(static_cast<std::uint64_t>(SubtreeKind::Workspace));
    PackWorkspace(std::get<WorkspaceNode>(*aContent), aTo);
  }
}

SharedContent
UnpackContent(CompactReader& aFrom)
{
  const std::uint64_t kind = aFrom.Number();
  SubtreeContent content;
  if (kind == static_cast<std::uint64_t>(SubtreeKind::Defaults)) {
    content = UnpackPolicy(aFrom);
  } else if (kind == static_cast<std::uint64_t>(SubtreeKind::Deployments)) {
    content = UnpackDeployments(aFrom);
  } else if (kind == static_cast<std::uint64_t>(SubtreeKind::Workspace)) {
    content = UnpackWorkspace(aFrom);
  } else {
    if (kind != kDeleted) {
      aFrom.MarkBad();
    }
    return nullptr;
  }
  return aFrom.Bad() ? nullptr : std::make_shared<const SubtreeContent>(std::move(content));
}

void
PackSubtreeName(const SubtreeName& aName, CompactWriter& aTo)
{
  aTo.Number(static_cast<std::uint64_t>(aName.kind)).Id(aName.workspace);
}

SubtreeName
UnpackSubtreeName(CompactReader& aFrom)
{
  const std::uint64_t kind = aFrom.Number();
  SubtreeName name;
  name.workspace = aFrom.Id<WorkspaceId>();
  const bool known = kind >= static_cast<std::uint64_t>(SubtreeKind::Defaults) &&
                     kind <= static_cast<std::uint64_t>(SubtreeKind::Workspace);
  if (!known) {
    aFrom.MarkBad();
    return name;
  }
  name.kind = static_cast<SubtreeKind>(kind);
  return name;
}

} // namespace damasklink
