#include "damasklink/coordination/InFlightLoadSum.h"

#include <algorithm>
#include <utility>

namespace damasklink {

LoadCounts&
LoadCounts::operator+=(const LoadCounts& aOther)
{
  this->requests += aOther.requests;
  this->unread += aOther.unread;
  this->memory += aOther.memory;
  return *this;
}

LoadCounts&
LoadCounts::operator-=(const LoadCounts& aOther)
{
  this->requests -= std::min(this->requests, aOther.requests);
  this->unread -= std::min(this->unread, aOther.unread);
  this->memory -= std::min(this->memory, aOther.memory);
  return *this;
}

void
InFlightLoadSum::Update(const LoadReport& aReport, MonotonicTime aNow)
{
  Host& host = this->hosts[aReport.host];
  host.reportedAt = aNow;
  for (const InFlightLoad& sends : aReport.sends) {
    const LoadCounts now{ sends.requests, sends.unread.Value(), sends.memory.Value() };
    LoadCounts& load = host.loads[sends.target];
    LoadCounts& sum = this->sums[sends.target];
    sum -= load;
    sum += now;
    load = now;
    if (sum.IsEmpty()) {
      this->sums.erase(sends.target);
    }
    if (now.IsEmpty()) {
      host.loads.erase(sends.target);
    }
  }
}

void
InFlightLoadSum::Subtract(const Host& aHost)
{
  for (const auto& [target, load] : aHost.loads) {
    LoadCounts& sum = this->sums[target];
    sum -= load;
    if (sum.IsEmpty()) {
      this->sums.erase(target);
    }
  }
}

std::vector<TargetId>
InFlightLoadSum::Remove(const HostId& aHost)
{
  std::vector<TargetId> targets;
  const auto found = this->hosts.find(aHost);
  if (found == this->hosts.end()) {
    return targets;
  }
  for (const auto& [target, load] : found->second.loads) {
    targets.push_back(target);
  }
  this->Subtract(found->second);
  this->hosts.erase(found);
  return targets;
}

std::vector<TargetId>
InFlightLoadSum::RemoveSilentSince(MonotonicTime aTime)
{
  std::vector<HostId> silent;
  for (const auto& [name, host] : this->hosts) {
    if (host.reportedAt < aTime) {
      silent.push_back(name);
    }
  }
  std::vector<TargetId> targets;
  for (const HostId& host : silent) {
    const std::vector<TargetId> removed = this->Remove(host);
    targets.insert(targets.end(), removed.begin(), removed.end());
  }
  return targets;
}

void
InFlightLoadSum::AddTargets(std::set<TargetId>& aTo) const
{
  for (const auto& [target, load] : this->sums) {
    aTo.insert(target);
  }
}

LoadCounts
InFlightLoadSum::Of(const TargetId& aTarget) const
{
  const auto found = this->sums.find(aTarget);
  return found == this->sums.end() ? LoadCounts() : found->second;
}

InFlightLoad
ToInFlightLoad(const TargetId& aTarget, const LoadCounts& aLoad, std::vector<SizedPart> aParts)
{
  InFlightLoad sends;
  sends.target = aTarget;
  sends.requests = aLoad.requests;
  sends.unread = TokenCount(aLoad.unread);
  sends.memory = TokenCount(aLoad.memory);
  sends.parts = std::move(aParts);
  return sends;
}

} // namespace damasklink
