#include "damasklink/coordination/TargetRestPeriods.h"

#include <algorithm>

namespace damasklink {

void
TargetRestPeriods::OnAsked(const TargetId& aTarget, Duration aRest)
{
  if (aRest <= Duration::zero()) {
    return;
  }
  MonotonicTime& end = this->until[aTarget];
  end = std::max(end, this->clock.MonotonicNow() + aRest);
}

Duration
TargetRestPeriods::Remaining(const TargetId& aTarget) const
{
  const auto found = this->until.find(aTarget);
  if (found == this->until.end()) {
    return Duration::zero();
  }
  return std::max(found->second - this->clock.MonotonicNow(), Duration::zero());
}

void
TargetRestPeriods::RemoveExpired()
{
  const MonotonicTime now = this->clock.MonotonicNow();
  absl::erase_if(this->until, [now](const auto& aItem) { return aItem.second <= now; });
}

} // namespace damasklink
