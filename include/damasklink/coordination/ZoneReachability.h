// Detects availability zones whose targets this host cannot reach: a circuit breaker for each zone.
//
//   ZoneReachability reach(clock, seed);
//   reach.OnStart(target.zone);                  // A call is sent.
//   reach.OnEnd(target.zone, target.id, sign);   // The call has ended.
//   if (reach.IsUnreachable(target.zone)) ...    // Choose another zone.
//
// When a zone is partitioned, all its targets become unreachable at once. Without this class each
// target costs one call until it is ejected individually, and each kept connection another one: a
// third of a zone's calls for seconds. A zone is unreachable once kUnreachableTargets of its
// targets have not answered within kDetectionWindow, while no byte was received from the zone.
// After kRetryDelay one call at a time probes it. A target that refuses connections has crashed,
// but its zone has answered. Crashes alone therefore never make a zone unreachable, which would
// leave its other targets idle while targets elsewhere are overloaded. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <set>

#include "damasklink/coordination/TargetHealth.h"

namespace damasklink {

class ZoneReachability
{
public:
  // The number of targets that must fail, without an answer from any other, to make their zone
  // unreachable.
  static constexpr std::size_t kUnreachableTargets = 3;
  // Failures must occur within this time to count together.
  static constexpr Duration kDetectionWindow = std::chrono::seconds(1);
  // How long an unreachable zone gets no calls. Up to a quarter is added at random, so that hosts
  // do not probe at the same time.
  static constexpr Duration kRetryDelay = std::chrono::seconds(2);

  ZoneReachability(const Clock& aClock, std::uint64_t aSeed)
    : clock(aClock)
    , random(aSeed)
  {
  }

  // A call was sent to the zone.
  void OnStart(const ZoneId& aZone);

  // Bytes were received from a target of the zone: marks it as reachable, whatever failed before.
  // From a reachable zone bytes arrive every few milliseconds, even when a third of its targets
  // crash.
  void OnBytes(const ZoneId& aZone) { this->entries.erase(aZone); }

  // A call to the target has ended with the given signal.
  void OnEnd(const ZoneId& aZone, const TargetId& aTarget, HealthSignal aSign);

  // Returns true while the zone gets no calls, and while a call probes it.
  bool IsUnreachable(const ZoneId& aZone) const;

private:
  struct Entry
  {
    std::set<TargetId> failedTargets;
    MonotonicTime firstFailureAt;
    MonotonicTime retryAt;
    // The zone was marked unreachable and has not answered since.
    bool unreachable = false;
    bool probing = false;
  };

  void MarkUnreachable(Entry& aEntry);

  const Clock& clock;
  std::minstd_rand random;
  // The zones with failures since their last answer.
  std::map<ZoneId, Entry> entries;
};

} // namespace damasklink
