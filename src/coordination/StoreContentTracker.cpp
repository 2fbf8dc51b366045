#include "damasklink/coordination/StoreContentTracker.h"

#include <utility>

namespace damasklink {
namespace {

PartKey
KeyOf(const StoredPartEvent& aPart)
{
  return MakePartKey(aPart.name.scope, aPart.name.id);
}

} // namespace

TokenCount
StoreUpdate::Tokens() const
{
  std::uint64_t tokens = 0;
  for (const SizedPart& part : this->added) {
    tokens += part.tokens.Value();
  }
  return TokenCount(tokens);
}

void
StoreContentTracker::ApplyEvents(const StoreEvents& aEvents)
{
  if (!this->live || aEvents.epoch != this->epoch || aEvents.lost) {
    this->MarkUnreachable();
    return;
  }
  this->next = aEvents.next;
  for (const StoredPartEvent& event : aEvents.events) {
    const PartKey key = KeyOf(event);
    if (event.added) {
      this->parts[key] = event;
      this->unfinished.erase(key);
      this->changes.added.push_back(SizedPart{ key, event.tokens });
    } else {
      this->parts.erase(key);
      this->changes.removed.push_back(key);
      // Receivers apply removals before additions, so an earlier addition must be removed here.
      std::erase_if(this->changes.added, [&](const SizedPart& aPart) { return aPart.key == key; });
    }
    this->changed = true;
  }
}

void
StoreContentTracker::ApplyList(const StoreList& aList, MonotonicTime aNow)
{
  const bool sameEpoch = this->live && aList.epoch == this->epoch;
  std::map<PartKey, StoredPartEvent> listed;
  for (const StoredPartEvent& part : aList.parts) {
    listed[KeyOf(part)] = part;
  }
  std::map<PartKey, Unfinished> listedUnfinished;
  for (const UnfinishedPart& part : aList.unfinished) {
    const PartKey key = MakePartKey(part.name.scope, part.name.id);
    const auto before = this->unfinished.find(key);
    const bool same = sameEpoch && before != this->unfinished.end() && before->second.part == part;
    listedUnfinished[key] = Unfinished{ part, same ? before->second.since : aNow };
  }
  const TokenCount reservedBefore = this->Reserved();
  this->unfinished = std::move(listedUnfinished);
  const bool differs = !sameEpoch || listed != this->parts || this->Reserved() != reservedBefore;
  this->live = true;
  this->epoch = aList.epoch;
  this->next = aList.next;
  this->parts = std::move(listed);
  if (differs) {
    this->changes = this->Snapshot();
    this->changed = true;
  }
}

void
StoreContentTracker::MarkUnreachable()
{
  if (!this->live) {
    return;
  }
  this->live = false;
  this->parts.clear();
  this->unfinished.clear();
  this->changes = this->Snapshot();
  this->changed = true;
}

std::optional<StoreUpdate>
StoreContentTracker::TakeChanges()
{
  if (!std::exchange(this->changed, false)) {
    return std::nullopt;
  }
  StoreUpdate taken = std::exchange(this->changes, StoreUpdate{});
  taken.store = this->store;
  taken.live = this->live;
  taken.reserved = this->Reserved();
  return taken;
}

StoreUpdate
StoreContentTracker::Snapshot() const
{
  StoreUpdate snapshot;
  snapshot.store = this->store;
  snapshot.live = this->live;
  snapshot.whole = true;
  snapshot.reserved = this->Reserved();
  for (const auto& [key, part] : this->parts) {
    snapshot.added.push_back(SizedPart{ key, part.tokens });
  }
  return snapshot;
}

TokenCount
StoreContentTracker::Reserved() const
{
  std::uint64_t tokens = 0;
  for (const auto& [key, part] : this->unfinished) {
    tokens += part.part.reserved.Value();
  }
  return TokenCount(tokens);
}

std::vector<PartName>
StoreContentTracker::AbandonedParts(MonotonicTime aNow, std::size_t aMax) const
{
  std::vector<PartName> abandoned;
  for (const auto& [key, part] : this->unfinished) {
    if (abandoned.size() < aMax && aNow - part.since >= kAbandonedAfter) {
      abandoned.push_back(part.part.name);
    }
  }
  return abandoned;
}

std::vector<PartName>
StoreContentTracker::PartsOfOlderWeights(const std::map<ModelName, std::uint64_t>& aWeights,
                                         std::size_t aMax) const
{
  std::vector<PartName> old;
  for (const auto& [key, part] : this->parts) {
    const std::optional<PartScope> scope = ParsePartScope(part.name.scope);
    const auto minimum = scope ? aWeights.find(scope->model) : aWeights.end();
    if (old.size() < aMax && minimum != aWeights.end() && scope->weights < minimum->second) {
      old.push_back(part.name);
    }
  }
  return old;
}

} // namespace damasklink
