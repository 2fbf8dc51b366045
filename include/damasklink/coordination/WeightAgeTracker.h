// The ages of versions of weights on a control host.
//
// The replicated state names only the newest version of each model, and no clock outlasts a
// restart. A version that is applied while this host follows a leader has just been acknowledged.
// After a loss of contact it may have been acknowledged at any time since. After a start its age is
// unknown until another control host tells it. If none does, as after a restart of all, it counts
// from when this host first knew it.
//
//   WeightAgeTracker tracker(clock, weightsWithin);
//   tracker.Step(group.HasRecentLeader());        // Several times a second.
//   tracker.OnApplied(group.State().Weights());   // When the replicated state has changed.
//   tracker.OnTold(update.weights);               // By another control host.
//   tracker.Ages().All();
//
// Not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "damasklink/coordination/WeightVersionAges.h"

namespace damasklink {

class WeightAgeTracker
{
public:
  // Time in contact with a leader within which other control hosts tell this one what they know:
  // they send it upon connecting, and each kRepeatInterval.
  static constexpr Duration kSettleTime = std::chrono::milliseconds(1500);

  // Interval at which recent versions are told again. A message that was held up on its way, or
  // whose receiver stood still, states too low an age.
  static constexpr Duration kRepeatInterval = std::chrono::seconds(1);

  // Longest time between an acknowledgement and the moment at which a new leader applies the
  // version, if its predecessor ended in between.
  static constexpr Duration kMaxLag = std::chrono::seconds(2);

  WeightAgeTracker(const Clock& aClock, Duration aLongest)
    : clock(aClock)
    , ages(aClock, aLongest)
  {
  }

  void Step(bool aHasLeader);
  void OnApplied(const std::map<ModelName, std::uint64_t>& aNewest);
  void OnTold(const std::vector<AnnouncedWeights>& aTold);

  const WeightVersionAges& Ages() const { return this->ages; }

  // Increases with each new version, and when the age of one becomes known.
  std::uint64_t Changes() const { return this->changes; }

private:
  void Take(const AnnouncedWeights& aAnnounced);
  std::optional<Duration> AgeOfNew() const;

  const Clock& clock;
  WeightVersionAges ages;
  std::uint64_t changes = 0;
  std::optional<MonotonicTime> lastStep;
  // Start of the present contact with a leader.
  std::optional<MonotonicTime> contactSince;
  // When the state of this host was last known to be current; empty since the start.
  std::optional<MonotonicTime> lastCurrent;
  // When this host learnt of the first version of unknown age.
  std::optional<MonotonicTime> unknownSince;
  std::map<ModelName, std::uint64_t> applied;
};

} // namespace damasklink
