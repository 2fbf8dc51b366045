#include "damasklink/coordination/HostRegistry.h"

#include <algorithm>

#include "damasklink/state/Digests.h"
#include "damasklink/state/Text.h"

namespace damasklink {

bool
HostRegistry::AddControlHost(const HostId& aHost, const ZoneId& aZone)
{
  if (aHost == this->self) {
    return false;
  }
  const auto [position, isNew] = this->controlHosts.try_emplace(aHost);
  const bool zoneChanged = !aZone.Empty() && position->second != aZone;
  if (zoneChanged) {
    position->second = aZone;
  }
  this->controlHostsChanged = this->controlHostsChanged || isNew || zoneChanged;
  return isNew;
}

ControlHostZones
HostRegistry::AllControlHosts() const
{
  ControlHostZones all = this->controlHosts;
  all[this->self] = this->zone;
  return all;
}

void
HostRegistry::OnEntryHostConnected(const HostId& aHost, const ZoneId& aZone)
{
  this->allEntryHosts.reset();
  this->entryHostZones[aHost] = aZone;
  const bool isNew = this->entryHosts.insert(aHost).second;
  this->entryHostsChanged = this->entryHostsChanged || isNew;
}

void
HostRegistry::OnDisconnected(const HostId& aHost)
{
  this->allEntryHosts.reset();
  const bool wasEntryHost = this->entryHosts.erase(aHost) > 0;
  this->entryHostZones.erase(aHost);
  this->cutOffUntil.erase(aHost);
  this->entryHostsChanged = this->entryHostsChanged || wasEntryHost;
  this->entryHostsByPeer.erase(aHost);
}

void
HostRegistry::SetEntryHostsOf(const HostId& aFrom, const EntryHostList& aList)
{
  this->allEntryHosts.reset();
  this->entryHostsByPeer[aFrom] = aList;
}

void
HostRegistry::SetCutOff(const HostId& aHost, bool aCutOff, MonotonicTime aNow)
{
  if (!this->entryHosts.contains(aHost)) {
    return;
  }
  const bool was = this->cutOffUntil.contains(aHost);
  if (aCutOff) {
    this->cutOffUntil[aHost] = aNow + kCutOffTimeout;
  } else {
    this->cutOffUntil.erase(aHost);
  }
  this->entryHostsChanged = this->entryHostsChanged || was != aCutOff;
}

void
HostRegistry::RemoveExpiredCutOffs(MonotonicTime aNow)
{
  const std::size_t removed =
    std::erase_if(this->cutOffUntil, [aNow](const auto& aItem) { return aItem.second <= aNow; });
  this->entryHostsChanged = this->entryHostsChanged || removed > 0;
}

std::set<HostId>
HostRegistry::CutOffHosts() const
{
  std::set<HostId> hosts;
  for (const auto& [host, until] : this->cutOffUntil) {
    hosts.insert(host);
  }
  for (const auto& [peer, list] : this->entryHostsByPeer) {
    hosts.insert(list.cutOff.begin(), list.cutOff.end());
  }
  return hosts;
}

EntryHostZones
HostRegistry::AllEntryHostZones() const
{
  EntryHostZones all = this->entryHostZones;
  for (const auto& [peer, list] : this->entryHostsByPeer) {
    for (std::size_t index = 0; index < list.hosts.size(); ++index) {
      const ZoneId hostZone = index < list.zones.size() ? list.zones[index] : ZoneId();
      all.try_emplace(list.hosts[index], hostZone);
    }
  }
  return all;
}

EntryHostZones
HostRegistry::ForwardingHostsFor(const HostId& aHost) const
{
  const EntryHostZones all = this->AllEntryHostZones();
  const std::set<HostId> cutOff = this->CutOffHosts();
  const auto own = all.find(aHost);
  const ZoneId ownZone = own == all.end() ? ZoneId() : own->second;
  // Rendezvous hashing: sorted by a hash of both hosts.
  std::vector<std::pair<std::uint64_t, HostId>> inZone;
  std::vector<std::pair<std::uint64_t, HostId>> elsewhere;
  std::uint64_t cutOffInZone = 0;
  for (const auto& [host, hostZone] : all) {
    if (cutOff.contains(host)) {
      cutOffInZone += hostZone == ownZone ? 1 : 0;
    } else if (host != aHost) {
      const std::uint64_t rank = ShortHash(Concat(aHost.Value(), " ", host.Value()));
      (hostZone == ownZone ? inZone : elsewhere).emplace_back(rank, host);
    }
  }
  // A few hosts would be overloaded by all others of their zone, so that each takes some of them.
  const std::uint64_t wanting = cutOffInZone / (kForwardingHosts * std::max(inZone.size(), 1UL));
  std::erase_if(inZone, [&](const auto& aItem) { return aItem.first % (wanting + 1) != 0; });
  std::sort(inZone.begin(), inZone.end());
  std::sort(elsewhere.begin(), elsewhere.end());
  EntryHostZones chosen;
  const auto take = [&](const auto& aRanked, std::size_t aLimit) {
    for (const auto& [rank, host] : aRanked) {
      if (chosen.size() >= aLimit) {
        return;
      }
      chosen[host] = all.at(host);
    }
  };
  take(inZone, kForwardingHosts / 2);
  take(elsewhere, kForwardingHosts);
  take(inZone, kForwardingHosts);
  return chosen;
}

EntryHostList
HostRegistry::MakeEntryHostList() const
{
  EntryHostList list;
  for (const HostId& host : this->entryHosts) {
    list.hosts.push_back(host);
    list.zones.push_back(this->entryHostZones.at(host));
  }
  for (const auto& [host, until] : this->cutOffUntil) {
    list.cutOff.push_back(host);
  }
  return list;
}

const std::set<HostId>&
HostRegistry::AllEntryHosts() const
{
  if (!this->allEntryHosts) {
    this->allEntryHosts = this->entryHosts;
    for (const auto& [peer, list] : this->entryHostsByPeer) {
      this->allEntryHosts->insert(list.hosts.begin(), list.hosts.end());
    }
  }
  return *this->allEntryHosts;
}

} // namespace damasklink
