#include "damasklink/coordination/ServiceReachability.h"

#include <algorithm>

namespace damasklink {

void
ServiceReachability::OnBytes(const ServiceName& aService)
{
  Entry& entry = this->entries[aService];
  entry.lastBytesAt = this->clock.MonotonicNow();
  entry.lastReachedAt = entry.lastBytesAt;
}

void
ServiceReachability::OnSent(const ServiceName& aService)
{
  Entry& entry = this->entries[aService];
  if (entry.inProgress == 0) {
    entry.inProgressSince = this->clock.MonotonicNow();
  }
  ++entry.inProgress;
}

void
ServiceReachability::OnEnded(const ServiceName& aService)
{
  Entry& entry = this->entries[aService];
  entry.inProgress -= std::min<std::size_t>(entry.inProgress, 1);
}

bool
ServiceReachability::IsSilent(const Entry& aEntry, Duration aTime) const
{
  const MonotonicTime since = std::max(aEntry.lastBytesAt, aEntry.inProgressSince);
  return aEntry.inProgress > 0 && this->clock.MonotonicNow() - since >= aTime;
}

std::vector<ServiceName>
ServiceReachability::SuspiciousServices() const
{
  std::vector<ServiceName> suspicious;
  for (const auto& [service, entry] : this->entries) {
    if (!entry.unreachable && this->IsSilent(entry, kSuspiciousSilence)) {
      suspicious.push_back(service);
    }
  }
  return suspicious;
}

bool
ServiceReachability::IsDue(const Entry& aEntry) const
{
  const Duration sinceLast = this->clock.MonotonicNow() - aEntry.lastProbeAt;
  const Duration interval = aEntry.unreachable ? kProbeInterval : kReachedInterval;
  return !aEntry.probing && (!aEntry.probed || sinceLast >= interval);
}

bool
ServiceReachability::BeginProbe(const ServiceName& aService)
{
  Entry& entry = this->entries[aService];
  if (!this->IsDue(entry)) {
    return false;
  }
  entry.probing = true;
  entry.probed = true;
  entry.lastProbeAt = this->clock.MonotonicNow();
  return true;
}

ReachabilityChange
ServiceReachability::EndProbe(const ServiceName& aService, bool aReached)
{
  Entry& entry = this->entries[aService];
  const bool wasUnreachable = entry.unreachable;
  entry.probing = false;
  entry.unreachable = !aReached;
  if (aReached) {
    entry.lastReachedAt = this->clock.MonotonicNow();
  }
  if (wasUnreachable == entry.unreachable) {
    return ReachabilityChange::None;
  }
  return aReached ? ReachabilityChange::Regained : ReachabilityChange::Lost;
}

bool
ServiceReachability::IsProbing(const ServiceName& aService) const
{
  const auto found = this->entries.find(aService);
  return found != this->entries.end() && found->second.probing;
}

bool
ServiceReachability::IsUnreachable(const ServiceName& aService) const
{
  const auto found = this->entries.find(aService);
  return found != this->entries.end() && found->second.unreachable;
}

bool
ServiceReachability::AnyUnreachable() const
{
  return std::any_of(this->entries.begin(), this->entries.end(), [](const auto& aItem) {
    return aItem.second.unreachable;
  });
}

bool
ServiceReachability::HadBytesWithin(const ServiceName& aService, Duration aTime) const
{
  const auto found = this->entries.find(aService);
  return found != this->entries.end() && found->second.lastBytesAt != MonotonicTime() &&
         this->clock.MonotonicNow() - found->second.lastBytesAt < aTime;
}

bool
ServiceReachability::WasReachedAfter(const ServiceName& aService, MonotonicTime aTime) const
{
  const auto found = this->entries.find(aService);
  return found != this->entries.end() && found->second.lastReachedAt > aTime;
}

std::vector<ServiceName>
ServiceReachability::DueForProbe() const
{
  std::vector<ServiceName> due;
  for (const auto& [service, entry] : this->entries) {
    if (entry.unreachable && this->IsDue(entry)) {
      due.push_back(service);
    }
  }
  return due;
}

} // namespace damasklink
