// The rule of the tree: a child narrows what its parent allows and never widens it.
//
// It holds twice: writing a child that widens is refused (FindWidening), and a parent that narrows
// later takes its children along (ResolvePolicy), so no order of changes lets a child have more.
//
// - models, services: a child allows at most what its parent allows. An unset list inherits; where
//   no level above sets one, nothing bounds it; where no level at all sets one, nothing is allowed.
// - limits: the lowest on the way down holds. priority: the latest turn (highest number) holds.
// - idempotent: a service is repeatable only where every level says so; the shortest timeout holds.
// - when_stale: refuse holds once any level says it.
// - objective, service_level, share are choices, not permissions: the nearest level holds.
#pragma once

#include <string>
#include <vector>

#include "damasklink/state/ConfigTree.h"

namespace damasklink {

// Where a child widens its parent.
struct Widening
{
  // Keys down from the child's section; numbers count the items of a list from 0.
  std::vector<std::string> path;
  std::string problem;
  std::string remedy;

  bool operator==(const Widening&) const = default;
};

// Returns the bounds that hold below a parent that is itself bounded by aAbove.
SubtreePolicy
NarrowPolicy(const SubtreePolicy& aAbove, const SubtreePolicy& aOwn);

// Returns each place where aOwn allows more than aAbove does, or says two things at once. The
// defaults are held against an empty policy.
std::vector<Widening>
FindWidening(const SubtreePolicy& aAbove, const SubtreePolicy& aOwn);

// Returns each place where the workspace widens the defaults or a team widens its workspace.
std::vector<Widening>
FindWidening(const SubtreePolicy& aDefaults, const WorkspaceNode& aWorkspace);

// Resolves the teams of one tree; lists that are alike are shared between their policies.
//
//   PolicyResolver resolver(tree.defaults);
//   ResolvedPolicy policy = resolver.Resolve(workspaceId, workspace, teamId, team);
class PolicyResolver
{
public:
  explicit PolicyResolver(const SubtreePolicy& aDefaults);

  ResolvedPolicy Resolve(const WorkspaceId& aWorkspace,
                         const SubtreePolicy& aWorkspacePolicy,
                         const TeamId& aTeam,
                         const SubtreePolicy& aTeamPolicy) const;

private:
  SubtreePolicy defaults;
  SharedList<ModelGrant> models;
  SharedList<ServiceRoute> services;
};

// Returns the filled-in policy of a team, or NotFound.
Result<ResolvedPolicy>
ResolvePolicy(const ConfigTree& aTree, const WorkspaceId& aWorkspace, const TeamId& aTeam);

} // namespace damasklink
