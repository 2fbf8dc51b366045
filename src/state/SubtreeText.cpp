// The canonical text of a subtree: keys in a fixed order, one value a line, nothing that is unset.
#include <yaml-cpp/yaml.h>

#include "damasklink/state/Subtree.h"
#include "damasklink/state/Units.h"

namespace damasklink {
namespace {

using YAML::BeginMap;
using YAML::BeginSeq;
using YAML::EndMap;
using YAML::EndSeq;

template<typename T>
void
WriteKey(YAML::Emitter& aTo, const char* aKey, const T& aValue)
{
  aTo << YAML::Key << aKey << YAML::Value << aValue;
}

template<typename IdType>
void
WriteIds(YAML::Emitter& aTo, const char* aKey, const std::vector<IdType>& aIds)
{
  if (aIds.empty()) {
    return;
  }
  aTo << YAML::Key << aKey << YAML::Value << BeginSeq;
  for (const IdType& id : aIds) {
    aTo << id.Value();
  }
  aTo << EndSeq;
}

void
WriteCount(YAML::Emitter& aTo, const char* aKey, const std::optional<std::uint64_t>& aCount)
{
  if (aCount) {
    WriteKey(aTo, aKey, *aCount);
  }
}

void
WriteModels(YAML::Emitter& aTo, const std::vector<ModelGrant>& aModels)
{
  aTo << YAML::Key << "models" << YAML::Value << BeginSeq;
  for (const ModelGrant& grant : aModels) {
    aTo << BeginMap;
    WriteKey(aTo, "model", grant.model.Value());
    WriteIds(aTo, "versions", grant.versions);
    aTo << EndMap;
  }
  aTo << EndSeq;
}

void
WriteServices(YAML::Emitter& aTo, const std::vector<ServiceRoute>& aServices)
{
  aTo << YAML::Key << "services" << YAML::Value << BeginSeq;
  for (const ServiceRoute& service : aServices) {
    aTo << BeginMap;
    WriteKey(aTo, "name", service.name.Value());
    WriteKey(aTo, "idempotent", service.idempotent);
    WriteKey(aTo, "timeout", FormatDuration(service.timeout));
    aTo << EndMap;
  }
  aTo << EndSeq;
}

void
WriteLimits(YAML::Emitter& aTo, const SubtreeLimits& aLimits)
{
  if (aLimits == SubtreeLimits()) {
    return;
  }
  aTo << YAML::Key << "limits" << YAML::Value << BeginMap;
  WriteCount(aTo, "concurrent_requests", aLimits.concurrentRequests);
  WriteCount(aTo, "prompt_tokens", aLimits.promptTokens);
  WriteCount(aTo, "requests_per_second", aLimits.requestsPerSecond);
  aTo << EndMap;
}

void
WriteChoices(YAML::Emitter& aTo, const SubtreePolicy& aPolicy)
{
  if (aPolicy.objective) {
    aTo << YAML::Key << "objective" << YAML::Value << BeginMap;
    WriteKey(aTo, "time", aPolicy.objective->time);
    WriteKey(aTo, "recompute", aPolicy.objective->recompute);
    WriteKey(aTo, "link", aPolicy.objective->link);
    aTo << EndMap;
  }
  if (aPolicy.serviceLevel) {
    aTo << YAML::Key << "service_level" << YAML::Value << BeginMap;
    WriteKey(aTo, "first_token", FormatDuration(aPolicy.serviceLevel->firstToken));
    WriteKey(aTo, "share", aPolicy.serviceLevel->share);
    aTo << EndMap;
  }
  if (aPolicy.whenStale) {
    WriteKey(aTo, "when_stale", *aPolicy.whenStale == WhenStale::Serve ? "serve" : "refuse");
  }
}

// Writes the keys of a policy into the mapping that is open.
void
WritePolicy(YAML::Emitter& aTo, const SubtreePolicy& aPolicy)
{
  if (aPolicy.models) {
    WriteModels(aTo, *aPolicy.models);
  }
  if (aPolicy.services) {
    WriteServices(aTo, *aPolicy.services);
  }
  WriteCount(aTo, "priority", aPolicy.priority);
  WriteCount(aTo, "share", aPolicy.share);
  WriteLimits(aTo, aPolicy.limits);
  WriteChoices(aTo, aPolicy);
}

void
WriteWorkspace(YAML::Emitter& aTo, const WorkspaceNode& aWorkspace)
{
  aTo << BeginMap;
  WritePolicy(aTo, aWorkspace.policy);
  if (!aWorkspace.teams.empty()) {
    aTo << YAML::Key << "teams" << YAML::Value << BeginMap;
    for (const auto& [id, team] : aWorkspace.teams) {
      aTo << YAML::Key << id.Value() << YAML::Value << BeginMap;
      WritePolicy(aTo, team.policy);
      WriteIds(aTo, "keys", team.keys);
      aTo << EndMap;
    }
    aTo << EndMap;
  }
  aTo << EndMap;
}

const char*
RoleText(DeploymentRole aRole)
{
  switch (aRole) {
    case DeploymentRole::Keep:
      return "keep";
    case DeploymentRole::Both:
      return "both";
    case DeploymentRole::Prefill:
      return "prefill";
    case DeploymentRole::Decode:
      return "decode";
  }
  return "keep";
}

void
WriteDeployments(YAML::Emitter& aTo, const DeploymentSet& aDeployments)
{
  aTo << BeginMap;
  for (const auto& [name, deployment] : aDeployments) {
    aTo << YAML::Key << name.Value() << YAML::Value << BeginMap;
    WriteKey(aTo, "model", deployment.model.Value());
    WriteKey(aTo, "version", deployment.version.Value());
    WriteIds(aTo, "adapters", deployment.adapters);
    WriteKey(aTo, "role", RoleText(deployment.role));
    WriteIds(aTo, "targets", deployment.targets);
    WriteKey(aTo, "keep_serving", deployment.keepServing);
    WriteKey(aTo, "load_interval", FormatDuration(deployment.loadInterval));
    WriteKey(aTo, "load_limit", FormatDuration(deployment.loadLimit));
    WriteKey(aTo, "attempt", deployment.attempt);
    aTo << EndMap;
  }
  aTo << EndMap;
}

void
WriteContent(YAML::Emitter& aTo, const Subtree& aSubtree)
{
  if (const auto* policy = std::get_if<SubtreePolicy>(aSubtree.content.get())) {
    aTo << YAML::Key << "defaults" << YAML::Value << BeginMap;
    WritePolicy(aTo, *policy);
    aTo << EndMap;
  } else if (const auto* set = std::get_if<DeploymentSet>(aSubtree.content.get())) {
    aTo << YAML::Key << "deployments" << YAML::Value;
    WriteDeployments(aTo, *set);
  } else {
    aTo << YAML::Key << "workspaces" << YAML::Value << BeginMap;
    aTo << YAML::Key << aSubtree.name.workspace.Value() << YAML::Value;
    WriteWorkspace(aTo, std::get<WorkspaceNode>(*aSubtree.content));
    aTo << EndMap;
  }
}

} // namespace

std::string
FormatSubtree(const Subtree& aSubtree)
{
  if (aSubtree.content == nullptr) {
    return "";
  }
  YAML::Emitter emitter;
  emitter << BeginMap;
  WriteContent(emitter, aSubtree);
  emitter << EndMap;
  return std::string(emitter.c_str()) + "\n";
}

} // namespace damasklink
