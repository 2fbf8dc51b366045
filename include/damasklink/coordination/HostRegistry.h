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
  static constexpr std::size_t kForwardingHosts = 8;
  // An entry host repeats once a second that it is cut off.
  static constexpr Duration kCutOffTimeout = std::chrono::seconds(3);

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

  // Must be called when an entry host connects. An empty zone means unknown.
  void OnEntryHostConnected(const HostId& aHost, const ZoneId& aZone = ZoneId());

  // Records whether an entry host that is connected to this control host reaches no target of some
  // service. That it does not is forgotten unless the host repeats it within kCutOffTimeout.
  void SetCutOff(const HostId& aHost, bool aCutOff, MonotonicTime aNow);
  void RemoveExpiredCutOffs(MonotonicTime aNow);

  // Returns up to kForwardingHosts entry hosts to which the given one may forward calls: half of
  // them in its own zone if there are as many, none that is known to be cut off. Each host gets
  // others, so that their calls spread.
  EntryHostZones ForwardingHostsFor(const HostId& aHost) const;

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
  EntryHostZones AllEntryHostZones() const;
  std::set<HostId> CutOffHosts() const;

  HostId self;
  ZoneId zone;
  ControlHostZones controlHosts;
  bool controlHostsChanged = false;
  std::set<HostId> entryHosts;
  EntryHostZones entryHostZones;
  // Entry hosts of this control host that are cut off, and until when they count as such.
  std::map<HostId, MonotonicTime> cutOffUntil;
  bool entryHostsChanged = false;
  // Entry hosts of each connected control host.
  std::map<HostId, EntryHostList> entryHostsByPeer;
  // Result of AllEntryHosts(), computed again only after a change, because it is requested several
  // times a second and there can be hundreds of entry hosts.
  mutable std::optional<std::set<HostId>> allEntryHosts;
};

} // namespace damasklink
