// The configuration tree: what workspaces and their teams may use, and how they are served.
//
// Operators write it as YAML under version control, one file for each workspace subtree. A team
// inherits from its workspace, a workspace from the defaults; a child narrows, never widens
// (ConfigNarrowing.h). docs/CONFIGURATION.md lists every key.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "damasklink/state/Clock.h"
#include "damasklink/state/Error.h"
#include "damasklink/state/Fault.h"
#include "damasklink/state/Ids.h"

namespace damasklink {

// A model that may be used; no versions listed means every version that is served.
struct ModelGrant
{
  ModelName model;
  std::vector<WeightVersion> versions;

  bool operator==(const ModelGrant&) const = default;
};

// Bounds on one subtree; an empty one inherits.
struct SubtreeLimits
{
  std::optional<std::uint64_t> concurrentRequests;
  std::optional<std::uint64_t> promptTokens;
  std::optional<std::uint64_t> requestsPerSecond;

  bool operator==(const SubtreeLimits&) const = default;
};

// What routing weighs for this subtree. Each weight is at least zero.
struct ObjectiveWeights
{
  double time = 1.0;      // For a second of time to first token.
  double recompute = 0.0; // For a thousand prompt tokens computed again.
  double link = 0.0;      // For a mebibyte over a store's link.

  bool operator==(const ObjectiveWeights&) const = default;
};

// What a cut-off host does for a subtree whose revision may be old.
enum class WhenStale
{
  Serve,
  Refuse,
};

// Service-level objective that the burn report counts against.
struct ServiceLevel
{
  Duration firstToken = std::chrono::milliseconds(1800);
  double share = 0.95;

  bool operator==(const ServiceLevel&) const = default;
};

// A plain service beside the engines.
struct ServiceRoute
{
  ServiceName name;
  // False where a repeated call would do its work twice.
  bool idempotent = false;
  Duration timeout = std::chrono::seconds(30);

  bool operator==(const ServiceRoute&) const = default;
};

// What any level of the tree may set; an empty field inherits.
struct SubtreePolicy
{
  std::optional<std::vector<ModelGrant>> models;
  std::optional<std::vector<ServiceRoute>> services;
  std::optional<std::uint64_t> priority; // 0 is served first.
  std::optional<ObjectiveWeights> objective;
  std::optional<ServiceLevel> serviceLevel;
  std::optional<WhenStale> whenStale;
  SubtreeLimits limits;
  // Share of a zone's capacity relative to other workspaces; read on workspaces.
  std::optional<std::uint64_t> share;

  bool operator==(const SubtreePolicy&) const = default;
};

struct TeamNode
{
  SubtreePolicy policy;
  std::vector<Digest> keys;

  bool operator==(const TeamNode&) const = default;
};

struct WorkspaceNode
{
  SubtreePolicy policy;
  std::map<TeamId, TeamNode> teams;

  bool operator==(const WorkspaceNode&) const = default;
};

// The phase that a deployment's engines take; Keep leaves it as it is.
enum class DeploymentRole
{
  Keep,
  Both,
  Prefill,
  Decode,
};

// What engines are to serve: the wished end that orders bring about.
struct Deployment
{
  ModelName model;
  WeightVersion version;
  std::vector<AdapterName> adapters;
  DeploymentRole role = DeploymentRole::Keep;
  // The engines meant.
  std::vector<TargetId> targets;
  // How many of them must go on serving the model while others load. At most one target less
  // than there are, or nothing could ever be loaded.
  std::uint64_t keepServing = 0;
  // Least time between two loads, whatever the deployment: what the weight store bears.
  Duration loadInterval = std::chrono::seconds(5);
  // An engine that does not report the wished end this long after its order has failed.
  Duration loadLimit = std::chrono::minutes(5);
  // Raised to try again after a rollout stopped.
  std::uint64_t attempt = 0;

  bool operator==(const Deployment&) const = default;
};

using DeploymentName = StringId<struct DeploymentNameTag>;
using DeploymentSet = std::map<DeploymentName, Deployment>;

struct ConfigTree
{
  SubtreePolicy defaults;
  std::map<WorkspaceId, WorkspaceNode> workspaces;
  DeploymentSet deployments;

  bool operator==(const ConfigTree&) const = default;
};

// A list that the policies of many teams share; never changed once made.
//
// Shared because 26,000 workspaces mostly inherit the same few lists.
template<typename T>
class SharedList
{
public:
  SharedList() = default;
  // Implicit, so that a policy can be filled from a plain list.
  SharedList(std::vector<T> aItems)
    : items(std::make_shared<const std::vector<T>>(std::move(aItems)))
  {
  }

  const std::vector<T>& Items() const
  {
    static const std::vector<T> kNone;
    return this->items ? *this->items : kNone;
  }
  operator const std::vector<T>&() const { return this->Items(); }

  // NOLINTBEGIN(readability-identifier-naming) Names that range-based loops and gtest ask for.
  auto begin() const { return this->Items().begin(); }
  auto end() const { return this->Items().end(); }
  bool empty() const { return this->Items().empty(); }
  std::size_t size() const { return this->Items().size(); }
  // NOLINTEND(readability-identifier-naming)

  bool operator==(const SharedList& aOther) const { return this->Items() == aOther.Items(); }

private:
  std::shared_ptr<const std::vector<T>> items;
};

// The policy of one team with everything inherited filled in.
struct ResolvedPolicy
{
  WorkspaceId workspace;
  TeamId team;
  SharedList<ModelGrant> models;
  SharedList<ServiceRoute> services;
  std::uint64_t priority = 1;
  ObjectiveWeights objective;
  ServiceLevel serviceLevel;
  WhenStale whenStale = WhenStale::Serve;
  SubtreeLimits limits;
  std::uint64_t share = 1;

  bool operator==(const ResolvedPolicy&) const = default;
};

// One file of a tree.
struct ConfigSource
{
  std::string file;
  std::string text;
};

// Parses a tree that is spread over files, each with any of `defaults:`, `workspaces:` and
// `deployments:`. A workspace in two files, a key in two teams and a child that widens its parent
// are faults. Where no file holds the defaults, children are held against aDefaults.
Parsed<ConfigTree>
ParseConfigSources(const std::vector<ConfigSource>& aSources, const SubtreePolicy& aDefaults);

// Returns the version that the file's subtree was made from (`made_from:`), as damasklink get
// writes it; nothing when the file does not say.
std::optional<Revision>
ParseMadeFrom(const ConfigSource& aSource);

// Parses a whole tree in one file. All faults are returned.
Parsed<ConfigTree>
ParseConfigTree(const std::string& aText, const std::string& aFile);

// Returns whether the grants allow the model, in the version when one is named.
bool
AllowsModel(const std::vector<ModelGrant>& aGrants,
            const ModelName& aModel,
            const WeightVersion& aVersion);

} // namespace damasklink
