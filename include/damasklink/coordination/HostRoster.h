// The hosts of a serving deployment that one control host knows of.
//
//   HostRoster roster(ownHost, ownZone);
//   if (roster.LearnControlHost(host, zone)) { ... }   // New: connect to it.
//   roster.OnEntryHost(host);                          // It is connected.
//   roster.CountEntryHosts();                          // With those of other control hosts.
//
// No control host is connected to all entry hosts, so they tell each other theirs; each entry host
// is connected to several, and counts once. Not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "damasklink/coordination/ServingMessages.h"

namespace damasklink {

class HostRoster
{
public:
  HostRoster(HostId aSelf, ZoneId aZone)
    : self(std::move(aSelf))
    , zone(std::move(aZone))
  {
  }

  // Learns of a control host; an empty zone is not known and changes nothing that is. Returns
  // whether the host is new.
  bool LearnControlHost(const HostId& aHost, const ZoneId& aZone);

  // The other control hosts.
  const ControlHostZones& ControlHosts() const { return this->controlHosts; }

  // All control hosts, this one among them.
  ControlHostZones AllControlHosts() const;

  // Returns whether control hosts or their zones were learnt since the last call.
  bool TakeControlHostsChanged() { return std::exchange(this->controlHostsChanged, false); }

  void OnEntryHost(const HostId& aHost);

  // A host's connection to this one is lost.
  void OnLost(const HostId& aHost);

  // Takes the entry hosts that are connected to another control host.
  void TakeList(const HostId& aFrom, const EntryHostList& aList);

  // Entry hosts that are connected to this control host.
  const std::set<HostId>& EntryHosts() const { return this->entryHosts; }
  EntryHostList OwnList() const;

  // Returns whether own entry hosts came or went since the last call.
  bool TakeEntryHostsChanged() { return std::exchange(this->entryHostsChanged, false); }

  // All entry hosts that any connected control host has told of.
  const std::set<HostId>& AllEntryHosts() const;
  std::uint64_t CountEntryHosts() const { return this->AllEntryHosts().size(); }

private:
  HostId self;
  ZoneId zone;
  ControlHostZones controlHosts;
  bool controlHostsChanged = false;
  std::set<HostId> entryHosts;
  bool entryHostsChanged = false;
  // By connected control host.
  std::map<HostId, std::vector<HostId>> entryHostsOfOthers;
  // Put together only after a change: it is asked for several times a second among hundreds.
  mutable std::optional<std::set<HostId>> together;
};

} // namespace damasklink
