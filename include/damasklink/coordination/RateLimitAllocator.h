// Divides the request rates that targets accept among entry hosts; used on control hosts.
//
//   RateLimitAllocator allocator;
//   allocator.Update(reports);                 // From entry hosts and other control hosts.
//   allocator.UpdateColdTarget(target, now);   // It accepts few requests for some time.
//   allocator.RemoveWarmTargets(now);
//   allocator.Shares(allEntryHosts, subsets);  // For entry hosts.
//
// A target's limit applies to all hosts together and may be a few requests per second for hundreds
// of hosts. A part for each host would be too small to use, and a burst of one request from each
// would exceed what the target accepts. So a few hosts are chosen for each target, by rendezvous
// hashing: all control hosts choose the same ones without asking each other, and the loss of a host
// moves only its own share. Not thread-safe.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "damasklink/coordination/ServingMessages.h"
#include "damasklink/state/Clock.h"

namespace damasklink {

// A target that has started recently and accepts only few requests until it is warm.
struct ColdTarget
{
  TargetId target;
  Incarnation incarnation;
  Duration coldFor{ 0 };
  // The rate that it accepts from all hosts together.
  RequestRate rate;

  bool operator==(const ColdTarget&) const = default;
};

class RateLimitAllocator
{
public:
  // Smallest rate that is divided, so that a target with a limit of zero still gets a request now
  // and then, whose answer tells whether the limit has changed.
  static constexpr RequestRate kMinRate{ 0.2 };
  // Smallest share of a chosen host, if the limit is large enough.
  static constexpr RequestRate kMinShare{ 1 };
  // The end of a cold period, computed from successive heartbeats, varies a little. Entry hosts get
  // new shares only when it moves later by more than this.
  static constexpr Duration kColdEndTolerance = std::chrono::milliseconds(300);

  // A report replaces earlier ones of the same or an earlier incarnation of the target; reports of
  // an earlier incarnation than the known one are ignored.
  void Update(const std::vector<LimitReport>& aReports);

  // Sets the cold period and the rate of a target, which override those of an earlier incarnation.
  void UpdateColdTarget(const ColdTarget& aCold, MonotonicTime aNow);

  // Ends the cold period of targets that are warm at aNow.
  void RemoveWarmTargets(MonotonicTime aNow);

  // Removes the targets for which aIsThere returns false.
  void KeepOnly(const std::function<bool(const TargetId&, Incarnation)>& aIsThere);

  bool IsEmpty() const { return this->limits.empty(); }

  // Returns the number of subsets of a target's service.
  using SubsetCountLookup = std::function<std::uint32_t(const TargetId&)>;

  // Returns the share of each target and the hosts that get it: some of those that use the target.
  // Without aSubsets all hosts use all targets.
  std::vector<TargetLimit> Shares(const std::set<HostId>& aEntryHosts,
                                  const SubsetCountLookup& aSubsets = nullptr) const;

  // Returns all limits that targets name, for a control host that was just connected.
  std::vector<LimitReport> All() const;

private:
  struct Entry
  {
    Incarnation incarnation;
    // Empty if the target has no limit.
    std::optional<RequestRate> limit;
    // Zero for a warm target; the next two are then unused.
    Duration coldFor{ 0 };
    RequestRate coldRate;
    MonotonicTime coldUntil;
  };

  std::map<TargetId, Entry> limits;
};

} // namespace damasklink
