#include "damasklink/coordination/TargetHealth.h"

#include <algorithm>

namespace damasklink {

void
TargetHealth::OnStart(const TargetId& aTarget)
{
  const auto found = this->entries.find(aTarget);
  if (found != this->entries.end() && found->second.ejections > 0) {
    found->second.probing = true;
  }
}

void
TargetHealth::OnEnd(const TargetId& aTarget, HealthSign aSign)
{
  if (aSign == HealthSign::Good) {
    this->entries.erase(aTarget);
    return;
  }
  if (aSign == HealthSign::None) {
    if (const auto found = this->entries.find(aTarget); found != this->entries.end()) {
      found->second.probing = false;
    }
    return;
  }
  Entry& entry = this->entries[aTarget];
  ++entry.failures;
  const bool probeFailed = entry.probing;
  entry.probing = false;
  const bool alreadyOut = this->clock.MonotonicNow() < entry.ejectedUntil;
  const bool enough = entry.failures >= kFailuresInRow || aSign == HealthSign::Gone;
  if (!alreadyOut && (probeFailed || enough)) {
    this->Eject(entry);
  }
}

void
TargetHealth::Eject(Entry& aEntry)
{
  Duration length = kFirstEjection;
  for (int index = 0; index < aEntry.ejections && length < kLongestEjection; ++index) {
    length *= 2;
  }
  length = std::min(length, kLongestEjection);
  // Jitter, so that targets ejected together do not come back together.
  std::uniform_int_distribution<std::int64_t> jitter(0, length.count() / 4);
  aEntry.ejectedUntil = this->clock.MonotonicNow() + length + Duration(jitter(this->random));
  ++aEntry.ejections;
}

bool
TargetHealth::IsOut(const TargetId& aTarget) const
{
  const auto found = this->entries.find(aTarget);
  if (found == this->entries.end()) {
    return false;
  }
  return found->second.probing || this->clock.MonotonicNow() < found->second.ejectedUntil;
}

std::vector<TargetRecord>
TargetHealth::Filter(const std::vector<TargetRecord>& aTargets) const
{
  std::vector<TargetRecord> fit;
  std::vector<const TargetRecord*> out;
  for (const TargetRecord& target : aTargets) {
    if (this->IsOut(target.id)) {
      out.push_back(&target);
    } else {
      fit.push_back(target);
    }
  }
  const std::size_t floor = (aTargets.size() + 1) / 2;
  for (const TargetRecord* target : out) {
    if (fit.size() >= floor) {
      break;
    }
    fit.push_back(*target);
  }
  return fit;
}

} // namespace damasklink
