#include "damasklink/coordination/ControlHostSelector.h"

#include <algorithm>

#include "damasklink/state/Digests.h"
#include "damasklink/state/Text.h"

namespace damasklink {

void
ControlHostSelector::AddHost(const HostId& aHost, const ZoneId& aZone)
{
  ZoneId& knownZone = this->known[aHost];
  if (!aZone.Empty()) {
    knownZone = aZone;
  }
}

bool
ControlHostSelector::AddHosts(const ControlHostZones& aHosts)
{
  for (const auto& [host, hostZone] : aHosts) {
    this->AddHost(host, hostZone);
  }
  return !aHosts.empty();
}

// Gives each entry host its own order, so that their connections spread.
void
ControlHostSelector::SortByOwnHash(std::vector<HostId>& aHosts) const
{
  std::sort(aHosts.begin(), aHosts.end(), [this](const HostId& aLeft, const HostId& aRight) {
    return MixedHash(Concat(this->self.Value(), "/", aLeft.Value())) <
           MixedHash(Concat(this->self.Value(), "/", aRight.Value()));
  });
}

// Returns the hosts of the own zone, the preferred ones first.
std::vector<HostId>
ControlHostSelector::InOwnZone() const
{
  std::vector<HostId> hosts;
  for (const auto& [host, hostZone] : this->known) {
    if (hostZone == this->zone) {
      hosts.push_back(host);
    }
  }
  if (hosts.size() > kMaxInOwnZone) {
    this->SortByOwnHash(hosts);
  }
  return hosts;
}

std::vector<HostId>
ControlHostSelector::ByPreference() const
{
  std::vector<HostId> near = this->InOwnZone();
  near.resize(std::min(near.size(), kMaxInOwnZone));
  std::vector<HostId> others;
  for (const auto& [host, hostZone] : this->known) {
    if (std::find(near.begin(), near.end(), host) == near.end()) {
      others.push_back(host);
    }
  }
  this->SortByOwnHash(others);
  near.insert(near.end(), others.begin(), others.end());
  return near;
}

std::vector<HostId>
ControlHostSelector::ByHubPreference() const
{
  std::vector<HostId> hosts = this->InOwnZone();
  for (const auto& [host, hostZone] : this->known) {
    if (hostZone != this->zone) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

std::vector<HostId>
ControlHostSelector::Select(const std::function<bool(const HostId&)>& aIsHealthy,
                            MonotonicTime aNow)
{
  std::vector<HostId> selected;
  std::map<HostId, MonotonicTime> unhealthySince;
  std::size_t healthy = 0;
  std::size_t pending = 0;
  for (const HostId& host : this->ByPreference()) {
    if (healthy >= kHealthyLinks || pending >= kMaxPending) {
      break;
    }
    selected.push_back(host);
    if (aIsHealthy(host)) {
      ++healthy;
      continue;
    }
    const auto before = this->pendingSince.find(host);
    const MonotonicTime since = before == this->pendingSince.end() ? aNow : before->second;
    unhealthySince[host] = since;
    pending += aNow - since < kPendingTime ? 1 : 0;
  }
  this->pendingSince = std::move(unhealthySince);
  return selected;
}

} // namespace damasklink
