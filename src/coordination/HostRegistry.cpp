#include "damasklink/coordination/HostRegistry.h"

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
HostRegistry::OnEntryHostConnected(const HostId& aHost)
{
  this->allEntryHosts.reset();
  const bool isNew = this->entryHosts.insert(aHost).second;
  this->entryHostsChanged = this->entryHostsChanged || isNew;
}

void
HostRegistry::OnDisconnected(const HostId& aHost)
{
  this->allEntryHosts.reset();
  const bool wasEntryHost = this->entryHosts.erase(aHost) > 0;
  this->entryHostsChanged = this->entryHostsChanged || wasEntryHost;
  this->entryHostsByPeer.erase(aHost);
}

void
HostRegistry::SetEntryHostsOf(const HostId& aFrom, const EntryHostList& aList)
{
  this->allEntryHosts.reset();
  this->entryHostsByPeer[aFrom] = aList.hosts;
}

EntryHostList
HostRegistry::MakeEntryHostList() const
{
  return EntryHostList{ { this->entryHosts.begin(), this->entryHosts.end() } };
}

const std::set<HostId>&
HostRegistry::AllEntryHosts() const
{
  if (!this->allEntryHosts) {
    this->allEntryHosts = this->entryHosts;
    for (const auto& [host, others] : this->entryHostsByPeer) {
      this->allEntryHosts->insert(others.begin(), others.end());
    }
  }
  return *this->allEntryHosts;
}

} // namespace damasklink
