#include "damasklink/coordination/HostRoster.h"

namespace damasklink {

bool
HostRoster::LearnControlHost(const HostId& aHost, const ZoneId& aZone)
{
  if (aHost == this->self) {
    return false;
  }
  const auto [position, isNew] = this->controlHosts.try_emplace(aHost);
  const bool zoneLearnt = !aZone.Empty() && position->second != aZone;
  if (zoneLearnt) {
    position->second = aZone;
  }
  this->controlHostsChanged = this->controlHostsChanged || isNew || zoneLearnt;
  return isNew;
}

ControlHostZones
HostRoster::AllControlHosts() const
{
  ControlHostZones all = this->controlHosts;
  all[this->self] = this->zone;
  return all;
}

void
HostRoster::OnEntryHost(const HostId& aHost)
{
  this->together.reset();
  const bool isNew = this->entryHosts.insert(aHost).second;
  this->entryHostsChanged = this->entryHostsChanged || isNew;
}

void
HostRoster::OnLost(const HostId& aHost)
{
  this->together.reset();
  const bool wasEntryHost = this->entryHosts.erase(aHost) > 0;
  this->entryHostsChanged = this->entryHostsChanged || wasEntryHost;
  this->entryHostsOfOthers.erase(aHost);
}

void
HostRoster::TakeList(const HostId& aFrom, const EntryHostList& aList)
{
  this->together.reset();
  this->entryHostsOfOthers[aFrom] = aList.hosts;
}

EntryHostList
HostRoster::OwnList() const
{
  return EntryHostList{ { this->entryHosts.begin(), this->entryHosts.end() } };
}

const std::set<HostId>&
HostRoster::AllEntryHosts() const
{
  if (!this->together) {
    this->together = this->entryHosts;
    for (const auto& [host, others] : this->entryHostsOfOthers) {
      this->together->insert(others.begin(), others.end());
    }
  }
  return *this->together;
}

} // namespace damasklink
