// The hosts of a serving deployment that a control host knows.
//
//   HostRegistry registry(ownHost, ownZone);
//   if (registry.AddControlHost(host, zone)) { ... }   // New: connect to it.
//   registry.OnEntryHostConnected(host);
//   registry.CountEntryHosts();                        // Includes those of other control hosts.
//
// No control host is connected to all entry hosts, so control hosts exchange the lists of their
// entry hosts. An entry host that is connected to several control hosts counts once. Not
// thread-safe.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "damasklink/coordination/ServingMessages.h"

namespace damasklink {

class HostRegistry
{
public:
  HostRegistry(HostId aSelf, ZoneId aZone)
    : self(std::move(aSelf))
    , zone(std::move(aZone))
  {
  }

  // Adds a control host. An empty zone means unknown and does not replace a known one. Returns
  // whether the host is new.
  bool AddControlHost(const HostId& aHost, const ZoneId& aZone);

  // The other control hosts.
  const ControlHostZones& ControlHosts() const { return this->controlHosts; }

  // All control hosts, this one among them.
  ControlHostZones AllControlHosts() const;

  // Returns whether control hosts or their zones were added or changed since the last call.
  bool TakeControlHostsChanged() { return std::exchange(this->controlHostsChanged, false); }

  // Must be called when an entry host connects.
  void OnEntryHostConnected(const HostId& aHost);

  // Must be called when the connection to a host is lost.
  void OnDisconnected(const HostId& aHost);

  // Sets the list of entry hosts that are connected to another control host.
  void SetEntryHostsOf(const HostId& aFrom, const EntryHostList& aList);

  // Entry hosts that are connected to this control host.
  const std::set<HostId>& EntryHosts() const { return this->entryHosts; }
  // Returns the same hosts as a message to other control hosts.
  EntryHostList MakeEntryHostList() const;

  // Returns whether entry hosts connected to or disconnected from this host since the last call.
  bool TakeEntryHostsChanged() { return std::exchange(this->entryHostsChanged, false); }

  // Returns the entry hosts of this control host and of all control hosts connected to it.
  const std::set<HostId>& AllEntryHosts() const;
  std::uint64_t CountEntryHosts() const { return this->AllEntryHosts().size(); }

private:
  HostId self;
  ZoneId zone;
  ControlHostZones controlHosts;
  bool controlHostsChanged = false;
  std::set<HostId> entryHosts;
  bool entryHostsChanged = false;
  // Entry hosts of each connected control host.
  std::map<HostId, std::vector<HostId>> entryHostsByPeer;
  // Result of AllEntryHosts(), computed again only after a change, because it is requested several
  // times a second and there can be hundreds of entry hosts.
  mutable std::optional<std::set<HostId>> allEntryHosts;
};

} // namespace damasklink
