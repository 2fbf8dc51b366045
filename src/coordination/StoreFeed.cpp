#include "damasklink/coordination/StoreFeed.h"

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
StoreFeed::TakeEvents(const StoreEvents& aEvents)
{
  if (!this->live || aEvents.epoch != this->epoch || aEvents.lost) {
    this->Lose();
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
      // What left and came back within one batch must be stated in that order.
      std::erase_if(this->changes.added, [&](const SizedPart& aPart) { return aPart.key == key; });
    }
    this->changed = true;
  }
}

void
StoreFeed::TakeList(const StoreList& aList, MonotonicTime aNow)
{
  const bool sameLife = this->live && aList.epoch == this->epoch;
  std::map<PartKey, StoredPartEvent> listed;
  for (const StoredPartEvent& part : aList.parts) {
    listed[KeyOf(part)] = part;
  }
  std::map<PartKey, Unfinished> waiting;
  for (const UnfinishedPart& part : aList.unfinished) {
    const PartKey key = MakePartKey(part.name.scope, part.name.id);
    const auto before = this->unfinished.find(key);
    const bool same = sameLife && before != this->unfinished.end() && before->second.part == part;
    waiting[key] = Unfinished{ part, same ? before->second.since : aNow };
  }
  const TokenCount reservedBefore = this->Reserved();
  this->unfinished = std::move(waiting);
  const bool news = !sameLife || listed != this->parts || this->Reserved() != reservedBefore;
  this->live = true;
  this->epoch = aList.epoch;
  this->next = aList.next;
  this->parts = std::move(listed);
  if (news) {
    this->changes = this->All();
    this->changed = true;
  }
}

void
StoreFeed::Lose()
{
  if (!this->live) {
    return;
  }
  this->live = false;
  this->parts.clear();
  this->unfinished.clear();
  this->changes = this->All();
  this->changed = true;
}

std::optional<StoreUpdate>
StoreFeed::TakeChanges()
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
StoreFeed::All() const
{
  StoreUpdate all;
  all.store = this->store;
  all.live = this->live;
  all.whole = true;
  all.reserved = this->Reserved();
  for (const auto& [key, part] : this->parts) {
    all.added.push_back(SizedPart{ key, part.tokens });
  }
  return all;
}

TokenCount
StoreFeed::Reserved() const
{
  std::uint64_t tokens = 0;
  for (const auto& [key, waiting] : this->unfinished) {
    tokens += waiting.part.reserved.Value();
  }
  return TokenCount(tokens);
}

std::vector<PartName>
StoreFeed::BrokenOff(MonotonicTime aNow, std::size_t aMost) const
{
  std::vector<PartName> broken;
  for (const auto& [key, waiting] : this->unfinished) {
    if (broken.size() < aMost && aNow - waiting.since >= kBrokenOffAfter) {
      broken.push_back(waiting.part.name);
    }
  }
  return broken;
}

std::vector<PartName>
StoreFeed::MadeBefore(const std::map<ModelName, std::uint64_t>& aWeights, std::size_t aMost) const
{
  std::vector<PartName> old;
  for (const auto& [key, part] : this->parts) {
    const std::optional<ScopeFacts> facts = ParseScope(part.name.scope);
    const auto least = facts ? aWeights.find(facts->model) : aWeights.end();
    if (old.size() < aMost && least != aWeights.end() && facts->weights < least->second) {
      old.push_back(part.name);
    }
  }
  return old;
}

} // namespace damasklink
