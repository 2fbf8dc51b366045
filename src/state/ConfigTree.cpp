#include "damasklink/state/ConfigTree.h"

#include <algorithm>
#include <array>
#include <deque>
#include <set>

#include "YamlReader.h"
#include "damasklink/state/ConfigNarrowing.h"
#include "damasklink/state/Digests.h"
#include "damasklink/state/Text.h"

namespace damasklink {
namespace {

using internal::FaultList;
using internal::YamlSection;

constexpr std::uint64_t kMostPriority = 9;
constexpr std::uint64_t kMostShare = 1'000;
constexpr std::uint64_t kMostCount = 1'000'000'000;
constexpr double kMostWeight = 1e6;
constexpr double kMostServiceShare = 0.99999;
constexpr std::uint64_t kMostTargets = 100'000;

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
  aSection.ReadNumber("share", aTo.share, 0.0, kMostServiceShare);
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
  // An empty list is not an unset one: it allows nothing.
  if (aSection.Has("models")) {
    aTo.models.emplace();
  }
  if (aSection.Has("services")) {
    aTo.services.emplace();
  }
  aSection.ReadSections(
    "models", [&](YamlSection& aGrant) { ReadGrant(aGrant, aTo.models->emplace_back()); });
  aSection.ReadSections("services", [&](YamlSection& aService) {
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

// Reads the documents of one tree and holds them against each other.
class TreeReader
{
public:
  explicit TreeReader(const SubtreePolicy& aDefaults)
    : bounds(aDefaults)
  {
  }

  void ReadDefaults(YamlSection& aSection)
  {
    if (!aSection.Has("defaults")) {
      aSection.ReadSection("defaults", [](YamlSection&) {});
      return;
    }
    if (this->defaultsRead) {
      aSection.AddFault("defaults", "stand in another file too", "keep them in one file");
    }
    this->defaultsRead = true;
    this->tree.defaults = SubtreePolicy();
    aSection.ReadSection("defaults", [&](YamlSection& aNode) {
      ReadPolicy(aNode, this->tree.defaults);
      AddWidenings(FindWidening(SubtreePolicy(), this->tree.defaults), aNode);
    });
    this->bounds = this->tree.defaults;
  }

  void ReadRest(YamlSection& aSection)
  {
    aSection.ReadNamedSections("workspaces", [&](const std::string& aName, YamlSection& aNode) {
      this->ReadWorkspace(WorkspaceId(aName), aNode);
    });
    aSection.ReadNamedSections("deployments", [&](const std::string& aName, YamlSection& aNode) {
      this->ReadDeployment(DeploymentName(aName), aNode);
    });
    std::uint64_t madeFrom = 0;
    aSection.ReadCount("made_from", madeFrom, 0, kMostCount);
    aSection.Finish();
  }

  ConfigTree Take() { return std::move(this->tree); }

private:
  void ReadWorkspace(const WorkspaceId& aId, YamlSection& aSection)
  {
    const auto [position, isNew] = this->tree.workspaces.try_emplace(aId);
    WorkspaceNode repeated;
    WorkspaceNode& workspace = isNew ? position->second : repeated;
    if (!isNew) {
      aSection.AddFaultAt({}, "stands twice", "keep each workspace in one place");
    }
    ReadPolicy(aSection, workspace.policy);
    aSection.ReadNamedSections("teams", [&](const std::string& aName, YamlSection& aTeam) {
      TeamNode& team = workspace.teams[TeamId(aName)];
      ReadPolicy(aTeam, team.policy);
      aTeam.ReadIds("keys", team.keys);
      this->CheckKeys(Concat(aId.Value(), "/", aName), team.keys, aTeam);
    });
    AddWidenings(FindWidening(this->bounds, workspace), aSection);
  }

  static void AddWidenings(const std::vector<Widening>& aWidenings, YamlSection& aSection)
  {
    for (const Widening& widening : aWidenings) {
      aSection.AddFaultAt(widening.path, widening.problem, widening.remedy);
    }
  }

  void CheckKeys(const std::string& aTeam, const std::vector<Digest>& aKeys, YamlSection& aSection)
  {
    for (std::size_t index = 0; index < aKeys.size(); ++index) {
      const std::vector<std::string> path{ "keys", Concat(index) };
      if (!IsDigest(aKeys[index])) {
        aSection.AddFaultAt(path,
                            "is not a SHA-256 digest",
                            "write the 64 lower-case hex digits that sha256sum prints for the key");
        continue;
      }
      const auto [holder, isNew] = this->keyHolders.try_emplace(aKeys[index], aTeam);
      if (!isNew) {
        aSection.AddFaultAt(path,
                            Concat("is the key of team '", holder->second, "' too"),
                            "give each team keys of its own");
      }
    }
  }

  void ReadDeployment(const DeploymentName& aName, YamlSection& aSection)
  {
    const auto [position, isNew] = this->tree.deployments.try_emplace(aName);
    Deployment repeated;
    Deployment& deployment = isNew ? position->second : repeated;
    if (!isNew) {
      aSection.AddFaultAt({}, "stands twice", "keep each deployment in one place");
    }
    aSection.Require("model", "name the model");
    aSection.Require("version", "name the version of the weights");
    aSection.Require("targets", "list the engines that are to serve it");
    aSection.ReadId("model", deployment.model);
    aSection.ReadId("version", deployment.version);
    aSection.ReadIds("adapters", deployment.adapters);
    aSection.ReadIds("targets", deployment.targets);
    aSection.ReadCount("keep_serving", deployment.keepServing, 0, kMostTargets);
    aSection.ReadDuration("load_interval", deployment.loadInterval);
    aSection.ReadDuration("load_limit", deployment.loadLimit);
    aSection.ReadCount("attempt", deployment.attempt, 0, kMostCount);
    ReadRole(aSection, deployment.role);
    for (std::size_t index = 0; index < deployment.targets.size(); ++index) {
      const auto [holder, isFree] =
        this->targetHolders.try_emplace(deployment.targets[index], aName);
      if (!isFree) {
        aSection.AddFaultAt({ "targets", Concat(index) },
                            Concat("is in deployment '", holder->second.Value(), "' too"),
                            "list each engine once");
      }
    }
    if (!deployment.targets.empty() && deployment.keepServing >= deployment.targets.size()) {
      aSection.AddFault("keep_serving",
                        "leaves no engine that may load",
                        Concat("write at most ", deployment.targets.size() - 1));
    }
  }

  static void ReadRole(YamlSection& aSection, DeploymentRole& aTo)
  {
    std::string text;
    aSection.ReadText("role", text);
    const auto* found = std::find_if(
      kRoles.begin(), kRoles.end(), [&](const auto& aRole) { return aRole.first == text; });
    if (found != kRoles.end()) {
      aTo = found->second;
    } else if (!text.empty()) {
      aSection.AddFault("role", "is unknown", "write keep, both, prefill or decode");
    }
  }

  static constexpr std::array<std::pair<std::string_view, DeploymentRole>, 4> kRoles{
    { { "keep", DeploymentRole::Keep },
      { "both", DeploymentRole::Both },
      { "prefill", DeploymentRole::Prefill },
      { "decode", DeploymentRole::Decode } }
  };

  SubtreePolicy bounds;
  bool defaultsRead = false;
  ConfigTree tree;
  std::map<Digest, std::string> keyHolders;
  std::map<TargetId, DeploymentName> targetHolders;
};

// One file on its way into the tree.
struct Document
{
  explicit Document(const ConfigSource& aSource)
    : faults(aSource.file)
    , root(internal::LoadYaml(aSource.text, this->faults))
  {
  }

  FaultList faults;
  YAML::Node root;
};

} // namespace

Parsed<ConfigTree>
ParseConfigSources(const std::vector<ConfigSource>& aSources, const SubtreePolicy& aDefaults)
{
  Parsed<ConfigTree> parsed;
  // Sections point at their document, so neither may move.
  std::deque<Document> documents;
  std::deque<YamlSection> sections;
  TreeReader reader(aDefaults);
  for (const ConfigSource& source : aSources) {
    Document& document = documents.emplace_back(source);
    parsed.faults = document.faults.Take();
    if (!parsed.Ok()) {
      return parsed;
    }
    reader.ReadDefaults(sections.emplace_back(document.root, "", document.faults));
  }
  for (YamlSection& section : sections) {
    reader.ReadRest(section);
  }
  for (Document& document : documents) {
    for (Fault& fault : document.faults.Take()) {
      parsed.faults.push_back(std::move(fault));
    }
  }
  parsed.value = reader.Take();
  return parsed;
}

Parsed<ConfigTree>
ParseConfigTree(const std::string& aText, const std::string& aFile)
{
  return ParseConfigSources({ ConfigSource{ aFile, aText } }, SubtreePolicy());
}

std::optional<Revision>
ParseMadeFrom(const ConfigSource& aSource)
{
  Document document(aSource);
  YamlSection section(document.root, "", document.faults);
  if (!section.Has("made_from")) {
    return std::nullopt;
  }
  std::uint64_t version = 0;
  section.ReadCount("made_from", version, 0, kMostCount);
  return Revision(version);
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

} // namespace damasklink
