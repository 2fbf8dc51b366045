// How long ago the recent versions of a model's weights were acknowledged to the operator.
//
// Calls may begin on older weights only for a limited time after a newer version was acknowledged.
// Hosts tell each other ages rather than times, since their clocks differ. Of several ages of one
// version the greatest holds: a host that heard of it late knows a lower one.
//
//   WeightVersionAges ages(clock, weightsWithin);
//   ages.Take(AnnouncedWeights{ model, 7, std::chrono::seconds(2) });
//   ages.NewestOfAge(model, std::chrono::seconds(9));
//
// Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "damasklink/state/Clock.h"
#include "damasklink/state/Ids.h"

namespace damasklink {

// Longest time that a call waits at an engine before it begins. Calls are no longer sent to engines
// with older weights this long before the deadline for new ones, since they might begin after it.
constexpr Duration kMaxEngineQueueTime = std::chrono::milliseconds(3000);

// A version of weights that was acknowledged.
struct AnnouncedWeights
{
  ModelName model;
  std::uint64_t version = 0;
  // How long ago it was acknowledged, at least; empty if the sender does not know.
  std::optional<Duration> age;

  bool operator==(const AnnouncedWeights&) const = default;
};

class WeightVersionAges
{
public:
  // Older versions than the newest one that is at least aLongest old are forgotten.
  WeightVersionAges(const Clock& aClock, Duration aLongest)
    : clock(aClock)
    , longest(aLongest)
  {
  }

  // Returns whether the version is new here, or its age was not known before.
  bool Take(const AnnouncedWeights& aAnnounced);

  // Returns the newest version; 0 if there is none.
  std::uint64_t Newest(const ModelName& aModel) const;

  // Returns the newest version that is at least aAge old; 0 if there is none. A version of unknown
  // age counts as old: it may be.
  std::uint64_t NewestOfAge(const ModelName& aModel, Duration aAge) const;

  // Returns all known versions, older ones first.
  std::vector<AnnouncedWeights> All() const;

  // Returns whether any version is of unknown age, or younger than the constructor's aLongest.
  bool HasRecent() const;

  bool HasUnknown() const;

  // Takes versions of unknown age as acknowledged at aSince.
  void ResolveUnknown(MonotonicTime aSince);

private:
  using Versions = std::map<std::uint64_t, std::optional<MonotonicTime>>;

  bool IsOlderThan(const std::optional<MonotonicTime>& aSince, Duration aAge) const;
  void RemoveSuperseded(Versions& aVersions) const;

  const Clock& clock;
  Duration longest;
  // When each version was acknowledged at the latest; empty if that is not known.
  std::map<ModelName, Versions> models;
};

} // namespace damasklink
