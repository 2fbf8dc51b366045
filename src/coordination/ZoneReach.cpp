#include "damasklink/coordination/ZoneReach.h"

namespace damasklink {

void
ZoneReach::OnStart(const ZoneId& aZone)
{
  const auto found = this->entries.find(aZone);
  if (found != this->entries.end() && found->second.doubted) {
    found->second.trying = true;
  }
}

void
ZoneReach::OnEnd(const ZoneId& aZone, const TargetId& aTarget, HealthSignal aSign)
{
  if (aSign == HealthSignal::Good) {
    this->entries.erase(aZone);
    return;
  }
  if (aSign != HealthSignal::NotReached) {
    if (const auto found = this->entries.find(aZone); found != this->entries.end()) {
      found->second.trying = false;
    }
    return;
  }
  const MonotonicTime now = this->clock.MonotonicNow();
  Entry& entry = this->entries[aZone];
  entry.trying = false;
  if (entry.gone.empty() || now - entry.goneSince > kGoneWithin) {
    entry.gone.clear();
    entry.goneSince = now;
  }
  entry.gone.insert(aTarget);
  if (entry.doubted || entry.gone.size() >= kTargetsGone) {
    this->PutOut(entry);
  }
}

void
ZoneReach::PutOut(Entry& aEntry)
{
  std::uniform_int_distribution<std::int64_t> jitter(0, kOutFor.count() / 4);
  aEntry.outUntil = this->clock.MonotonicNow() + kOutFor + Duration(jitter(this->random));
  aEntry.doubted = true;
}

bool
ZoneReach::IsOut(const ZoneId& aZone) const
{
  const auto found = this->entries.find(aZone);
  if (found == this->entries.end() || !found->second.doubted) {
    return false;
  }
  return found->second.trying || this->clock.MonotonicNow() < found->second.outUntil;
}

} // namespace damasklink
