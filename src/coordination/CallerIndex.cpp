#include "damasklink/coordination/CallerIndex.h"

namespace damasklink {
namespace {

std::vector<DigestBytes>
KeysOf(const WorkspaceNode& aWorkspace)
{
  std::vector<DigestBytes> keys;
  for (const auto& [id, team] : aWorkspace.teams) {
    for (const Digest& key : team.keys) {
      keys.push_back(PackDigest(key));
    }
  }
  return keys;
}

} // namespace

void
CallerIndex::OnSubtreeChanged(const RevisionedTree& aTree,
                              const TreeChange& aChange,
                              const Subtree& aBefore)
{
  const SubtreeName& name = aChange.subtree.name;
  if (name.kind == SubtreeKind::Defaults) {
    this->OnTreeReplaced(aTree);
    return;
  }
  if (name.kind != SubtreeKind::Workspace) {
    return;
  }
  std::vector<DigestBytes> removedKeys;
  if (const WorkspaceNode* before = WorkspaceOf(aBefore)) {
    removedKeys = KeysOf(*before);
  }
  std::vector<CallerEntry> added;
  std::optional<ServiceLevel> level;
  if (const WorkspaceNode* after = WorkspaceOf(aChange.subtree)) {
    level = ServiceLevelOf(aTree.Defaults(), *after);
    added = CallerEntriesOf(this->resolver, name.workspace, *after);
  }
  this->directory = this->directory.Replace(removedKeys, std::move(added));
  this->directory.SetServiceLevel(name.workspace, level);
}

void
CallerIndex::OnTreeReplaced(const RevisionedTree& aTree)
{
  this->resolver = PolicyResolver(aTree.Defaults());
  std::vector<CallerEntry> all;
  CallerDirectory::WorkspaceLevels levels;
  for (const SubtreeName& name : aTree.Names()) {
    const Subtree subtree = aTree.Get(name);
    if (const WorkspaceNode* workspace = WorkspaceOf(subtree)) {
      levels.emplace(name.workspace, ServiceLevelOf(aTree.Defaults(), *workspace));
      for (CallerEntry& entry : CallerEntriesOf(this->resolver, name.workspace, *workspace)) {
        all.push_back(std::move(entry));
      }
    }
  }
  this->directory = CallerDirectory().Replace({}, std::move(all));
  this->directory.SetServiceLevels(std::move(levels));
}

} // namespace damasklink
