#include "damasklink/coordination/TargetRegistry.h"

#include <tuple>

namespace damasklink {
namespace {

// A forgotten target could be revived by an old announcement, so memory outlasts any delay.
constexpr int kRememberedSilences = 300;

auto
AgeOf(const TargetRecord& aRecord)
{
  return std::tie(aRecord.incarnation, aRecord.sequence);
}

} // namespace

TargetRegistry::TargetRegistry(const Clock& aClock, Duration aSilence)
  : clock(aClock)
  , silence(aSilence)
{
}

bool
TargetRegistry::Merge(const TargetRecord& aRecord)
{
  const auto [position, isNew] = this->entries.try_emplace(aRecord.id);
  Entry& entry = position->second;
  if (!isNew && AgeOf(aRecord) <= AgeOf(entry.record)) {
    return false;
  }
  const bool sameLife = !isNew && aRecord.incarnation == entry.record.incarnation;
  const bool stickyLeaving = sameLife && entry.record.leaving;
  entry.record = aRecord;
  entry.record.leaving = aRecord.leaving || stickyLeaving;
  entry.heard = this->clock.MonotonicNow();
  return true;
}

std::vector<TargetRecord>
TargetRegistry::Usable() const
{
  std::vector<TargetRecord> usable;
  const MonotonicTime now = this->clock.MonotonicNow();
  for (const auto& [id, entry] : this->entries) {
    const bool silent = now - entry.heard >= this->silence;
    if (!silent && !entry.record.leaving) {
      usable.push_back(entry.record);
    }
  }
  return usable;
}

std::vector<TargetRecord>
TargetRegistry::All() const
{
  std::vector<TargetRecord> all;
  for (const auto& [id, entry] : this->entries) {
    all.push_back(entry.record);
  }
  return all;
}

void
TargetRegistry::Expire()
{
  const MonotonicTime now = this->clock.MonotonicNow();
  std::erase_if(this->entries, [&](const auto& aItem) {
    return now - aItem.second.heard >= this->silence * kRememberedSilences;
  });
}

} // namespace damasklink
