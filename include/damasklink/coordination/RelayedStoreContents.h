// The content of stores of prompt parts that other control hosts watch and relay
// (StoreWatchPlan.h).
//
//   RelayedStoreContents relayed;
//   relayed.Apply(controlHost, update);
//   if (const auto source = relayed.SourceOf(store, ranking)) relayed.Snapshot(*source, store);
//   relayed.Remove(controlHost);    // Disconnected: further changes may have been lost.
//
// Not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "damasklink/coordination/ServingMessages.h"

namespace damasklink {

class RelayedStoreContents
{
public:
  // Applies an update of one store from the control host that relays it.
  void Apply(const HostId& aFrom, const StoreUpdate& aUpdate);

  // Removes all content that came from a control host.
  void Remove(const HostId& aFrom);

  // Returns the control host whose updates of the store are used: the first of the ranking that
  // reports the store as reachable; nothing if there is none.
  std::optional<HostId> SourceOf(const Endpoint& aStore, const std::vector<HostId>& aRanking) const;

  // Returns the complete content of the store that came from the control host.
  StoreUpdate Snapshot(const HostId& aFrom, const Endpoint& aStore) const;

  // Returns what has changed since the last call, or nothing.
  std::optional<StoreUpdate> TakeChanges(const HostId& aFrom, const Endpoint& aStore);

  // Drops all changes that TakeChanges() has not returned, since those of hosts whose updates are
  // not used would accumulate.
  void DropChanges();

private:
  struct Content
  {
    std::map<PartKey, TokenCount> parts;
    TokenCount reserved;
    // What the next TakeChanges() returns.
    StoreUpdate changes;
    bool changed = false;
  };

  using ContentsByHost = std::map<HostId, Content>;

  static StoreUpdate SnapshotOf(const Endpoint& aStore, const Content& aContent);

  // Only for stores that the control host reports as reachable.
  std::map<Endpoint, ContentsByHost> contents;
};

} // namespace damasklink
