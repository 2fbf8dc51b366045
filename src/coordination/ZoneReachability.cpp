#include "damasklink/coordination/ZoneReachability.h"

namespace damasklink {

void
ZoneReachability::OnStart(const ZoneId& aZone)
{
  const auto found = this->entries.find(aZone);
  if (found != this->entries.end() && found->second.doubted) {
    found->second.trying = true;
  }
}

void
ZoneReachability::OnEnd(const ZoneId& aZone, const TargetId& aTarget, HealthSign aSign)
{
  if (aSign == HealthSign::Good) {
    this->entries.erase(aZone);
    return;
  }
  if (aSign != HealthSign::Gone) {
    if (const auto found = this->entries.find(aZone); found != this->entries.end()) {
      found->second.trying = false;
    }
    return;
  }
  const MonotonicTime now = this->clock.MonotonicNow();
  Entry& entry = this->entries[aZone];
  entry.trying = false;
  if (entry.gone.empty() || now - entry.goneSince > kDetectionWindow) {
    entry.gone.clear();
    entry.goneSince = now;
  }
  entry.gone.insert(aTarget);
  if (entry.doubted || entry.gone.size() >= kUnreachableTargets) {
    this->PutOut(entry);
  }
}

void
ZoneReachability::PutOut(Entry& aEntry)
{
  std::uniform_int_distribution<std::int64_t> jitter(0, kRetryDelay.count() / 4);
  aEntry.outUntil = this->clock.MonotonicNow() + kRetryDelay + Duration(jitter(this->random));
  aEntry.doubted = true;
}

bool
ZoneReachability::IsUnreachable(const ZoneId& aZone) const
{
  const auto found = this->entries.find(aZone);
  if (found == this->entries.end() || !found->second.doubted) {
    return false;
  }
  return found->second.trying || this->clock.MonotonicNow() < found->second.outUntil;
}

} // namespace damasklink
