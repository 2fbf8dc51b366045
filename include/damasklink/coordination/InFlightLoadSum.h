// Adds up the in-flight load at targets from the reports of several hosts.
//
//   InFlightLoadSum sum;
//   sum.Update(report, clock.MonotonicNow());   // The targets at which the load of a host changed.
//   sum.Of(target);                             // The load of all hosts at the target.
//   sum.RemoveSilentSince(clock.MonotonicNow() - InFlightLoadSum::kSilenceLimit);
//
// Reports contain absolute counts, so a lost message has no lasting effect. A control host adds up
// the reports of its entry hosts, and separately the sums of other control hosts. Not thread-safe.
#pragma once

#include <map>
#include <set>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "damasklink/coordination/ServingMessages.h"
#include "damasklink/state/Clock.h"

namespace damasklink {

// Known requests at one target.
struct LoadCounts
{
  std::uint64_t requests = 0;
  // Their prompt tokens that the target has not processed yet.
  std::uint64_t unread = 0;
  // Their tokens that occupy memory of the target.
  std::uint64_t memory = 0;

  bool IsEmpty() const { return *this == LoadCounts(); }
  LoadCounts& operator+=(const LoadCounts& aOther);
  // Subtracts down to zero at most, since counts of different ages may be inconsistent.
  LoadCounts& operator-=(const LoadCounts& aOther);
  bool operator==(const LoadCounts&) const = default;
};

class InFlightLoadSum
{
public:
  // A control host that sends no sums for this long may have failed; its entry hosts report to
  // another one.
  static constexpr Duration kSilenceLimit = std::chrono::seconds(2);

  // Sets the load of a host at the targets of the report. It counts until the host reports another
  // value or is removed.
  void Update(const LoadReport& aReport, MonotonicTime aNow);

  // Removes the load of a host. Returns the targets at which it had any.
  std::vector<TargetId> Remove(const HostId& aHost);

  // Removes hosts that have not reported since aTime: they may have failed, and their requests with
  // them. Returns the targets at which they had any load.
  std::vector<TargetId> RemoveSilentSince(MonotonicTime aTime);

  // Adds the targets at which any host has load to aTo.
  void AddTargets(std::set<TargetId>& aTo) const;

  // Returns the load of all hosts at the target.
  LoadCounts Of(const TargetId& aTarget) const;

private:
  struct Host
  {
    MonotonicTime reportedAt;
    absl::flat_hash_map<TargetId, LoadCounts> loads;
  };

  void Subtract(const Host& aHost);

  std::map<HostId, Host> hosts;
  absl::flat_hash_map<TargetId, LoadCounts> sums;
};

// Makes the entry of a load report for a target, with the parts of prompts that were sent there.
InFlightLoad
ToInFlightLoad(const TargetId& aTarget, const LoadCounts& aLoad, std::vector<SizedPart> aParts);

} // namespace damasklink
