#include "ControlPicture.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

#include "damasklink/transport/Log.h"

namespace damasklink {

ControlPicture::ControlPicture(const Clock& aClock, Duration aSilence)
  : registry(aClock, aSilence)
{
}

bool
ControlPicture::Hear(const TargetRecord& aRecord)
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
ControlPicture::HearSecondHand(const TargetRecord& aRecord)
{
  this->Merge(aRecord);
}

bool
ControlPicture::Merge(const TargetRecord& aRecord)
{
  const bool isNews = this->registry.Merge(aRecord);
  if (isNews) {
    this->touched.insert(aRecord.id);
    this->NoteCold(aRecord, aRecord.coldFor);
  }
  return isNews;
}

void
ControlPicture::NoteCold(const TargetRecord& aRecord, Duration aColdFor)
{
  const auto traits = this->coldTraits.find(aRecord.service);
  if (aColdFor > Duration::zero() && traits != this->coldTraits.end()) {
    this->cold.push_back(
      ColdTarget{ aRecord.id, aRecord.incarnation, aColdFor, traits->second.rate });
  }
}

void
ControlPicture::OnZoneReturned(const ZoneId& aZone)
{
  for (const TargetRecord& record : this->registry.All()) {
    const auto traits = this->coldTraits.find(record.service);
    if (record.zone == aZone && traits != this->coldTraits.end()) {
      this->NoteCold(record, traits->second.lasts);
    }
  }
}

void
ControlPicture::Depart(const TargetId& aTarget, Incarnation aIncarnation)
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
ControlPicture::StatementOn(const TargetRecord& aRecord) const
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
ControlPicture::FindChanges()
{
  for (TargetId& target : this->registry.TakeUsabilityChanges()) {
    this->touched.insert(std::move(target));
  }
  for (const TargetId& target : std::exchange(this->touched, {})) {
    const TargetRecord* record = this->registry.Find(target);
    if (record == nullptr) {
      continue;
    }
    TargetUpdate statement = this->StatementOn(*record);
    TargetUpdate& before = this->stated[target];
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
    this->untold.insert(target);
    ++this->changeCount;
    this->enginesListed = false;
  }
}

std::vector<TargetUpdate>
ControlPicture::TakeChanges()
{
  this->FindChanges();
  std::vector<TargetUpdate> changes;
  for (const TargetId& target : std::exchange(this->untold, {})) {
    changes.push_back(this->stated.at(target));
  }
  return changes;
}

std::uint64_t
ControlPicture::ChangeCount()
{
  this->FindChanges();
  return this->changeCount;
}

const std::vector<TargetRecord>&
ControlPicture::UsableEngines()
{
  this->ListEngines();
  return this->usableEngines;
}

const std::vector<TargetRecord>&
ControlPicture::RemainingEngines()
{
  this->ListEngines();
  return this->remainingEngines;
}

void
ControlPicture::ListEngines()
{
  this->FindChanges();
  if (std::exchange(this->enginesListed, true)) {
    return;
  }
  this->usableEngines.clear();
  this->remainingEngines.clear();
  for (const auto& [target, statement] : this->stated) {
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
ControlPicture::SetPaused(std::set<TargetId> aTargets)
{
  std::set_symmetric_difference(this->paused.begin(),
                                this->paused.end(),
                                aTargets.begin(),
                                aTargets.end(),
                                std::inserter(this->touched, this->touched.end()));
  this->paused = std::move(aTargets);
}

void
ControlPicture::SetReported(
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
ControlPicture::TakeNews()
{
  std::vector<TargetUpdate> statements;
  for (const auto& [id, record] : std::exchange(this->news, {})) {
    statements.push_back(this->StatementOn(record));
  }
  return statements;
}

std::vector<TargetUpdate>
ControlPicture::All() const
{
  std::vector<TargetUpdate> statements;
  for (const TargetRecord& record : this->registry.All()) {
    statements.push_back(this->StatementOn(record));
  }
  return statements;
}

} // namespace damasklink
