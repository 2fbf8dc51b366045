#include "damasklink/coordination/ZoneReachability.h"

namespace damasklink {

void
ZoneReachability::OnStart(const ZoneId& aZone)
{
  const auto found = this->entries.find(aZone);
  if (found != this->entries.end() && found->second.unreachable) {
    found->second.probing = true;
  }
}

void
ZoneReachability::OnEnd(const ZoneId& aZone, const TargetId& aTarget, HealthSignal aSign)
{
  if (aSign == HealthSignal::Good) {
    this->entries.erase(aZone);
    return;
  }
  if (aSign != HealthSignal::NotReached) {
    if (const auto found = this->entries.find(aZone); found != this->entries.end()) {
      found->second.probing = false;
    }
    return;
  }
  const MonotonicTime now = this->clock.MonotonicNow();
  Entry& entry = this->entries[aZone];
  entry.probing = false;
  if (entry.failedTargets.empty() || now - entry.firstFailureAt > kDetectionWindow) {
    entry.failedTargets.clear();
    entry.firstFailureAt = now;
  }
  entry.failedTargets.insert(aTarget);
  if (entry.unreachable || entry.failedTargets.size() >= kUnreachableTargets) {
    this->MarkUnreachable(entry);
  }
}

void
ZoneReachability::MarkUnreachable(Entry& aEntry)
{
  std::uniform_int_distribution<std::int64_t> jitter(0, kRetryDelay.count() / 4);
  aEntry.retryAt = this->clock.MonotonicNow() + kRetryDelay + Duration(jitter(this->random));
  aEntry.unreachable = true;
}

bool
ZoneReachability::IsUnreachable(const ZoneId& aZone) const
{
  const auto found = this->entries.find(aZone);
  if (found == this->entries.end() || !found->second.unreachable) {
    return false;
  }
  return found->second.probing || this->clock.MonotonicNow() < found->second.retryAt;
}

} // namespace damasklink
