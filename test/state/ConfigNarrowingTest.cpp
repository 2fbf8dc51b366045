#include "damasklink/state/ConfigNarrowing.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "ConfigGenerators.h"

namespace damasklink {
namespace {

// Whether every model and version that aChild allows is allowed by the parent's list, where it has
// one.
bool
ModelsWithin(const std::vector<ModelGrant>& aChild,
             const std::optional<std::vector<ModelGrant>>& aParent)
{
  for (const char* model : { "m1", "m2", "m3" }) {
    for (const char* version : { "v1", "v2", "v3" }) {
      const bool child = AllowsModel(aChild, ModelName(model), WeightVersion(version));
      if (child && aParent && !AllowsModel(*aParent, ModelName(model), WeightVersion(version))) {
        return false;
      }
    }
  }
  return true;
}

bool
LimitWithin(const std::optional<std::uint64_t>& aChild, const std::optional<std::uint64_t>& aParent)
{
  return !aParent || (aChild && *aChild <= *aParent);
}

bool
ServicesWithin(const std::vector<ServiceRoute>& aChild,
               const std::optional<std::vector<ServiceRoute>>& aParent)
{
  const auto allowed = [&](const ServiceRoute& aRoute) {
    return std::any_of(aParent->begin(), aParent->end(), [&](const ServiceRoute& aAbove) {
      return aAbove.name == aRoute.name && (aAbove.idempotent || !aRoute.idempotent);
    });
  };
  return !aParent || std::all_of(aChild.begin(), aChild.end(), allowed);
}

// Whatever the order of changes left behind, also a parent narrower than its children.
RC_GTEST_PROP(ConfigNarrowingTest, ResolvedPolicyIsWithinEveryLevel, ())
{
  ConfigTree tree;
  tree.defaults = AnyPolicy();
  WorkspaceNode& workspace = tree.workspaces[WorkspaceId("w")];
  workspace.policy = AnyPolicy();
  TeamNode& team = workspace.teams[TeamId("t")];
  team.policy = AnyPolicy();
  const ResolvedPolicy resolved = ResolvePolicy(tree, WorkspaceId("w"), TeamId("t")).value();
  for (const SubtreePolicy* level : { &tree.defaults, &workspace.policy, &team.policy }) {
    RC_ASSERT(ModelsWithin(resolved.models, level->models));
    RC_ASSERT(ServicesWithin(resolved.services, level->services));
    RC_ASSERT(LimitWithin(resolved.limits.promptTokens, level->limits.promptTokens));
    RC_ASSERT(LimitWithin(resolved.limits.concurrentRequests, level->limits.concurrentRequests));
    RC_ASSERT(LimitWithin(resolved.limits.requestsPerSecond, level->limits.requestsPerSecond));
    RC_ASSERT((!level->priority || resolved.priority >= *level->priority));
    RC_ASSERT((level->whenStale != WhenStale::Refuse || resolved.whenStale == WhenStale::Refuse));
  }
}

RC_GTEST_PROP(ConfigNarrowingTest, NarrowedChildWidensNothing, ())
{
  const SubtreePolicy above = AnyPolicy();
  const SubtreePolicy narrowed = NarrowPolicy(above, AnyPolicy());
  RC_ASSERT(FindWidening(above, narrowed).empty());
}

TEST(ConfigNarrowingTest, NoLevelThatGrantsAllowsNothing)
{
  ConfigTree tree;
  tree.workspaces[WorkspaceId("w")].teams[TeamId("t")];
  const auto resolved = ResolvePolicy(tree, WorkspaceId("w"), TeamId("t"));
  EXPECT_TRUE(resolved.value().models.empty());
  EXPECT_TRUE(resolved.value().services.empty());
}

} // namespace
} // namespace damasklink
