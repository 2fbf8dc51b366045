#include "damasklink/coordination/PrefixView.h"

#include <algorithm>

#include "damasklink/coordination/BlockNames.h"

namespace damasklink {

PrefixView::PrefixView(std::uint64_t aMostBlocksPerTarget)
  : mostBlocks(aMostBlocksPerTarget)
{
}

PrefixView::Index
PrefixView::IndexOf(const TargetId& aTarget)
{
  const auto found = this->indexes.find(aTarget);
  if (found != this->indexes.end()) {
    return found->second;
  }
  Index index = static_cast<Index>(this->targets.size());
  if (this->unused.empty()) {
    this->targets.emplace_back();
    this->depths.push_back(0);
  } else {
    index = this->unused.back();
    this->unused.pop_back();
  }
  this->targets[index].id = aTarget;
  this->indexes.emplace(aTarget, index);
  return index;
}

void
PrefixView::Forget(const TargetId& aTarget)
{
  const auto found = this->indexes.find(aTarget);
  if (found == this->indexes.end()) {
    return;
  }
  const Index index = found->second;
  this->Clear(index);
  this->targets[index] = TargetView();
  this->unused.push_back(index);
  this->indexes.erase(found);
}

void
PrefixView::OnSent(const TargetId& aTarget, const std::vector<Digest>& aBlocks)
{
  const Index index = this->IndexOf(aTarget);
  // From the end, as engines drop the end of a prompt before its beginning.
  for (auto block = aBlocks.rbegin(); block != aBlocks.rend(); ++block) {
    this->Add(index, BlockHint(*block));
  }
  this->Trim(index);
}

void
PrefixView::OnEvent(const CacheEvent& aEvent)
{
  const Index index = this->IndexOf(aEvent.target);
  TargetView& target = this->targets[index];
  if (aEvent.incarnation < target.incarnation) {
    return;
  }
  if (aEvent.incarnation > target.incarnation) {
    // What was sent to an earlier life is gone with it; before the first event there was none.
    if (target.incarnation > Incarnation()) {
      this->Clear(index);
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
    this->Remove(index, BlockHint(block));
  }
  for (const Digest& block : aEvent.added) {
    this->Add(index, BlockHint(block));
  }
  this->Trim(index);
}

void
PrefixView::OnSnapshot(const CacheSnapshot& aSnapshot)
{
  const Index index = this->IndexOf(aSnapshot.target);
  TargetView& target = this->targets[index];
  const bool olderLife = aSnapshot.incarnation < target.incarnation;
  const bool sameLife = aSnapshot.incarnation == target.incarnation;
  if (olderLife || (sameLife && aSnapshot.sequence < target.sequence)) {
    return;
  }
  this->Clear(index);
  target.incarnation = aSnapshot.incarnation;
  target.sequence = aSnapshot.sequence;
  target.stale = false;
  for (const Digest& block : aSnapshot.blocks) {
    this->Add(index, BlockHint(block));
  }
  this->Trim(index);
}

std::vector<TargetId>
PrefixView::Stale() const
{
  std::vector<TargetId> stale;
  for (const TargetView& target : this->targets) {
    if (target.stale) {
      stale.push_back(target.id);
    }
  }
  return stale;
}

bool
PrefixView::IsStale(const TargetId& aTarget) const
{
  const auto found = this->indexes.find(aTarget);
  return found != this->indexes.end() && this->targets[found->second].stale;
}

void
PrefixView::Match(const std::vector<Digest>& aBlocks)
{
  for (const Index index : this->matched) {
    this->depths[index] = 0;
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
PrefixView::Depth(Index aIndex) const
{
  return this->depths[aIndex];
}

std::uint64_t
PrefixView::Size() const
{
  std::uint64_t size = 0;
  for (const TargetView& target : this->targets) {
    size += target.held;
  }
  return size;
}

PrefixView::Holder*
PrefixView::Find(Index aIndex, Hint aBlock)
{
  const auto found = this->holders.find(aBlock);
  if (found == this->holders.end()) {
    return nullptr;
  }
  for (Holder& holder : found->second) {
    if (holder.target == aIndex) {
      return &holder;
    }
  }
  return nullptr;
}

void
PrefixView::Add(Index aIndex, Hint aBlock)
{
  TargetView& target = this->targets[aIndex];
  const std::uint32_t stamp = target.nextStamp++;
  if (Holder* holder = this->Find(aIndex, aBlock)) {
    holder->stamp = stamp;
  } else {
    this->holders[aBlock].push_back({ aIndex, stamp });
    ++target.held;
  }
  target.uses.push_back({ aBlock, stamp });
}

void
PrefixView::Remove(Index aIndex, Hint aBlock)
{
  const auto found = this->holders.find(aBlock);
  if (found == this->holders.end()) {
    return;
  }
  const auto matches = [&](const Holder& aHolder) { return aHolder.target == aIndex; };
  const auto kept = std::remove_if(found->second.begin(), found->second.end(), matches);
  this->targets[aIndex].held -= static_cast<std::uint64_t>(found->second.end() - kept);
  found->second.erase(kept, found->second.end());
  if (found->second.empty()) {
    this->holders.erase(found);
  }
}

void
PrefixView::Clear(Index aIndex)
{
  for (const Use& use : this->targets[aIndex].uses) {
    this->Remove(aIndex, use.block);
  }
  this->targets[aIndex].uses.clear();
}

bool
PrefixView::IsLastUse(Index aIndex, const Use& aUse)
{
  const Holder* holder = this->Find(aIndex, aUse.block);
  return holder != nullptr && holder->stamp == aUse.stamp;
}

void
PrefixView::Trim(Index aIndex)
{
  TargetView& target = this->targets[aIndex];
  while (target.held > this->mostBlocks) {
    const Use oldest = target.uses.front();
    target.uses.pop_front();
    if (this->IsLastUse(aIndex, oldest)) {
      this->Remove(aIndex, oldest.block);
    }
  }
  // Uses that a later one replaced are dropped now and then, or the list would grow without end.
  if (target.uses.size() > 2 * this->mostBlocks) {
    std::erase_if(target.uses, [&](const Use& aUse) { return !this->IsLastUse(aIndex, aUse); });
  }
}

} // namespace damasklink
