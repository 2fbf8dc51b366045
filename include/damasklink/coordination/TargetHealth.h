// Which targets are left alone for a while because they keep failing.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <vector>

#include "damasklink/coordination/Target.h"
#include "damasklink/state/Clock.h"

namespace damasklink {

// What an attempt tells of its target.
enum class HealthSign
{
  Good, // It answered, be it that it is full.
  Bad,  // A broken answer, silence.
  Gone, // No connection, or what was sent was not even acknowledged.
  None, // The caller left, or the host stopped.
};

// Ejects a target after failures in a row, or at once when it cannot be reached, for longer each
// time, and lets it back half-open: one request at a time until one succeeds.
//
//   TargetHealth health(clock, seed);
//   health.OnEnd(target, HealthSign::Bad);
//   std::vector<TargetRecord> fit = health.Filter(targets);
//
// Never leaves out more than half of what it is given: when most targets fail, the fault is
// likely elsewhere, and an empty pool helps nobody. Not thread-safe.
class TargetHealth
{
public:
  static constexpr int kFailuresInRow = 3;
  static constexpr Duration kFirstEjection = std::chrono::seconds(2);
  static constexpr Duration kLongestEjection = std::chrono::seconds(60);

  TargetHealth(const Clock& aClock, std::uint64_t aSeed)
    : clock(aClock)
    , random(aSeed)
  {
  }

  // Tells that a request was sent to the target.
  void OnStart(const TargetId& aTarget);
  void OnEnd(const TargetId& aTarget, HealthSign aSign);

  // Returns the targets that may be sent a request now.
  std::vector<TargetRecord> Filter(const std::vector<TargetRecord>& aTargets) const;

  // Returns whether the target is ejected, or has its one request of the half-open state. For those
  // who keep the floor themselves.
  bool IsOut(const TargetId& aTarget) const;

private:
  struct Entry
  {
    int failures = 0;
    int ejections = 0;
    MonotonicTime ejectedUntil;
    bool probing = false;
  };

  void Eject(Entry& aEntry);

  const Clock& clock;
  std::minstd_rand random;
  // Targets with a failure since their last success.
  std::map<TargetId, Entry> entries;
};

} // namespace damasklink
