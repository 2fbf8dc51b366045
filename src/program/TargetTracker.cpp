#include "TargetTracker.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

#include "damasklink/transport/Log.h"

namespace damasklink {

TargetTracker::TargetTracker(const Clock& aClock, Duration aSilence)
  : registry(aClock, aSilence)
  , versions(aClock)
{
}

bool
TargetTracker::OnHeartbeat(const TargetRecord& aRecord)
{
  const TargetRecord* known = this->registry.Find(aRecord.id);
  const bool sameService = known != nullptr && known->service == aRecord.service;
  if (this->services && !this->services->contains(aRecord.service) && !sameService) {
    return false;
  }
  if (this->Merge(aRecord)) {
    // As merged: a late heartbeat is passed on as that of a target that leaves.
    this->directRecords[aRecord.id] = *this->registry.Find(aRecord.id);
  }
  return true;
}

void
TargetTracker::OnRelayedRecord(const TargetRecord& aRecord)
{
  this->Merge(aRecord);
}

bool
TargetTracker::Merge(TargetRecord aRecord)
{
  const bool hasDeparted =
    this->departed != nullptr && this->departed->Contains(aRecord.id, aRecord.incarnation);
  if (hasDeparted && !aRecord.leaving) {
    LogEvent(LogLevel::Info, "late_heartbeat")
      .With("target", aRecord.id)
      .With("incarnation", aRecord.incarnation)
      .With("sequence", aRecord.sequence);
    aRecord.leaving = true;
  }
  const bool isNew = this->registry.Merge(aRecord);
  if (isNew) {
    this->touched.insert(aRecord.id);
    if (!aRecord.service.Empty()) {
      this->versions.Observe(aRecord.service, aRecord.software);
    }
    this->AddColdTarget(aRecord, aRecord.coldFor);
  }
  return isNew;
}

void
TargetTracker::AddColdTarget(const TargetRecord& aRecord, Duration aColdFor)
{
  const auto spec = this->coldStartSpecs.find(aRecord.service);
  if (aColdFor > Duration::zero() && spec != this->coldStartSpecs.end()) {
    this->cold.push_back(
      ColdTarget{ aRecord.id, aRecord.incarnation, aColdFor, spec->second.rate });
  }
}

void
TargetTracker::OnZoneReturned(const ZoneId& aZone)
{
  for (const TargetRecord& record : this->registry.All()) {
    const auto spec = this->coldStartSpecs.find(record.service);
    if (record.zone == aZone && spec != this->coldStartSpecs.end()) {
      this->AddColdTarget(record, spec->second.lasts);
    }
  }
}

void
TargetTracker::OnDeparture(const TargetId& aTarget, Incarnation aIncarnation)
{
  TargetRecord record;
  record.incarnation = aIncarnation;
  if (const TargetRecord* known = this->registry.Find(aTarget); known != nullptr) {
    const bool ofEarlierIncarnation =
      aIncarnation > Incarnation() && aIncarnation < known->incarnation;
    if (ofEarlierIncarnation) {
      return;
    }
    record = *known;
    record.incarnation = std::max(aIncarnation, known->incarnation);
  }
  record.id = aTarget;
  record.leaving = true;
  // Higher than that of any heartbeat that may still arrive.
  record.sequence = Sequence(std::numeric_limits<std::uint64_t>::max());
  if (this->Merge(record)) {
    this->directRecords[aTarget] = record;
  }
}

void
TargetTracker::OnDepartureCommitted(const DepartedTarget& aDeparture)
{
  const TargetRecord* known = this->registry.Find(aDeparture.target);
  if (known != nullptr && !known->leaving && known->incarnation <= aDeparture.incarnation) {
    this->OnDeparture(aDeparture.target, aDeparture.incarnation);
  }
}

TargetUpdate
TargetTracker::MakeTargetUpdate(const TargetRecord& aRecord) const
{
  TargetUpdate update;
  update.record = aRecord;
  update.paused = this->paused.contains(aRecord.id);
  for (ServedModel& served : update.record.models) {
    const auto found = this->reported.find({ aRecord.id, served.model });
    if (found != this->reported.end() && found->second > WeightNumber(served.version)) {
      served.version = WeightVersion(std::to_string(found->second));
    }
  }
  if (aRecord.leaving) {
    update.standing = TargetAvailability::Leaving;
  } else if (!this->registry.IsUsable(aRecord.id)) {
    update.standing = TargetAvailability::Silent;
  }
  return update;
}

void
TargetTracker::FindChanges()
{
  for (TargetId& target : this->registry.TakeUsabilityChanges()) {
    this->touched.insert(std::move(target));
  }
  for (const TargetId& target : std::exchange(this->touched, {})) {
    const TargetRecord* record = this->registry.Find(target);
    if (record == nullptr) {
      continue;
    }
    TargetUpdate update = this->MakeTargetUpdate(*record);
    TargetUpdate& before = this->published[target];
    // Sequence and load differ in each heartbeat and are not published by themselves.
    before.record.sequence = record->sequence;
    before.record.load = record->load;
    // Entry hosts count down the cold period by themselves.
    if (record->coldFor <= before.record.coldFor) {
      before.record.coldFor = record->coldFor;
    }
    if (update == before) {
      continue;
    }
    LogEvent(LogLevel::Info, "target_changed")
      .With("target", target)
      .With("service", record->service)
      .With("software", record->software)
      .With("address", FormatEndpoint(record->endpoint))
      .With("standing", static_cast<int>(update.standing))
      .With("paused", update.paused)
      .With("sequence", record->sequence);
    this->CountTarget(before, update);
    before = std::move(update);
    this->unpublished.insert(target);
    if (this->directRecords.contains(target)) {
      this->changedDirect.insert(target);
    }
    ++this->changeCount;
    this->enginesListed = false;
  }
}

void
TargetTracker::CountTarget(const TargetUpdate& aBefore, const TargetUpdate& aNow)
{
  const bool wasCounted =
    !aBefore.record.id.Empty() && aBefore.standing != TargetAvailability::Leaving;
  if (wasCounted) {
    --this->targetCounts[aBefore.record.service];
  }
  if (aNow.standing != TargetAvailability::Leaving) {
    ++this->targetCounts[aNow.record.service];
  }
}

std::vector<TargetUpdate>
TargetTracker::TakeChanges()
{
  this->FindChanges();
  std::vector<TargetUpdate> changes;
  for (const TargetId& target : std::exchange(this->unpublished, {})) {
    changes.push_back(this->published.at(target));
  }
  return changes;
}

std::uint64_t
TargetTracker::ChangeCount()
{
  this->FindChanges();
  return this->changeCount;
}

const std::vector<TargetRecord>&
TargetTracker::UsableEngines()
{
  this->ListEngines();
  return this->usableEngines;
}

const std::vector<TargetRecord>&
TargetTracker::RemainingEngines()
{
  this->ListEngines();
  return this->remainingEngines;
}

void
TargetTracker::ListEngines()
{
  this->FindChanges();
  if (std::exchange(this->enginesListed, true)) {
    return;
  }
  this->usableEngines.clear();
  this->remainingEngines.clear();
  for (const auto& [target, update] : this->published) {
    if (update.record.kind != TargetKind::Engine) {
      continue;
    }
    if (update.standing == TargetAvailability::Usable) {
      this->usableEngines.push_back(update.record);
    }
    if (update.standing != TargetAvailability::Leaving) {
      this->remainingEngines.push_back(update.record);
    }
  }
}

void
TargetTracker::SetPaused(std::set<TargetId> aTargets)
{
  std::set_symmetric_difference(this->paused.begin(),
                                this->paused.end(),
                                aTargets.begin(),
                                aTargets.end(),
                                std::inserter(this->touched, this->touched.end()));
  this->paused = std::move(aTargets);
}

void
TargetTracker::SetReportedWeights(
  const std::map<std::pair<TargetId, ModelName>, std::uint64_t>& aReported)
{
  if (aReported == this->reported) {
    return;
  }
  const auto markTouched = [this](const auto& aReports) {
    for (const auto& [engine, version] : aReports) {
      this->touched.insert(engine.first);
    }
  };
  markTouched(this->reported);
  markTouched(aReported);
  this->reported = aReported;
}

std::vector<TargetUpdate>
TargetTracker::TakeChangedDirectUpdates()
{
  std::vector<TargetUpdate> updates;
  for (const TargetId& target : std::exchange(this->changedDirect, {})) {
    const auto found = this->directRecords.find(target);
    if (found != this->directRecords.end()) {
      updates.push_back(this->MakeTargetUpdate(found->second));
      this->directRecords.erase(found);
    }
  }
  return updates;
}

std::vector<TargetUpdate>
TargetTracker::TakeDirectUpdates()
{
  this->changedDirect.clear();
  std::vector<TargetUpdate> updates;
  for (const auto& [id, record] : std::exchange(this->directRecords, {})) {
    updates.push_back(this->MakeTargetUpdate(record));
  }
  return updates;
}

std::vector<TargetUpdate>
TargetTracker::AllOf(const std::function<bool(const TargetRecord&)>& aWanted) const
{
  std::vector<TargetUpdate> updates;
  this->registry.ForEach([&](const TargetRecord& aRecord) {
    if (aWanted(aRecord)) {
      updates.push_back(this->MakeTargetUpdate(aRecord));
    }
  });
  return updates;
}

} // namespace damasklink
