// Deterministic subsetting: bounds the number of targets that an entry host is told of, keeps and
// compares, however many the deployment has.
//
//   TargetSubsets subsets;                                  // On a control host.
//   subsets.Update({ { service, 10'000 } });
//   subsets.Contains(SubsetKeyOf(host), service, SubsetKeyOf(target));
//
// The targets of a service are divided into subsets by the hash of their ids, and an entry host
// uses the subset that the hash of its own id selects. The number of subsets is a power of two, so
// a change divides subsets in halves or joins two, and no host gets an entirely different subset. A
// service with few targets has one subset. Not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "damasklink/state/Ids.h"

namespace damasklink {

// The number of subsets of each service that is, or once was, divided. It is 1 for all others.
using SubsetCounts = std::map<ServiceName, std::uint32_t>;

// The hash of a host or target id that selects its subset, the same in all builds.
using SubsetKey = NumberId<struct SubsetKeyTag>;

SubsetKey
SubsetKeyOf(const HostId& aHost);

SubsetKey
SubsetKeyOf(const TargetId& aTarget);

// Returns whether the number can be the number of subsets of a service.
bool
IsSubsetCount(std::uint32_t aCount);

// Returns the number of subsets of a service.
std::uint32_t
SubsetCountOf(const SubsetCounts& aCounts, const ServiceName& aService);

// Returns whether a host uses a target of a service with that number of subsets.
inline bool
IsInSubset(std::uint32_t aCount, SubsetKey aHost, SubsetKey aTarget)
{
  return ((aHost.Value() ^ aTarget.Value()) & (aCount - 1)) == 0;
}

enum class SubsetChange
{
  None,
  Divided, // Hosts use fewer targets.
  Joined,  // Hosts use targets that were not sent to them. Others may use fewer.
};

class TargetSubsets
{
public:
  // Least number of targets of a subset when it is made. An entry host has to find targets of each
  // zone among them, and enough idle ones in its own zone while other hosts of its subset send
  // bursts.
  static constexpr std::size_t kMinTargets = 512;

  // Sets the numbers of targets. A service is divided when each half has kMinTargets, and joined
  // only at half of that, so that a few targets that come and go change nothing.
  SubsetChange Update(const std::map<ServiceName, std::size_t>& aTargets);

  // Returns whether a host uses a target of the service.
  bool Contains(SubsetKey aHost, const ServiceName& aService, SubsetKey aTarget) const
  {
    return IsInSubset(SubsetCountOf(this->counts, aService), aHost, aTarget);
  }

  const SubsetCounts& Counts() const { return this->counts; }

  // Returns a key that is the same for all hosts that use the same targets.
  SubsetKey GroupOf(SubsetKey aHost) const;

private:
  SubsetCounts counts;
};

} // namespace damasklink
