#include "damasklink/coordination/PrefixCacheIndex.h"

#include <algorithm>

#include "damasklink/coordination/BlockNames.h"

namespace damasklink {

PrefixCacheIndex::PrefixCacheIndex(std::uint64_t aMaxBlocksPerTarget)
  : maxBlocks(aMaxBlocksPerTarget)
{
}

PrefixCacheIndex::TargetNumber
PrefixCacheIndex::NumberOf(const TargetId& aTarget)
{
  const auto found = this->numbers.find(aTarget);
  if (found != this->numbers.end()) {
    return found->second;
  }
  TargetNumber number = static_cast<TargetNumber>(this->targets.size());
  if (this->unused.empty()) {
    this->targets.emplace_back();
    this->depths.push_back(0);
  } else {
    number = this->unused.back();
    this->unused.pop_back();
  }
  this->targets[number].id = aTarget;
  this->numbers.emplace(aTarget, number);
  return number;
}

void
PrefixCacheIndex::Forget(const TargetId& aTarget)
{
  const auto found = this->numbers.find(aTarget);
  if (found == this->numbers.end()) {
    return;
  }
  const TargetNumber number = found->second;
  this->Clear(number);
  this->targets[number] = TargetState();
  this->unused.push_back(number);
  this->numbers.erase(found);
}

void
PrefixCacheIndex::OnSent(const TargetId& aTarget, const std::vector<Digest>& aBlocks)
{
  const TargetNumber number = this->NumberOf(aTarget);
  // In reverse order, since engines evict the end of a prompt before its beginning.
  for (auto block = aBlocks.rbegin(); block != aBlocks.rend(); ++block) {
    this->Add(number, BlockHint(*block));
  }
  this->Evict(number);
}

void
PrefixCacheIndex::OnEvent(const CacheEvent& aEvent)
{
  const TargetNumber number = this->NumberOf(aEvent.target);
  TargetState& target = this->targets[number];
  if (aEvent.incarnation < target.incarnation) {
    return;
  }
  if (aEvent.incarnation > target.incarnation) {
    // The cache of an earlier incarnation is lost. Before the first event the incarnation is
    // unknown, and the blocks sent so far are kept.
    if (target.incarnation > Incarnation()) {
      this->Clear(number);
    }
    target.incarnation = aEvent.incarnation;
    target.sequence = Sequence();
    target.stale = false;
  }
  if (aEvent.sequence <= target.sequence) {
    return;
  }
  if (aEvent.sequence != target.sequence.Next()) {
    target.stale = true;
  }
  target.sequence = aEvent.sequence;
  for (const Digest& block : aEvent.removed) {
    this->Remove(number, BlockHint(block));
  }
  for (const Digest& block : aEvent.added) {
    this->Add(number, BlockHint(block));
  }
  this->Evict(number);
}

void
PrefixCacheIndex::OnSnapshot(const CacheSnapshot& aSnapshot)
{
  const TargetNumber number = this->NumberOf(aSnapshot.target);
  TargetState& target = this->targets[number];
  const bool olderIncarnation = aSnapshot.incarnation < target.incarnation;
  const bool sameIncarnation = aSnapshot.incarnation == target.incarnation;
  if (olderIncarnation || (sameIncarnation && aSnapshot.sequence < target.sequence)) {
    return;
  }
  this->Clear(number);
  target.incarnation = aSnapshot.incarnation;
  target.sequence = aSnapshot.sequence;
  target.stale = false;
  for (const Digest& block : aSnapshot.blocks) {
    this->Add(number, BlockHint(block));
  }
  this->Evict(number);
}

std::vector<TargetId>
PrefixCacheIndex::StaleTargets() const
{
  std::vector<TargetId> stale;
  for (const TargetState& target : this->targets) {
    if (target.stale) {
      stale.push_back(target.id);
    }
  }
  return stale;
}

bool
PrefixCacheIndex::IsStale(const TargetId& aTarget) const
{
  const auto found = this->numbers.find(aTarget);
  return found != this->numbers.end() && this->targets[found->second].stale;
}

void
PrefixCacheIndex::Match(const std::vector<Digest>& aBlocks)
{
  for (const TargetNumber number : this->matched) {
    this->depths[number] = 0;
  }
  this->matched.clear();
  this->hints.clear();
  for (const Digest& block : aBlocks) {
    this->hints.push_back(BlockHint(block));
    this->holders.prefetch(this->hints.back());
  }
  std::uint32_t depth = 0;
  for (const Hint hint : this->hints) {
    const auto found = this->holders.find(hint);
    if (found == this->holders.end()) {
      return;
    }
    for (const Holder& holder : found->second) {
      if (this->depths[holder.target] != depth) {
        continue;
      }
      if (depth == 0) {
        this->matched.push_back(holder.target);
      }
      this->depths[holder.target] = depth + 1;
    }
    ++depth;
  }
}

std::uint64_t
PrefixCacheIndex::Depth(TargetNumber aTarget) const
{
  return this->depths[aTarget];
}

std::uint64_t
PrefixCacheIndex::Size() const
{
  std::uint64_t size = 0;
  for (const TargetState& target : this->targets) {
    size += target.blockCount;
  }
  return size;
}

PrefixCacheIndex::Holder*
PrefixCacheIndex::Find(TargetNumber aTarget, Hint aBlock)
{
  const auto found = this->holders.find(aBlock);
  if (found == this->holders.end()) {
    return nullptr;
  }
  for (Holder& holder : found->second) {
    if (holder.target == aTarget) {
      return &holder;
    }
  }
  return nullptr;
}

void
PrefixCacheIndex::Add(TargetNumber aTarget, Hint aBlock)
{
  TargetState& target = this->targets[aTarget];
  const std::uint32_t stamp = target.nextStamp++;
  if (Holder* holder = this->Find(aTarget, aBlock)) {
    holder->stamp = stamp;
  } else {
    this->holders[aBlock].push_back({ aTarget, stamp });
    ++target.blockCount;
  }
  target.uses.push_back({ aBlock, stamp });
}

void
PrefixCacheIndex::Remove(TargetNumber aTarget, Hint aBlock)
{
  const auto found = this->holders.find(aBlock);
  if (found == this->holders.end()) {
    return;
  }
  const auto matches = [&](const Holder& aHolder) { return aHolder.target == aTarget; };
  const auto newEnd = std::remove_if(found->second.begin(), found->second.end(), matches);
  this->targets[aTarget].blockCount -= static_cast<std::uint64_t>(found->second.end() - newEnd);
  found->second.erase(newEnd, found->second.end());
  if (found->second.empty()) {
    this->holders.erase(found);
  }
}

void
PrefixCacheIndex::Clear(TargetNumber aTarget)
{
  for (const Use& use : this->targets[aTarget].uses) {
    this->Remove(aTarget, use.block);
  }
  this->targets[aTarget].uses.clear();
}

bool
PrefixCacheIndex::IsLastUse(TargetNumber aTarget, const Use& aUse)
{
  const Holder* holder = this->Find(aTarget, aUse.block);
  return holder != nullptr && holder->stamp == aUse.stamp;
}

void
PrefixCacheIndex::Evict(TargetNumber aTarget)
{
  TargetState& target = this->targets[aTarget];
  while (target.blockCount > this->maxBlocks) {
    const Use oldest = target.uses.front();
    target.uses.pop_front();
    if (this->IsLastUse(aTarget, oldest)) {
      this->Remove(aTarget, oldest.block);
    }
  }
  // Remove superseded uses once in a while, since the list would otherwise grow without bound.
  if (target.uses.size() > 2 * this->maxBlocks) {
    std::erase_if(target.uses, [&](const Use& aUse) { return !this->IsLastUse(aTarget, aUse); });
  }
}

} // namespace damasklink
