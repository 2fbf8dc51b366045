#include "damasklink/coordination/RelayedStoreContents.h"

#include <utility>

namespace damasklink {

void
RelayedStoreContents::Apply(const HostId& aFrom, const StoreUpdate& aUpdate)
{
  ContentsByHost& ofStore = this->contents[aUpdate.store];
  if (!aUpdate.live) {
    ofStore.erase(aFrom);
    return;
  }
  if (aUpdate.whole) {
    ofStore[aFrom] = Content();
  }
  const auto found = ofStore.find(aFrom);
  if (found == ofStore.end()) {
    // A change to content that is not known; the complete content follows.
    return;
  }
  Content& content = found->second;
  content.reserved = aUpdate.reserved;
  for (const PartKey key : aUpdate.removed) {
    content.parts.erase(key);
    content.changes.removed.push_back(key);
    // Receivers apply removals before additions, so an earlier addition must be removed here.
    std::erase_if(content.changes.added, [&](const SizedPart& aPart) { return aPart.key == key; });
  }
  for (const SizedPart& part : aUpdate.added) {
    content.parts[part.key] = part.tokens;
    content.changes.added.push_back(part);
  }
  content.changes.whole = content.changes.whole || aUpdate.whole;
  content.changed = true;
}

void
RelayedStoreContents::Remove(const HostId& aFrom)
{
  for (auto& [store, ofStore] : this->contents) {
    ofStore.erase(aFrom);
  }
}

std::optional<HostId>
RelayedStoreContents::SourceOf(const Endpoint& aStore, const std::vector<HostId>& aRanking) const
{
  const auto ofStore = this->contents.find(aStore);
  if (ofStore == this->contents.end()) {
    return std::nullopt;
  }
  for (const HostId& host : aRanking) {
    if (ofStore->second.contains(host)) {
      return host;
    }
  }
  return std::nullopt;
}

StoreUpdate
RelayedStoreContents::Snapshot(const HostId& aFrom, const Endpoint& aStore) const
{
  return SnapshotOf(aStore, this->contents.at(aStore).at(aFrom));
}

StoreUpdate
RelayedStoreContents::SnapshotOf(const Endpoint& aStore, const Content& aContent)
{
  StoreUpdate snapshot;
  snapshot.store = aStore;
  snapshot.live = true;
  snapshot.whole = true;
  snapshot.reserved = aContent.reserved;
  for (const auto& [key, tokens] : aContent.parts) {
    snapshot.added.push_back(SizedPart{ key, tokens });
  }
  return snapshot;
}

std::optional<StoreUpdate>
RelayedStoreContents::TakeChanges(const HostId& aFrom, const Endpoint& aStore)
{
  Content& content = this->contents.at(aStore).at(aFrom);
  if (!std::exchange(content.changed, false)) {
    return std::nullopt;
  }
  StoreUpdate changes = std::exchange(content.changes, StoreUpdate{});
  if (changes.whole) {
    return SnapshotOf(aStore, content);
  }
  changes.store = aStore;
  changes.live = true;
  changes.reserved = content.reserved;
  return changes;
}

void
RelayedStoreContents::DropChanges()
{
  for (auto& [store, ofStore] : this->contents) {
    for (auto& [host, content] : ofStore) {
      content.changes = StoreUpdate{};
      content.changed = false;
    }
  }
}

} // namespace damasklink
