// Decides which control hosts watch a store of prompt parts, since a store lets only a few callers
// wait for its events at once.
//
//   StoreWatchPlan plan(ownHost, ownZone);
//   plan.AddHost(host, zone);              // A control host, connected or not.
//   plan.OnConnection(host, true);
//   switch (plan.RoleFor(store)) ...
//
// While there are few control hosts, each watches all stores. Otherwise rendezvous hashing ranks
// the connected ones for each store, those in its zone first: the first one watches the store and
// relays its content to all others, the next ones watch it too, ready to relay it. Hosts that are
// not connected to each other may disagree; a store is then relayed by more than one of them, each
// to those that it reaches. Not thread-safe.
#pragma once

#include <set>
#include <vector>

#include "damasklink/coordination/ServingConfig.h"
#include "damasklink/coordination/ServingMessages.h"

namespace damasklink {

enum class StoreRole
{
  Watch,   // Every control host watches the store, each for its own entry hosts.
  Relay,   // Watches the store and sends its content to the other control hosts.
  Standby, // Watches the store, and relays it when the relaying host is lost.
  Receive, // Uses the content that another control host relays.
};

class StoreWatchPlan
{
public:
  // Watchers of a store when not every control host watches it, the one that relays included.
  static constexpr std::size_t kWatchers = 2;

  StoreWatchPlan(HostId aSelf, const ZoneId& aZone);

  // Adds a control host. An empty zone means unknown and does not replace a known one.
  void AddHost(const HostId& aHost, const ZoneId& aZone);

  // Records whether this host can send to another control host.
  void OnConnection(const HostId& aHost, bool aUp);

  const HostId& Self() const { return this->self; }

  // Returns the role of this host for the store.
  StoreRole RoleFor(const PromptStoreSpec& aStore) const;

  // Returns the connected control hosts, this one included, that should watch the store, best
  // first.
  std::vector<HostId> Ranking(const PromptStoreSpec& aStore) const;

  // Increases with each change that may affect a role.
  std::uint64_t Version() const { return this->version; }

private:
  bool MayAllWatch(const PromptStoreSpec& aStore) const;

  HostId self;
  ControlHostZones known;
  std::set<HostId> connected;
  std::uint64_t version = 1;
};

} // namespace damasklink
