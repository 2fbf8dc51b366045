#include "damasklink/coordination/TargetRegistry.h"

#include <tuple>

namespace damasklink {
namespace {

// Targets are remembered for this many silence limits. An old announcement could bring back a
// forgotten target, so this must exceed any delay of an announcement.
constexpr int kRetentionSilences = 300;

auto
VersionOfRecord(const TargetRecord& aRecord)
{
  return std::tie(aRecord.incarnation, aRecord.sequence);
}

} // namespace

TargetRegistry::TargetRegistry(const Clock& aClock, Duration aSilence)
  : clock(aClock)
  , silenceLimit(aSilence)
{
}

bool
TargetRegistry::Merge(const TargetRecord& aRecord)
{
  return this->Merge(aRecord, this->silenceLimit);
}

bool
TargetRegistry::Merge(const TargetRecord& aRecord, Duration aSilence)
{
  const auto [position, isNew] = this->entries.try_emplace(aRecord.id);
  Entry& entry = position->second;
  if (!isNew && VersionOfRecord(aRecord) <= VersionOfRecord(entry.record)) {
    return false;
  }
  const bool sameIncarnation = !isNew && aRecord.incarnation == entry.record.incarnation;
  const bool stickyLeaving = sameIncarnation && entry.record.leaving;
  if (isNew || entry.record.endpoint != aRecord.endpoint) {
    this->MoveAddress(aRecord.id, entry.record.endpoint, aRecord.endpoint);
  }
  entry.record = aRecord;
  entry.record.leaving = aRecord.leaving || stickyLeaving;
  entry.lastHeard = this->clock.MonotonicNow();
  entry.silenceLimit = aSilence;
  entry.silent = false;
  if (!entry.record.leaving) {
    this->MarkOthersSilentAt(entry.record);
  }
  return true;
}

void
TargetRegistry::MarkOthersSilentAt(const TargetRecord& aRecord)
{
  if (aRecord.endpoint.port == 0) {
    return;
  }
  for (const TargetId& target : this->addresses.at(aRecord.endpoint)) {
    if (target != aRecord.id) {
      this->entries.at(target).silent = true;
    }
  }
}

void
TargetRegistry::MoveAddress(const TargetId& aTarget, const Endpoint& aFrom, const Endpoint& aTo)
{
  this->ForgetAddress(aTarget, aFrom);
  this->addresses[aTo].insert(aTarget);
}

void
TargetRegistry::ForgetAddress(const TargetId& aTarget, const Endpoint& aAddress)
{
  const auto found = this->addresses.find(aAddress);
  if (found == this->addresses.end()) {
    return;
  }
  found->second.erase(aTarget);
  if (found->second.empty()) {
    this->addresses.erase(found);
  }
}

bool
TargetRegistry::Refresh(const TargetId& aTarget,
                        Incarnation aIncarnation,
                        Sequence aSequence,
                        const TargetLoad& aLoad)
{
  const auto found = this->entries.find(aTarget);
  if (found == this->entries.end() || found->second.record.incarnation != aIncarnation) {
    return false;
  }
  Entry& entry = found->second;
  if (aSequence <= entry.record.sequence) {
    // A repeated sequence shows that the host which forwards it is alive, not the target.
    return true;
  }
  entry.record.sequence = aSequence;
  entry.record.load = aLoad;
  entry.lastHeard = this->clock.MonotonicNow();
  entry.silent = false;
  return true;
}

void
TargetRegistry::MarkSilent(const TargetId& aTarget, Incarnation aIncarnation, Sequence aSequence)
{
  const auto found = this->entries.find(aTarget);
  if (found == this->entries.end()) {
    return;
  }
  if (VersionOfRecord(found->second.record) <= std::tie(aIncarnation, aSequence)) {
    found->second.silent = true;
  }
}

const TargetRecord*
TargetRegistry::Find(const TargetId& aTarget) const
{
  const auto found = this->entries.find(aTarget);
  return found == this->entries.end() ? nullptr : &found->second.record;
}

bool
TargetRegistry::IsUsable(const Entry& aEntry) const
{
  const Duration silentFor = this->clock.MonotonicNow() - aEntry.lastHeard;
  return !aEntry.silent && !aEntry.record.leaving && silentFor < aEntry.silenceLimit;
}

bool
TargetRegistry::IsUsable(const TargetId& aTarget) const
{
  const auto found = this->entries.find(aTarget);
  return found != this->entries.end() && this->IsUsable(found->second);
}

std::vector<TargetRecord>
TargetRegistry::Usable() const
{
  std::vector<TargetRecord> usable;
  for (const auto& [id, entry] : this->entries) {
    if (this->IsUsable(entry)) {
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
TargetRegistry::ForEach(const std::function<void(const TargetRecord&)>& aVisit) const
{
  for (const auto& [id, entry] : this->entries) {
    aVisit(entry.record);
  }
}

std::vector<TargetId>
TargetRegistry::TakeUsabilityChanges()
{
  std::vector<TargetId> changed;
  for (auto& [id, entry] : this->entries) {
    const bool usable = this->IsUsable(entry);
    if (usable != entry.reportedUsable) {
      entry.reportedUsable = usable;
      changed.push_back(id);
    }
  }
  return changed;
}

void
TargetRegistry::Expire()
{
  const MonotonicTime now = this->clock.MonotonicNow();
  std::erase_if(this->entries, [&](const auto& aItem) {
    const bool expired = now - aItem.second.lastHeard >= this->silenceLimit * kRetentionSilences;
    if (expired) {
      this->ForgetAddress(aItem.first, aItem.second.record.endpoint);
    }
    return expired;
  });
}

} // namespace damasklink
