#include "damasklink/state/ConfigTree.h"

#include <algorithm>

#include "YamlReader.h"
#include "damasklink/state/Text.h"

namespace damasklink {
namespace {

using internal::FaultList;
using internal::YamlSection;

constexpr std::uint64_t kMostPriority = 9;
constexpr std::uint64_t kMostShare = 1'000;
constexpr std::uint64_t kMostCount = 1'000'000'000;
constexpr double kMostWeight = 1e6;

void
ReadGrant(YamlSection& aSection, ModelGrant& aTo)
{
  aSection.Require("model", "name the model");
  aSection.ReadId("model", aTo.model);
  aSection.ReadIds("versions", aTo.versions);
}

void
ReadService(YamlSection& aSection, ServiceRoute& aTo)
{
  aSection.Require("name", "name the service");
  aSection.ReadId("name", aTo.name);
  aSection.ReadFlag("idempotent", aTo.idempotent);
  aSection.ReadDuration("timeout", aTo.timeout);
}

void
ReadOptionalCount(YamlSection& aSection,
                  std::string_view aKey,
                  std::optional<std::uint64_t>& aTo,
                  std::uint64_t aLeast,
                  std::uint64_t aMost)
{
  if (!aSection.Has(aKey)) {
    // The look-up still marks the key as known.
    std::uint64_t ignored = 0;
    aSection.ReadCount(aKey, ignored, aLeast, aMost);
    return;
  }
  std::uint64_t number = aLeast;
  aSection.ReadCount(aKey, number, aLeast, aMost);
  aTo = number;
}

void
ReadWhenStale(YamlSection& aSection, std::optional<WhenStale>& aTo)
{
  std::string text;
  aSection.ReadText("when_stale", text);
  if (text == "serve") {
    aTo = WhenStale::Serve;
  } else if (text == "refuse") {
    aTo = WhenStale::Refuse;
  } else if (!text.empty()) {
    aSection.AddFault("when_stale", "is unknown", "write serve or refuse");
  }
}

void
ReadObjective(YamlSection& aSection, ObjectiveWeights& aTo)
{
  aSection.ReadNumber("time", aTo.time, 0, kMostWeight);
  aSection.ReadNumber("recompute", aTo.recompute, 0, kMostWeight);
  aSection.ReadNumber("link", aTo.link, 0, kMostWeight);
}

void
ReadServiceLevel(YamlSection& aSection, ServiceLevel& aTo)
{
  aSection.ReadDuration("first_token", aTo.firstToken);
  aSection.ReadNumber("share", aTo.share, 0.0, 0.99999);
}

void
ReadSubtreeLimits(YamlSection& aSection, SubtreeLimits& aTo)
{
  ReadOptionalCount(aSection, "concurrent_requests", aTo.concurrentRequests, 1, kMostCount);
  ReadOptionalCount(aSection, "prompt_tokens", aTo.promptTokens, 1, kMostCount);
  ReadOptionalCount(aSection, "requests_per_second", aTo.requestsPerSecond, 1, kMostCount);
}

// Reads what any level of the tree may hold.
void
ReadPolicy(YamlSection& aSection, SubtreePolicy& aTo)
{
  aSection.ReadSections("models", [&](YamlSection& aGrant) {
    if (!aTo.models) {
      aTo.models.emplace();
    }
    ReadGrant(aGrant, aTo.models->emplace_back());
  });
  aSection.ReadSections("services", [&](YamlSection& aService) {
    if (!aTo.services) {
      aTo.services.emplace();
    }
    ReadService(aService, aTo.services->emplace_back());
  });
  ReadOptionalCount(aSection, "priority", aTo.priority, 0, kMostPriority);
  ReadOptionalCount(aSection, "share", aTo.share, 1, kMostShare);
  ReadWhenStale(aSection, aTo.whenStale);
  aSection.ReadSection(
    "objective", [&](YamlSection& aWeights) { ReadObjective(aWeights, aTo.objective.emplace()); });
  aSection.ReadSection("service_level", [&](YamlSection& aLevel) {
    ReadServiceLevel(aLevel, aTo.serviceLevel.emplace());
  });
  aSection.ReadSection("limits",
                       [&](YamlSection& aLimits) { ReadSubtreeLimits(aLimits, aTo.limits); });
}

void
ReadWorkspace(YamlSection& aSection, WorkspaceNode& aTo)
{
  ReadPolicy(aSection, aTo.policy);
  aSection.ReadNamedSections("teams", [&](const std::string& aName, YamlSection& aTeam) {
    TeamNode& team = aTo.teams[TeamId(aName)];
    ReadPolicy(aTeam, team.policy);
    aTeam.ReadIds("keys", team.keys);
  });
}

template<typename T>
void
InheritInto(T& aValue, const std::optional<T>& aOwn)
{
  if (aOwn) {
    aValue = *aOwn;
  }
}

template<typename T>
void
NarrowInto(std::optional<T>& aValue, const std::optional<T>& aOwn)
{
  if (!aOwn) {
    return;
  }
  aValue = aValue ? std::min(*aValue, *aOwn) : *aOwn;
}

void
Overlay(ResolvedPolicy& aResolved, const SubtreePolicy& aOwn)
{
  InheritInto(aResolved.models, aOwn.models);
  InheritInto(aResolved.services, aOwn.services);
  InheritInto(aResolved.priority, aOwn.priority);
  InheritInto(aResolved.objective, aOwn.objective);
  InheritInto(aResolved.serviceLevel, aOwn.serviceLevel);
  InheritInto(aResolved.whenStale, aOwn.whenStale);
  InheritInto(aResolved.share, aOwn.share);
  NarrowInto(aResolved.limits.concurrentRequests, aOwn.limits.concurrentRequests);
  NarrowInto(aResolved.limits.promptTokens, aOwn.limits.promptTokens);
  NarrowInto(aResolved.limits.requestsPerSecond, aOwn.limits.requestsPerSecond);
}

} // namespace

Parsed<ConfigTree>
ParseConfigTree(const std::string& aText, const std::string& aFile)
{
  Parsed<ConfigTree> parsed;
  FaultList faults(aFile);
  const YAML::Node root = internal::LoadYaml(aText, faults);
  parsed.faults = faults.Take();
  if (!parsed.Ok()) {
    return parsed;
  }
  FaultList content(aFile);
  YamlSection section(root, "", content);
  section.ReadSection(
    "defaults", [&](YamlSection& aDefaults) { ReadPolicy(aDefaults, parsed.value.defaults); });
  section.ReadNamedSections("workspaces", [&](const std::string& aName, YamlSection& aNode) {
    ReadWorkspace(aNode, parsed.value.workspaces[WorkspaceId(aName)]);
  });
  section.Finish();
  parsed.faults = content.Take();
  return parsed;
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
  ResolvedPolicy resolved;
  resolved.workspace = aWorkspace;
  resolved.team = aTeam;
  Overlay(resolved, aTree.defaults);
  Overlay(resolved, workspace->second.policy);
  Overlay(resolved, team->second.policy);
  return resolved;
}

bool
AllowsModel(const std::vector<ModelGrant>& aGrants,
            const ModelName& aModel,
            const WeightVersion& aVersion)
{
  const auto allows = [&](const ModelGrant& aGrant) {
    if (aGrant.model != aModel) {
      return false;
    }
    if (aGrant.versions.empty() || aVersion.Empty()) {
      return true;
    }
    return std::find(aGrant.versions.begin(), aGrant.versions.end(), aVersion) !=
           aGrant.versions.end();
  };
  return std::any_of(aGrants.begin(), aGrants.end(), allows);
}

CallerDirectory::CallerDirectory(const ConfigTree& aTree)
{
  for (const auto& [workspaceId, workspace] : aTree.workspaces) {
    const ServiceLevel inherited = aTree.defaults.serviceLevel.value_or(ServiceLevel{});
    this->serviceLevels.emplace(workspaceId, workspace.policy.serviceLevel.value_or(inherited));
    for (const auto& [teamId, team] : workspace.teams) {
      for (const Digest& key : team.keys) {
        this->byKey.emplace(key, ResolvePolicy(aTree, workspaceId, teamId).value());
      }
    }
  }
}

const ResolvedPolicy*
CallerDirectory::Find(const Digest& aKey) const
{
  const auto found = this->byKey.find(aKey);
  return found == this->byKey.end() ? nullptr : &found->second;
}

} // namespace damasklink
