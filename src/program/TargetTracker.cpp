#include "TargetTracker.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

#include "damasklink/transport/Log.h"

namespace damasklink {

TargetTracker::TargetTracker(const Clock& aClock, Duration aSilence)
  : registry(aClock, aSilence)
{
}

bool
TargetTracker::OnHeartbeat(const TargetRecord& aRecord)
{
  const TargetRecord* known = this->registry.Find(aRecord.id);
  const bool itsService = known != nullptr && known->service == aRecord.service;
  if (this->services && !this->services->contains(aRecord.service) && !itsService) {
    return false;
  }
  if (this->Merge(aRecord)) {
    this->news[aRecord.id] = aRecord;
  }
  return true;
}

void
TargetTracker::OnRelayedRecord(const TargetRecord& aRecord)
{
  this->Merge(aRecord);
}

bool
TargetTracker::Merge(const TargetRecord& aRecord)
{
  const bool isNews = this->registry.Merge(aRecord);
  if (isNews) {
    this->touched.insert(aRecord.id);
    this->AddColdTarget(aRecord, aRecord.coldFor);
  }
  return isNews;
}

void
TargetTracker::AddColdTarget(const TargetRecord& aRecord, Duration aColdFor)
{
  const auto traits = this->coldStartSpecs.find(aRecord.service);
  if (aColdFor > Duration::zero() && traits != this->coldStartSpecs.end()) {
    this->cold.push_back(
      ColdTarget{ aRecord.id, aRecord.incarnation, aColdFor, traits->second.rate });
  }
}

void
TargetTracker::OnZoneReturned(const ZoneId& aZone)
{
  for (const TargetRecord& record : this->registry.All()) {
    const auto traits = this->coldStartSpecs.find(record.service);
    if (record.zone == aZone && traits != this->coldStartSpecs.end()) {
      this->AddColdTarget(record, traits->second.lasts);
    }
  }
}

void
TargetTracker::OnDeparture(const TargetId& aTarget, Incarnation aIncarnation)
{
  TargetRecord record;
  record.incarnation = aIncarnation;
  if (const TargetRecord* known = this->registry.Find(aTarget); known != nullptr) {
    const bool ofEarlierStart = aIncarnation > Incarnation() && aIncarnation < known->incarnation;
    if (ofEarlierStart) {
      return;
    }
    record = *known;
    record.incarnation = std::max(aIncarnation, known->incarnation);
  }
  record.id = aTarget;
  record.leaving = true;
  // Higher than any heartbeat that is still on its way.
  record.sequence = Sequence(std::numeric_limits<std::uint64_t>::max());
  if (this->Merge(record)) {
    this->news[aTarget] = record;
  }
}

TargetUpdate
TargetTracker::MakeTargetUpdate(const TargetRecord& aRecord) const
{
  TargetUpdate statement;
  statement.record = aRecord;
  statement.paused = this->paused.contains(aRecord.id);
  for (ServedModel& served : statement.record.models) {
    const auto found = this->reported.find({ aRecord.id, served.model });
    if (found != this->reported.end() && found->second > WeightNumber(served.version)) {
      served.version = WeightVersion(std::to_string(found->second));
    }
  }
  if (aRecord.leaving) {
    statement.standing = TargetAvailability::Leaving;
  } else if (!this->registry.IsUsable(aRecord.id)) {
    statement.standing = TargetAvailability::Silent;
  }
  return statement;
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
    TargetUpdate statement = this->MakeTargetUpdate(*record);
    TargetUpdate& before = this->published[target];
    // A heartbeat that says the same again is no news to an entry host.
    before.record.sequence = record->sequence;
    before.record.load = record->load;
    if (statement == before) {
      continue;
    }
    LogEvent(LogLevel::Info, "target_changed")
      .With("target", target)
      .With("service", record->service)
      .With("address", FormatEndpoint(record->endpoint))
      .With("standing", static_cast<int>(statement.standing))
      .With("paused", statement.paused)
      .With("sequence", record->sequence);
    before = std::move(statement);
    this->unpublished.insert(target);
    ++this->changeCount;
    this->enginesListed = false;
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
  for (const auto& [target, statement] : this->published) {
    if (statement.record.kind != TargetKind::Engine) {
      continue;
    }
    if (statement.standing == TargetAvailability::Usable) {
      this->usableEngines.push_back(statement.record);
    }
    if (statement.standing != TargetAvailability::Leaving) {
      this->remainingEngines.push_back(statement.record);
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
  const auto touchAll = [this](const auto& aReports) {
    for (const auto& [engine, version] : aReports) {
      this->touched.insert(engine.first);
    }
  };
  touchAll(this->reported);
  touchAll(aReported);
  this->reported = aReported;
}

std::vector<TargetUpdate>
TargetTracker::TakeDirectUpdates()
{
  std::vector<TargetUpdate> statements;
  for (const auto& [id, record] : std::exchange(this->news, {})) {
    statements.push_back(this->MakeTargetUpdate(record));
  }
  return statements;
}

std::vector<TargetUpdate>
TargetTracker::All() const
{
  std::vector<TargetUpdate> statements;
  for (const TargetRecord& record : this->registry.All()) {
    statements.push_back(this->MakeTargetUpdate(record));
  }
  return statements;
}

} // namespace damasklink
