#include "damasklink/coordination/ControlLinks.h"

#include <algorithm>

#include "damasklink/state/Digests.h"
#include "damasklink/state/Text.h"

namespace damasklink {

void
ControlLinks::Know(const HostId& aHost, const ZoneId& aZone)
{
  ZoneId& held = this->known[aHost];
  if (!aZone.Empty()) {
    held = aZone;
  }
}

bool
ControlLinks::KnowAll(const ControlHostZones& aHosts)
{
  for (const auto& [host, hostZone] : aHosts) {
    this->Know(host, hostZone);
  }
  return !aHosts.empty();
}

std::vector<HostId>
ControlLinks::ByPreference() const
{
  std::vector<HostId> near;
  std::vector<HostId> far;
  for (const auto& [host, hostZone] : this->known) {
    const bool own = hostZone == this->zone && near.size() < kMostInOwnZone;
    (own ? near : far).push_back(host);
  }
  // Another order for each entry host, so that their connections spread.
  std::sort(far.begin(), far.end(), [this](const HostId& aLeft, const HostId& aRight) {
    return ShortHash(Concat(this->self.Value(), "/", aLeft.Value())) <
           ShortHash(Concat(this->self.Value(), "/", aRight.Value()));
  });
  near.insert(near.end(), far.begin(), far.end());
  return near;
}

std::vector<HostId>
ControlLinks::Wanted(const std::function<bool(const HostId&)>& aIsGood) const
{
  std::vector<HostId> wanted;
  std::size_t good = 0;
  for (const HostId& host : this->ByPreference()) {
    if (good >= kGoodLinks) {
      break;
    }
    wanted.push_back(host);
    good += aIsGood(host) ? 1 : 0;
  }
  return wanted;
}

} // namespace damasklink
