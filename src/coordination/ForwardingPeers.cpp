#include "damasklink/coordination/ForwardingPeers.h"

#include <vector>

namespace damasklink {

bool
ForwardingPeers::IsPaused(const HostId& aHost, const ServiceName& aService) const
{
  return this->unreachableUntil.contains(aHost) ||
         this->declinedUntil.contains(std::pair(aHost, aService));
}

std::size_t
ForwardingPeers::CostOf(const HostId& aHost, const ZoneId& aZone) const
{
  const auto found = this->inProgress.find(aHost);
  const std::size_t calls = found == this->inProgress.end() ? 0 : found->second;
  return aZone == this->zone ? calls : calls + kOwnZonePreference;
}

void
ForwardingPeers::RemoveExpired()
{
  const MonotonicTime now = this->clock.MonotonicNow();
  const auto isOver = [now](const auto& aItem) { return aItem.second <= now; };
  std::erase_if(this->declinedUntil, isOver);
  std::erase_if(this->unreachableUntil, isOver);
}

std::optional<HostId>
ForwardingPeers::Choose(const ServiceName& aService, const std::set<HostId>& aTried)
{
  this->RemoveExpired();
  std::vector<HostId> best;
  std::size_t least = 0;
  for (const auto& [host, hostZone] : this->hosts) {
    if (aTried.contains(host) || this->IsPaused(host, aService)) {
      continue;
    }
    const std::size_t cost = this->CostOf(host, hostZone);
    if (best.empty() || cost < least) {
      best.clear();
      least = cost;
    }
    if (cost == least) {
      best.push_back(host);
    }
  }
  if (best.empty()) {
    return std::nullopt;
  }
  return best[this->random() % best.size()];
}

void
ForwardingPeers::OnEnded(const HostId& aHost)
{
  const auto found = this->inProgress.find(aHost);
  if (found != this->inProgress.end() && --found->second == 0) {
    this->inProgress.erase(found);
  }
}

void
ForwardingPeers::OnDeclined(const HostId& aHost, const ServiceName& aService)
{
  this->declinedUntil[{ aHost, aService }] = this->clock.MonotonicNow() + kDeclinePause;
}

void
ForwardingPeers::OnNotConnected(const HostId& aHost)
{
  this->unreachableUntil[aHost] = this->clock.MonotonicNow() + kUnreachablePause;
}

} // namespace damasklink
