#include "damasklink/coordination/TargetDirectory.h"

#include <algorithm>
#include <utility>

namespace damasklink {

namespace {

// Keeps the highest version of each model's weights that any host reported: within one incarnation
// the weights of an engine only become newer.
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
TargetDirectory::Take(const HostId& aFrom, const TargetUpdate& aUpdate)
{
  const auto [position, isNew] = this->entries.try_emplace(aUpdate.record.id);
  Entry& entry = position->second;
  if (!isNew && aUpdate.record.incarnation < entry.record.incarnation) {
    return;
  }
  if (!isNew && aUpdate.record.incarnation > entry.record.incarnation) {
    this->ResetForRestart(aUpdate, entry);
  }
  if (isNew && aUpdate.standing == TargetAvailability::Usable) {
    this->discovered.push_back(aUpdate.record);
  }
  if (aUpdate.record.sequence >= entry.record.sequence) {
    const std::vector<ServedModel> before = std::move(entry.record.models);
    entry.record = aUpdate.record;
    KeepNewerWeights(before, entry.record.models);
  } else {
    KeepNewerWeights(aUpdate.record.models, entry.record.models);
  }
  entry.reports[aFrom] = HostReport{ aUpdate.record.sequence, aUpdate.standing, aUpdate.paused };
  if (aUpdate.standing == TargetAvailability::Leaving) {
    this->MarkEntryRemoved(aUpdate.record.id, entry);
  }
  this->Changed();
}

void
TargetDirectory::SetSubsets(const HostId& aFrom, const SubsetCounts& aCounts)
{
  this->subsets[aFrom] = aCounts;
  for (auto& [target, entry] : this->entries) {
    if (this->IsOutsideSubset(aCounts, entry.record)) {
      entry.reports.erase(aFrom);
    }
  }
  std::erase_if(this->entries, [](const auto& aItem) {
    return aItem.second.reports.empty() && !aItem.second.removed;
  });
  this->Changed();
}

bool
TargetDirectory::IsOutsideSubset(const SubsetCounts& aCounts, const TargetRecord& aTarget) const
{
  const std::uint32_t count = SubsetCountOf(aCounts, aTarget.service);
  return !IsInSubset(count, this->self, SubsetKeyOf(aTarget.id));
}

// Returns whether a connected control host reports other targets of the service to this host.
bool
TargetDirectory::IsExcludedBySubsets(const TargetRecord& aTarget) const
{
  return std::any_of(this->subsets.begin(), this->subsets.end(), [&](const auto& aItem) {
    return this->connected.contains(aItem.first) && this->IsOutsideSubset(aItem.second, aTarget);
  });
}

void
TargetDirectory::ResetForRestart(const TargetUpdate& aUpdate, Entry& aEntry)
{
  const TargetId& target = aUpdate.record.id;
  if (aEntry.removed) {
    this->removed.erase(std::find(this->removed.begin(), this->removed.end(), target));
  }
  aEntry = Entry{};
  aEntry.record = aUpdate.record;
  this->restarted.push_back(aUpdate.record);
}

void
TargetDirectory::MarkEntryRemoved(const TargetId& aTarget, Entry& aEntry)
{
  if (std::exchange(aEntry.removed, true)) {
    return;
  }
  this->removed.push_back(aTarget);
  if (this->removed.size() > kMaxRemoved) {
    this->entries.erase(this->removed.front());
    this->removed.pop_front();
  }
}

void
TargetDirectory::OnLink(const HostId& aHost, bool aUp)
{
  const bool changed =
    aUp ? this->connected.insert(aHost).second : this->connected.erase(aHost) > 0;
  if (changed) {
    // After a reconnection the control host reports its subsets again, if it has divided any.
    this->subsets.erase(aHost);
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
    if (!entry.removed && entry.record.zone == aZone) {
      found.push_back(entry.record);
    }
  }
  return found;
}

std::uint32_t
TargetDirectory::SubsetCount(const ServiceName& aService) const
{
  std::uint32_t count = 1;
  for (const auto& [host, counts] : this->subsets) {
    count = std::max(count, SubsetCountOf(counts, aService));
  }
  return count;
}

bool
TargetDirectory::IsMostlySilent(const ZoneId& aZone) const
{
  std::size_t all = 0;
  std::size_t usable = 0;
  for (const auto& [id, entry] : this->entries) {
    if (!entry.removed && entry.record.zone == aZone) {
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
  if (found != this->entries.end() && !found->second.removed) {
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
  return found == this->entries.end() || found->second.removed ? nullptr : &found->second.record;
}

void
TargetDirectory::Changed()
{
  ++this->version;
}

// Reports of connected hosts take precedence; those of other hosts count only where no connected
// host has reported, or would report, the target.
bool
TargetDirectory::IsReportedUsable(const Entry& aEntry) const
{
  bool reported = false;
  bool lastReportUsable = false;
  for (const auto& [host, report] : aEntry.reports) {
    const bool usable = report.availability == TargetAvailability::Usable;
    if (this->connected.contains(host)) {
      if (usable) {
        return true;
      }
      reported = true;
    }
    lastReportUsable = lastReportUsable || usable;
  }
  return !reported && lastReportUsable && !this->IsExcludedBySubsets(aEntry.record);
}

bool
TargetDirectory::IsPaused(const Entry& aEntry) const
{
  return std::any_of(aEntry.reports.begin(), aEntry.reports.end(), [&](const auto& aItem) {
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
    if (entry.removed || this->evacuated.contains(entry.record.zone)) {
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
