#include "damasklink/coordination/SendsSum.h"

#include <algorithm>
#include <utility>

namespace damasklink {

SentLoad&
SentLoad::operator+=(const SentLoad& aOther)
{
  this->requests += aOther.requests;
  this->unread += aOther.unread;
  this->memory += aOther.memory;
  return *this;
}

SentLoad&
SentLoad::operator-=(const SentLoad& aOther)
{
  this->requests -= std::min(this->requests, aOther.requests);
  this->unread -= std::min(this->unread, aOther.unread);
  this->memory -= std::min(this->memory, aOther.memory);
  return *this;
}

void
SendsSum::Take(const LoadReport& aNews, MonotonicTime aNow)
{
  Host& host = this->hosts[aNews.host];
  host.heard = aNow;
  for (const InFlightLoad& sends : aNews.sends) {
    const SentLoad now{ sends.requests, sends.unread.Value(), sends.memory.Value() };
    SentLoad& load = host.loads[sends.target];
    SentLoad& sum = this->sums[sends.target];
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
SendsSum::Drop(const Host& aHost)
{
  for (const auto& [target, load] : aHost.loads) {
    SentLoad& sum = this->sums[target];
    sum -= load;
    if (sum.IsEmpty()) {
      this->sums.erase(target);
    }
  }
}

std::vector<TargetId>
SendsSum::Forget(const HostId& aHost)
{
  std::vector<TargetId> targets;
  const auto found = this->hosts.find(aHost);
  if (found == this->hosts.end()) {
    return targets;
  }
  for (const auto& [target, load] : found->second.loads) {
    targets.push_back(target);
  }
  this->Drop(found->second);
  this->hosts.erase(found);
  return targets;
}

std::vector<TargetId>
SendsSum::ForgetBefore(MonotonicTime aTime)
{
  std::vector<HostId> silent;
  for (const auto& [name, host] : this->hosts) {
    if (host.heard < aTime) {
      silent.push_back(name);
    }
  }
  std::vector<TargetId> targets;
  for (const HostId& host : silent) {
    const std::vector<TargetId> had = this->Forget(host);
    targets.insert(targets.end(), had.begin(), had.end());
  }
  return targets;
}

void
SendsSum::AddTargets(std::set<TargetId>& aTo) const
{
  for (const auto& [target, load] : this->sums) {
    aTo.insert(target);
  }
}

SentLoad
SendsSum::Of(const TargetId& aTarget) const
{
  const auto found = this->sums.find(aTarget);
  return found == this->sums.end() ? SentLoad() : found->second;
}

InFlightLoad
StateSends(const TargetId& aTarget, const SentLoad& aLoad, std::vector<SizedPart> aParts)
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
