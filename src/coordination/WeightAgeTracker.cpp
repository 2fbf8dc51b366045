#include "damasklink/coordination/WeightAgeTracker.h"

#include <algorithm>
#include <utility>

namespace damasklink {
namespace {

// Steps follow each other several times a second. After a longer pause this host may have missed
// messages.
constexpr Duration kMaxPause = std::chrono::seconds(1);

} // namespace

void
WeightAgeTracker::Step(bool aHasLeader)
{
  const MonotonicTime now = this->clock.MonotonicNow();
  const std::optional<MonotonicTime> before = std::exchange(this->lastStep, now);
  const bool stoodStill = before && now - *before > kMaxPause;
  if (!aHasLeader || stoodStill) {
    this->contactSince.reset();
  }
  if (!aHasLeader) {
    return;
  }
  this->contactSince = this->contactSince.value_or(now);
  if (now - *this->contactSince < kSettleTime) {
    return;
  }
  if (this->ages.HasUnknown()) {
    this->ages.ResolveUnknown(this->unknownSince.value_or(now));
    this->unknownSince.reset();
    ++this->changes;
  }
  this->lastCurrent = now;
}

void
WeightAgeTracker::OnApplied(const std::map<ModelName, std::uint64_t>& aNewest)
{
  for (const auto& [model, version] : aNewest) {
    if (std::exchange(this->applied[model], version) != version) {
      this->Take(AnnouncedWeights{ model, version, this->AgeOfNew() });
    }
  }
}

void
WeightAgeTracker::OnTold(const std::vector<AnnouncedWeights>& aTold)
{
  for (const AnnouncedWeights& announced : aTold) {
    this->Take(announced);
  }
}

void
WeightAgeTracker::Take(const AnnouncedWeights& aAnnounced)
{
  if (!aAnnounced.age) {
    this->unknownSince = this->unknownSince.value_or(this->clock.MonotonicNow());
  }
  this->changes += this->ages.Take(aAnnounced) ? 1 : 0;
}

std::optional<Duration>
WeightAgeTracker::AgeOfNew() const
{
  if (!this->lastCurrent) {
    return std::nullopt;
  }
  return std::min<Duration>(this->clock.MonotonicNow() - *this->lastCurrent, kMaxLag);
}

} // namespace damasklink
