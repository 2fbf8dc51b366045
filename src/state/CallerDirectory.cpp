#include "damasklink/state/CallerDirectory.h"

#include <algorithm>
#include <map>

#include "damasklink/state/ConfigNarrowing.h"

namespace damasklink {
namespace {

// 4,096 shards hold some 40 of 156,000 keys each.
constexpr std::size_t kShards = 4096;
constexpr unsigned kBitsInFirstByte = 8;

std::size_t
ShardOf(const DigestBytes& aKey)
{
  return ((std::size_t{ aKey[0] } << kBitsInFirstByte) | aKey[1]) % kShards;
}

bool
HasLowerKey(const CallerEntry& aLeft, const CallerEntry& aRight)
{
  return aLeft.key < aRight.key;
}

// What one shard loses and gains.
struct ShardEdit
{
  std::vector<DigestBytes> gone;
  std::vector<CallerEntry> added;
};

} // namespace

CallerDirectory::CallerDirectory()
  : shards(kShards, std::make_shared<const Shard>())
  , serviceLevels(std::make_shared<const WorkspaceLevels>())
{
}

CallerDirectory::CallerDirectory(const ConfigTree& aTree)
  : CallerDirectory()
{
  const PolicyResolver resolver(aTree.defaults);
  std::vector<CallerEntry> all;
  WorkspaceLevels levels;
  for (const auto& [id, workspace] : aTree.workspaces) {
    levels.emplace(id, ServiceLevelOf(aTree.defaults, workspace));
    for (CallerEntry& entry : CallerEntriesOf(resolver, id, workspace)) {
      all.push_back(std::move(entry));
    }
  }
  *this = this->Replace({}, std::move(all));
  this->SetServiceLevels(std::move(levels));
}

CallerDirectory
CallerDirectory::Replace(const std::vector<DigestBytes>& aGone,
                         std::vector<CallerEntry> aAdded) const
{
  std::map<std::size_t, ShardEdit> edits;
  for (const DigestBytes& key : aGone) {
    edits[ShardOf(key)].gone.push_back(key);
  }
  for (CallerEntry& entry : aAdded) {
    edits[ShardOf(entry.key)].added.push_back(std::move(entry));
  }
  CallerDirectory successor = *this;
  for (auto& [index, edit] : edits) {
    Shard shard = *successor.shards[index];
    std::erase_if(shard, [&gone = edit.gone](const CallerEntry& aEntry) {
      return std::find(gone.begin(), gone.end(), aEntry.key) != gone.end();
    });
    std::move(edit.added.begin(), edit.added.end(), std::back_inserter(shard));
    std::sort(shard.begin(), shard.end(), HasLowerKey);
    shard.shrink_to_fit();
    successor.shards[index] = std::make_shared<const Shard>(std::move(shard));
  }
  return successor;
}

const ResolvedPolicy*
CallerDirectory::Find(const Digest& aKey) const
{
  const CallerEntry wanted{ PackDigest(aKey), nullptr };
  const Shard& shard = *this->shards[ShardOf(wanted.key)];
  const auto found = std::lower_bound(shard.begin(), shard.end(), wanted, HasLowerKey);
  if (found == shard.end() || found->key != wanted.key) {
    return nullptr;
  }
  return found->policy.get();
}

std::size_t
CallerDirectory::Size() const
{
  std::size_t size = 0;
  for (const auto& shard : this->shards) {
    size += shard->size();
  }
  return size;
}

void
CallerDirectory::SetServiceLevels(WorkspaceLevels aLevels)
{
  this->serviceLevels = std::make_shared<const WorkspaceLevels>(std::move(aLevels));
}

void
CallerDirectory::SetServiceLevel(const WorkspaceId& aId, const std::optional<ServiceLevel>& aLevel)
{
  const auto found = this->serviceLevels->find(aId);
  const bool known = found != this->serviceLevels->end();
  if (known == aLevel.has_value() && (!known || found->second == *aLevel)) {
    return;
  }
  WorkspaceLevels levels = *this->serviceLevels;
  levels.erase(aId);
  if (aLevel) {
    levels.emplace(aId, *aLevel);
  }
  this->SetServiceLevels(std::move(levels));
}

ServiceLevel
ServiceLevelOf(const SubtreePolicy& aDefaults, const WorkspaceNode& aWorkspace)
{
  const ServiceLevel inherited = aDefaults.serviceLevel.value_or(ServiceLevel{});
  return aWorkspace.policy.serviceLevel.value_or(inherited);
}

std::vector<CallerEntry>
CallerEntriesOf(const PolicyResolver& aResolver,
                const WorkspaceId& aId,
                const WorkspaceNode& aWorkspace)
{
  std::vector<CallerEntry> entries;
  for (const auto& [teamId, team] : aWorkspace.teams) {
    if (team.keys.empty()) {
      continue;
    }
    const auto policy = std::make_shared<const ResolvedPolicy>(
      aResolver.Resolve(aId, aWorkspace.policy, teamId, team.policy));
    for (const Digest& key : team.keys) {
      entries.push_back(CallerEntry{ PackDigest(key), policy });
    }
  }
  return entries;
}

} // namespace damasklink
