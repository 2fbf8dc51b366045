#include "damasklink/coordination/StoreFeed.h"

#include <utility>

namespace damasklink {

void
StoreFeed::TakeEvents(const StoreEvents& aEvents)
{
  if (!this->live || aEvents.epoch != this->epoch || aEvents.lost) {
    this->Lose();
    return;
  }
  this->next = aEvents.next;
  for (const StoredPartEvent& event : aEvents.events) {
    if (event.added) {
      this->parts[event.part.key] = event.part.tokens;
      this->changes.added.push_back(event.part);
    } else {
      this->parts.erase(event.part.key);
      this->changes.removed.push_back(event.part.key);
      // What left and came back within one batch must be stated in that order.
      std::erase_if(this->changes.added,
                    [&](const SizedPart& aPart) { return aPart.key == event.part.key; });
    }
    this->changed = true;
  }
}

void
StoreFeed::TakeList(const StoreList& aList)
{
  const bool sameLife = this->live && aList.epoch == this->epoch;
  std::map<PartKey, TokenCount> listed;
  for (const SizedPart& part : aList.parts) {
    listed[part.key] = part.tokens;
  }
  const bool news = !sameLife || listed != this->parts;
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
  this->changes = this->All();
  this->changed = true;
}

std::optional<StoreStatement>
StoreFeed::TakeChanges()
{
  if (!std::exchange(this->changed, false)) {
    return std::nullopt;
  }
  StoreStatement taken = std::exchange(this->changes, StoreStatement{});
  taken.store = this->store;
  taken.live = this->live;
  return taken;
}

StoreStatement
StoreFeed::All() const
{
  StoreStatement all;
  all.store = this->store;
  all.live = this->live;
  all.whole = true;
  for (const auto& [key, tokens] : this->parts) {
    all.added.push_back(SizedPart{ key, tokens });
  }
  return all;
}

} // namespace damasklink
