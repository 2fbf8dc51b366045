// Finds the team that a caller's key belongs to, among some hundred thousand keys that change
// every second.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "damasklink/state/ConfigTree.h"
#include "damasklink/state/Digests.h"

namespace damasklink {

class PolicyResolver;

// A key and what its holder may do. The policy is shared by all keys of the team.
struct CallerEntry
{
  DigestBytes key{};
  std::shared_ptr<const ResolvedPolicy> policy;
};

// Immutable once built, so that traffic threads share one.
//
//   CallerDirectory directory(tree);
//   const ResolvedPolicy* policy = directory.Find(DigestOf(key));
//
// Entries stand in shards by the first bits of the key. A successor shares all shards that a change
// does not touch, so a change costs the size of a few shards, whatever the size of the tree.
class CallerDirectory
{
public:
  CallerDirectory();
  explicit CallerDirectory(const ConfigTree& aTree);

  // Returns a directory without the keys in aGone and then with the entries in aAdded.
  CallerDirectory Replace(const std::vector<DigestBytes>& aGone,
                          std::vector<CallerEntry> aAdded) const;

  // Returns the policy, or nullptr when nobody holds the key. It lives as long as the directory.
  const ResolvedPolicy* Find(const Digest& aKey) const;

  // Returns how many keys are held.
  std::size_t Size() const;

  using WorkspaceLevels = std::map<WorkspaceId, ServiceLevel>;

  // Returns the objective of every workspace, as its own level sets or inherits it.
  const WorkspaceLevels& ServiceLevels() const { return *this->serviceLevels; }

  // Replaces the objectives of all workspaces.
  void SetServiceLevels(WorkspaceLevels aLevels);

  // Replaces the objective of one workspace, or takes the workspace out. Costs nothing where the
  // objective is the same, else a copy of them all.
  void SetServiceLevel(const WorkspaceId& aId, const std::optional<ServiceLevel>& aLevel);

private:
  // Ordered by key.
  using Shard = std::vector<CallerEntry>;

  std::vector<std::shared_ptr<const Shard>> shards;
  std::shared_ptr<const WorkspaceLevels> serviceLevels;
};

// Returns the objective of a workspace below the defaults.
ServiceLevel
ServiceLevelOf(const SubtreePolicy& aDefaults, const WorkspaceNode& aWorkspace);

// Returns the entries of a workspace's keys.
std::vector<CallerEntry>
CallerEntriesOf(const PolicyResolver& aResolver,
                const WorkspaceId& aId,
                const WorkspaceNode& aWorkspace);

} // namespace damasklink
