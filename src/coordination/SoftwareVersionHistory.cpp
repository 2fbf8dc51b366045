#include "damasklink/coordination/SoftwareVersionHistory.h"

namespace damasklink {

void
SoftwareVersionHistory::Observe(const ServiceName& aService, const SoftwareVersion& aSoftware)
{
  this->observedAt[aService][aSoftware] = this->clock.MonotonicNow();
}

std::set<SoftwareVersion>
SoftwareVersionHistory::Versions(const ServiceName& aService) const
{
  std::set<SoftwareVersion> recent;
  const auto versions = this->observedAt.find(aService);
  if (versions == this->observedAt.end()) {
    return recent;
  }
  for (const auto& [software, observed] : versions->second) {
    if (this->IsRecent(observed)) {
      recent.insert(software);
    }
  }
  return recent;
}

std::vector<ServiceName>
SoftwareVersionHistory::Services() const
{
  std::vector<ServiceName> services;
  for (const auto& [service, versions] : this->observedAt) {
    services.push_back(service);
  }
  return services;
}

void
SoftwareVersionHistory::OnStep()
{
  const MonotonicTime now = this->clock.MonotonicNow();
  if (this->stepAt && now - *this->stepAt > kMaxPause) {
    this->completeSince = now;
    this->pausedAt = now;
  }
  this->stepAt = now;
}

bool
SoftwareVersionHistory::HasJustStoodStill() const
{
  return this->pausedAt && this->clock.MonotonicNow() - *this->pausedAt < kCatchUpTime;
}

bool
SoftwareVersionHistory::IsComplete() const
{
  return this->clock.MonotonicNow() - this->completeSince >= this->retention;
}

void
SoftwareVersionHistory::RemoveExpired()
{
  for (auto& [service, versions] : this->observedAt) {
    std::erase_if(versions, [this](const auto& aItem) { return !this->IsRecent(aItem.second); });
  }
  std::erase_if(this->observedAt, [](const auto& aItem) { return aItem.second.empty(); });
}

bool
SoftwareVersionHistory::IsRecent(MonotonicTime aObservedAt) const
{
  return this->clock.MonotonicNow() - aObservedAt < this->retention;
}

} // namespace damasklink
