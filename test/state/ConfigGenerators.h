// Random trees for property tests.
#pragma once

#include <rapidcheck.h>

#include "damasklink/state/Digests.h"
#include "damasklink/state/Subtree.h"

namespace damasklink {

inline rc::Gen<std::optional<std::uint64_t>>
GenOptionalCount()
{
  return rc::gen::map(rc::gen::inRange<std::uint64_t>(0, 10), [](std::uint64_t aNumber) {
    return aNumber == 0 ? std::nullopt : std::optional(aNumber);
  });
}

inline ModelGrant
AnyGrant()
{
  ModelGrant grant{ ModelName(*rc::gen::element<std::string>("m1", "m2", "m3")), {} };
  for (const char* version : { "v1", "v2" }) {
    if (*rc::gen::arbitrary<bool>()) {
      grant.versions.emplace_back(version);
    }
  }
  return grant;
}

inline std::vector<ServiceRoute>
AnyRoutes()
{
  std::vector<ServiceRoute> routes;
  for (const char* name : { "s1", "s2" }) {
    if (*rc::gen::arbitrary<bool>()) {
      routes.push_back(ServiceRoute{ ServiceName(name),
                                     *rc::gen::arbitrary<bool>(),
                                     std::chrono::seconds(*rc::gen::inRange(1, 30)) });
    }
  }
  return routes;
}

inline SubtreePolicy
AnyPolicy()
{
  SubtreePolicy policy;
  if (*rc::gen::arbitrary<bool>()) {
    policy.models = *rc::gen::container<std::vector<ModelGrant>>(rc::gen::exec(AnyGrant));
  }
  if (*rc::gen::arbitrary<bool>()) {
    policy.services = AnyRoutes();
  }
  policy.limits.concurrentRequests = *GenOptionalCount();
  policy.limits.promptTokens = *GenOptionalCount();
  policy.limits.requestsPerSecond = *GenOptionalCount();
  policy.priority = *GenOptionalCount();
  policy.share = *GenOptionalCount();
  if (*rc::gen::arbitrary<bool>()) {
    policy.whenStale = *rc::gen::arbitrary<bool>() ? WhenStale::Refuse : WhenStale::Serve;
    policy.objective = ObjectiveWeights{ 0.5, 2.25, 1e-3 };
    policy.serviceLevel = ServiceLevel{ std::chrono::milliseconds(700), 0.9 };
  }
  return policy;
}

// A workspace whose keys are derived from its name, so that no two workspaces share one.
inline WorkspaceNode
AnyWorkspace(const std::string& aName)
{
  WorkspaceNode workspace;
  workspace.policy = AnyPolicy();
  const int teams = *rc::gen::inRange(0, 3);
  for (int index = 0; index < teams; ++index) {
    const std::string id = "team-" + std::to_string(index);
    TeamNode& team = workspace.teams[TeamId(id)];
    team.policy = AnyPolicy();
    team.keys.push_back(DigestOf(aName + "/" + id));
  }
  return workspace;
}

} // namespace damasklink
