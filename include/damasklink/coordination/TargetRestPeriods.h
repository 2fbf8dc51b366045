// Keeps the times until which targets want no requests from this host.
//
//   TargetRestPeriods rests(clock);
//   rests.OnAsked(id, incarnation, std::chrono::seconds(3));   // An answer of the target asked.
//   if (!rests.IsResting(id, incarnation)) ...                 // To be checked before each send.
//
// A target's own request holds even if all targets of its service rest, unlike an ejection, which
// this host has only concluded. It applies to this host alone, and not to later incarnations of the
// target. Not thread-safe.
#pragma once

#include <absl/container/flat_hash_map.h>

#include "damasklink/coordination/Target.h"
#include "damasklink/state/Clock.h"

namespace damasklink {

class TargetRestPeriods
{
public:
  explicit TargetRestPeriods(const Clock& aClock)
    : clock(aClock)
  {
  }

  // Returns whether no target rests, as far as expired entries have been removed.
  bool IsEmpty() const { return this->entries.empty(); }

  // The target wants no requests for aRest from now on. Of several such answers the one with the
  // latest end counts, since they may arrive out of order. An answer of an earlier incarnation is
  // ignored.
  void OnAsked(const TargetId& aTarget, Incarnation aIncarnation, Duration aRest);

  // Returns how much longer the target wants no requests; zero if it takes them.
  Duration Remaining(const TargetId& aTarget, Incarnation aIncarnation) const;

  bool IsResting(const TargetId& aTarget, Incarnation aIncarnation) const
  {
    return this->Remaining(aTarget, aIncarnation) > Duration::zero();
  }

  // Must be called periodically.
  void RemoveExpired();

private:
  struct Entry
  {
    Incarnation incarnation;
    MonotonicTime until;
  };

  const Clock& clock;
  absl::flat_hash_map<TargetId, Entry> entries;
};

} // namespace damasklink
