#include "damasklink/coordination/TargetDirectory.h"

#include <algorithm>
#include <utility>

namespace damasklink {

namespace {

// In one life an engine's weights only get newer, so the highest version that anybody told counts.
void
KeepNewerWeights(const std::vector<ServedModel>& aOther, std::vector<ServedModel>& aTo)
{
  for (ServedModel& served : aTo) {
    for (const ServedModel& other : aOther) {
      const bool newer = WeightNumber(other.version) > WeightNumber(served.version);
      if (other.model == served.model && newer) {
        served.version = other.version;
      }
    }
  }
}

} // namespace

void
TargetDirectory::Take(const HostId& aFrom, const TargetStatement& aStatement)
{
  const auto [position, isNew] = this->entries.try_emplace(aStatement.record.id);
  Entry& entry = position->second;
  if (!isNew && aStatement.record.incarnation < entry.record.incarnation) {
    return;
  }
  if (!isNew && aStatement.record.incarnation > entry.record.incarnation) {
    this->ResetForRestart(aStatement, entry);
  }
  if (isNew && aStatement.standing == TargetStanding::Usable) {
    this->appeared.push_back(aStatement.record);
  }
  if (aStatement.record.sequence >= entry.record.sequence) {
    const std::vector<ServedModel> before = std::move(entry.record.models);
    entry.record = aStatement.record;
    KeepNewerWeights(before, entry.record.models);
  } else {
    KeepNewerWeights(aStatement.record.models, entry.record.models);
  }
  entry.words[aFrom] = Word{ aStatement.record.sequence, aStatement.standing, aStatement.paused };
  if (aStatement.standing == TargetStanding::Leaving) {
    this->MarkEntryRemoved(aStatement.record.id, entry);
  }
  this->Changed();
}

void
TargetDirectory::ResetForRestart(const TargetStatement& aStatement, Entry& aEntry)
{
  const TargetId& target = aStatement.record.id;
  if (aEntry.gone) {
    this->gone.erase(std::find(this->gone.begin(), this->gone.end(), target));
  }
  aEntry = Entry{};
  aEntry.record = aStatement.record;
  this->restarted.push_back(aStatement.record);
}

void
TargetDirectory::MarkEntryRemoved(const TargetId& aTarget, Entry& aEntry)
{
  if (std::exchange(aEntry.gone, true)) {
    return;
  }
  this->gone.push_back(aTarget);
  if (this->gone.size() > kMaxRemoved) {
    this->entries.erase(this->gone.front());
    this->gone.pop_front();
  }
}

void
TargetDirectory::OnLink(const HostId& aHost, bool aUp)
{
  const bool changed =
    aUp ? this->connected.insert(aHost).second : this->connected.erase(aHost) > 0;
  if (changed) {
    this->Changed();
  }
}

void
TargetDirectory::SetEvacuated(std::set<ZoneId> aZones)
{
  this->evacuated = std::move(aZones);
  this->Changed();
}

std::vector<TargetRecord>
TargetDirectory::InZone(const ZoneId& aZone) const
{
  std::vector<TargetRecord> found;
  for (const auto& [id, entry] : this->entries) {
    if (!entry.gone && entry.record.zone == aZone) {
      found.push_back(entry.record);
    }
  }
  return found;
}

bool
TargetDirectory::IsMostlySilent(const ZoneId& aZone) const
{
  std::size_t all = 0;
  std::size_t usable = 0;
  for (const auto& [id, entry] : this->entries) {
    if (!entry.gone && entry.record.zone == aZone) {
      ++all;
      usable += this->IsReportedUsable(entry) ? 1 : 0;
    }
  }
  return usable * 2 < all;
}

void
TargetDirectory::MarkRemoved(const TargetId& aTarget)
{
  const auto found = this->entries.find(aTarget);
  if (found != this->entries.end() && !found->second.gone) {
    this->MarkEntryRemoved(aTarget, found->second);
    this->Changed();
  }
}

const std::vector<TargetRecord>&
TargetDirectory::Usable(const ServiceName& aService) const
{
  static const std::vector<TargetRecord> kNone;
  if (this->builtVersion != this->version) {
    this->Rebuild();
  }
  const auto found = this->usable.find(aService);
  return found == this->usable.end() ? kNone : found->second;
}

const TargetRecord*
TargetDirectory::Find(const TargetId& aTarget) const
{
  const auto found = this->entries.find(aTarget);
  return found == this->entries.end() || found->second.gone ? nullptr : &found->second.record;
}

void
TargetDirectory::Changed()
{
  ++this->version;
}

// The words of connected hosts count; those of others only where no connected one has spoken.
bool
TargetDirectory::IsReportedUsable(const Entry& aEntry) const
{
  bool spoken = false;
  bool lastWord = false;
  for (const auto& [host, word] : aEntry.words) {
    const bool usable = word.standing == TargetStanding::Usable;
    if (this->connected.contains(host)) {
      if (usable) {
        return true;
      }
      spoken = true;
    }
    lastWord = lastWord || usable;
  }
  return !spoken && lastWord;
}

bool
TargetDirectory::IsPaused(const Entry& aEntry) const
{
  return std::any_of(aEntry.words.begin(), aEntry.words.end(), [&](const auto& aItem) {
    return aItem.second.paused && this->connected.contains(aItem.first);
  });
}

void
TargetDirectory::Rebuild() const
{
  this->usable.clear();
  std::map<ServiceName, std::vector<TargetRecord>> paused;
  std::map<ServiceName, std::vector<TargetRecord>> silent;
  for (const auto& [id, entry] : this->entries) {
    if (entry.gone || this->evacuated.contains(entry.record.zone)) {
      continue;
    }
    const ServiceName& service = entry.record.service;
    if (!this->IsReportedUsable(entry)) {
      silent[service].push_back(entry.record);
    } else if (this->IsPaused(entry)) {
      paused[service].push_back(entry.record);
    } else {
      this->usable[service].push_back(entry.record);
    }
  }
  for (auto* fallback : { &paused, &silent }) {
    for (auto& [service, targets] : *fallback) {
      this->usable.try_emplace(service, std::move(targets));
    }
  }
  this->builtVersion = this->version;
}

} // namespace damasklink
