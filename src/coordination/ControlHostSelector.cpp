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

std::vector<HostId>
ControlHostSelector::ByPreference() const
{
  std::vector<HostId> near;
  std::vector<HostId> far;
  for (const auto& [host, hostZone] : this->known) {
    const bool own = hostZone == this->zone && near.size() < kMaxInOwnZone;
    (own ? near : far).push_back(host);
  }
  // Each entry host has its own order, so that their connections spread.
  std::sort(far.begin(), far.end(), [this](const HostId& aLeft, const HostId& aRight) {
    return ShortHash(Concat(this->self.Value(), "/", aLeft.Value())) <
           ShortHash(Concat(this->self.Value(), "/", aRight.Value()));
  });
  near.insert(near.end(), far.begin(), far.end());
  return near;
}

std::vector<HostId>
ControlHostSelector::Select(const std::function<bool(const HostId&)>& aIsHealthy) const
{
  std::vector<HostId> selected;
  std::size_t healthy = 0;
  for (const HostId& host : this->ByPreference()) {
    if (healthy >= kHealthyLinks) {
      break;
    }
    selected.push_back(host);
    healthy += aIsHealthy(host) ? 1 : 0;
  }
  return selected;
}

} // namespace damasklink
