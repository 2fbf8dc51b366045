// The configuration tree: what workspaces and their teams may use, and how they are served.
//
// Operators write it as YAML under version control, one file for each workspace subtree. A team
// inherits from its workspace, a workspace from the defaults; a child narrows, never widens.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
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

struct ConfigTree
{
  SubtreePolicy defaults;
  std::map<WorkspaceId, WorkspaceNode> workspaces;

  bool operator==(const ConfigTree&) const = default;
};

// The policy of one team with everything inherited filled in.
struct ResolvedPolicy
{
  WorkspaceId workspace;
  TeamId team;
  std::vector<ModelGrant> models;
  std::vector<ServiceRoute> services;
  std::uint64_t priority = 1;
  ObjectiveWeights objective;
  ServiceLevel serviceLevel;
  WhenStale whenStale = WhenStale::Serve;
  SubtreeLimits limits;
  std::uint64_t share = 1;
};

// Parses a whole tree: `defaults:` and `workspaces:` with their `teams:`. All faults are returned.
Parsed<ConfigTree>
ParseConfigTree(const std::string& aText, const std::string& aFile);

// Returns the filled-in policy of a team, or NotFound.
Result<ResolvedPolicy>
ResolvePolicy(const ConfigTree& aTree, const WorkspaceId& aWorkspace, const TeamId& aTeam);

// Returns whether the grants allow the model, in the version when one is named.
bool
AllowsModel(const std::vector<ModelGrant>& aGrants,
            const ModelName& aModel,
            const WeightVersion& aVersion);

// Finds the team that a caller's key belongs to.
//
//   CallerDirectory directory(tree);
//   const ResolvedPolicy* policy = directory.Find(DigestOf(key));
//
// Immutable once built, so that traffic threads share one.
class CallerDirectory
{
public:
  CallerDirectory() = default;
  explicit CallerDirectory(const ConfigTree& aTree);

  // Returns the policy, or nullptr when nobody holds the key.
  const ResolvedPolicy* Find(const Digest& aKey) const;

  // Returns the objective of every workspace, as its own level sets or inherits it.
  const std::map<WorkspaceId, ServiceLevel>& ServiceLevels() const { return this->serviceLevels; }

private:
  std::map<Digest, ResolvedPolicy> byKey;
  std::map<WorkspaceId, ServiceLevel> serviceLevels;
};

} // namespace damasklink
