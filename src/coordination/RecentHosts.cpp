#include "damasklink/coordination/RecentHosts.h"

namespace damasklink {

void
RecentHosts::Update(const std::set<HostId>& aHosts, MonotonicTime aNow)
{
  for (const HostId& host : aHosts) {
    this->seen[host] = aNow;
    this->hosts.insert(host);
  }
  std::erase_if(this->seen, [&](const auto& aItem) {
    const bool expired = aNow - aItem.second > kRetention;
    if (expired) {
      this->hosts.erase(aItem.first);
    }
    return expired;
  });
}

} // namespace damasklink
