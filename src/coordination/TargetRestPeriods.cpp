#include "damasklink/coordination/TargetRestPeriods.h"

#include <algorithm>

namespace damasklink {

void
TargetRestPeriods::OnAsked(const TargetId& aTarget, Incarnation aIncarnation, Duration aRest)
{
  if (aRest <= Duration::zero()) {
    return;
  }
  Entry& entry = this->entries[aTarget];
  if (aIncarnation < entry.incarnation) {
    return;
  }
  if (aIncarnation > entry.incarnation) {
    entry = Entry{ aIncarnation, MonotonicTime() };
  }
  entry.until = std::max(entry.until, this->clock.MonotonicNow() + aRest);
}

Duration
TargetRestPeriods::Remaining(const TargetId& aTarget, Incarnation aIncarnation) const
{
  const auto found = this->entries.find(aTarget);
  if (found == this->entries.end() || found->second.incarnation < aIncarnation) {
    return Duration::zero();
  }
  return std::max(found->second.until - this->clock.MonotonicNow(), Duration::zero());
}

void
TargetRestPeriods::RemoveExpired()
{
  const MonotonicTime now = this->clock.MonotonicNow();
  absl::erase_if(this->entries, [now](const auto& aItem) { return aItem.second.until <= now; });
}

} // namespace damasklink
