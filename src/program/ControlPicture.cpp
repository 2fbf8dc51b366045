#include "ControlPicture.h"

#include <algorithm>
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
  if (this->registry.Merge(aRecord)) {
    this->news[aRecord.id] = aRecord;
  }
  return true;
}

void
ControlPicture::HearSecondHand(const TargetRecord& aRecord)
{
  this->registry.Merge(aRecord);
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
  if (this->registry.Merge(record)) {
    this->news[aTarget] = record;
  }
}

TargetStatement
ControlPicture::StatementOn(const TargetRecord& aRecord) const
{
  TargetStatement statement;
  statement.record = aRecord;
  statement.paused = this->paused.contains(aRecord.id);
  for (ServedModel& served : statement.record.models) {
    const auto found = this->reported.find({ aRecord.id, served.model });
    if (found != this->reported.end() && found->second > WeightNumber(served.version)) {
      served.version = WeightVersion(std::to_string(found->second));
    }
  }
  if (aRecord.leaving) {
    statement.standing = TargetStanding::Leaving;
  } else if (!this->registry.IsUsable(aRecord.id)) {
    statement.standing = TargetStanding::Silent;
  }
  return statement;
}

std::vector<TargetStatement>
ControlPicture::TakeChanges()
{
  std::vector<TargetStatement> changes;
  for (const TargetRecord& record : this->registry.All()) {
    TargetStatement statement = this->StatementOn(record);
    TargetStatement& before = this->told[record.id];
    // A heartbeat that says the same again is no news to an entry host.
    before.record.sequence = record.sequence;
    before.record.load = record.load;
    if (statement == before) {
      continue;
    }
    LogEvent(LogLevel::Info, "target_changed")
      .With("target", record.id)
      .With("service", record.service)
      .With("address", FormatEndpoint(record.endpoint))
      .With("standing", static_cast<int>(statement.standing))
      .With("paused", statement.paused)
      .With("sequence", record.sequence);
    before = statement;
    changes.push_back(std::move(statement));
  }
  return changes;
}

std::vector<TargetStatement>
ControlPicture::TakeNews()
{
  std::vector<TargetStatement> statements;
  for (const auto& [id, record] : std::exchange(this->news, {})) {
    statements.push_back(this->StatementOn(record));
  }
  return statements;
}

std::vector<TargetStatement>
ControlPicture::All() const
{
  std::vector<TargetStatement> statements;
  for (const TargetRecord& record : this->registry.All()) {
    statements.push_back(this->StatementOn(record));
  }
  return statements;
}

} // namespace damasklink
