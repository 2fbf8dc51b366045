#include "damasklink/coordination/TargetSubsets.h"

#include <algorithm>

#include "damasklink/state/Digests.h"

namespace damasklink {
namespace {

std::uint32_t
Adjusted(std::uint32_t aCount, std::size_t aTargets)
{
  std::uint32_t count = aCount;
  while (aTargets >= TargetSubsets::kMinTargets * 2 * count) {
    count *= 2;
  }
  while (count > 1 && aTargets < TargetSubsets::kMinTargets * count / 2) {
    count /= 2;
  }
  return count;
}

} // namespace

SubsetKey
SubsetKeyOf(const HostId& aHost)
{
  return SubsetKey(MixedHash(aHost.Value()));
}

SubsetKey
SubsetKeyOf(const TargetId& aTarget)
{
  return SubsetKey(MixedHash(aTarget.Value()));
}

bool
IsSubsetCount(std::uint32_t aCount)
{
  return aCount > 0 && (aCount & (aCount - 1)) == 0;
}

std::uint32_t
SubsetCountOf(const SubsetCounts& aCounts, const ServiceName& aService)
{
  const auto found = aCounts.find(aService);
  return found == aCounts.end() ? 1 : found->second;
}

SubsetChange
TargetSubsets::Update(const std::map<ServiceName, std::size_t>& aTargets)
{
  SubsetChange change = SubsetChange::None;
  for (const auto& [service, targets] : aTargets) {
    const std::uint32_t before = SubsetCountOf(this->counts, service);
    const std::uint32_t count = Adjusted(before, targets);
    if (count == before) {
      continue;
    }
    this->counts[service] = count;
    const bool joined = count < before || change == SubsetChange::Joined;
    change = joined ? SubsetChange::Joined : SubsetChange::Divided;
  }
  return change;
}

SubsetKey
TargetSubsets::GroupOf(SubsetKey aHost) const
{
  std::uint32_t most = 1;
  for (const auto& [service, count] : this->counts) {
    most = std::max(most, count);
  }
  return SubsetKey(aHost.Value() & (most - 1));
}

} // namespace damasklink
