// The targets whose departures were acknowledged.
//
//   DepartedTargets departed;
//   departed.Add(DepartedTarget{ target, incarnation });
//   departed.Contains(target, incarnation);       // Also for earlier incarnations.
//   departed.After(seen);                         // Those added since Count() was `seen`.
//
// A heartbeat may arrive long after its target has signed off, and after all control hosts were
// restarted. It must not bring the target back.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "damasklink/state/Ids.h"

namespace damasklink {

struct DepartedTarget
{
  TargetId target;
  // Zero for a target that does not name its incarnations: each of its starts has an id of its own.
  Incarnation incarnation;

  bool operator==(const DepartedTarget&) const = default;
};

// Part of the replicated state: the content depends only on the sequence of additions. Not
// thread-safe.
class DepartedTargets
{
public:
  // Beyond this the earliest departures are forgotten. Heartbeats are late by as long as the
  // network is disrupted, which is short compared to the time in which so many targets depart: 20
  // minutes of a rollout that replaces three targets each second.
  static constexpr std::size_t kMaxKept = 4096;

  // Returns whether the departure was not contained before.
  bool Add(const DepartedTarget& aDeparture);

  // Returns whether this incarnation of the target, or a later one, has departed.
  bool Contains(const TargetId& aTarget, Incarnation aIncarnation) const;

  // Returns the number of departures that were ever added.
  std::uint64_t Count() const { return this->count; }

  // Returns the departures that were added after the first aCount, earliest first, as far as they
  // are kept.
  std::vector<DepartedTarget> After(std::uint64_t aCount) const;

  bool IsEmpty() const { return this->byNumber.empty(); }

  // Replaces the content by that of a snapshot: Count() and After(0).
  void Restore(std::uint64_t aCount, const std::vector<DepartedTarget>& aDepartures);

private:
  void Insert(std::uint64_t aNumber, const DepartedTarget& aDeparture);

  std::uint64_t count = 0;
  std::map<std::uint64_t, DepartedTarget> byNumber;
  std::map<TargetId, std::uint64_t> numbers;
};

} // namespace damasklink
