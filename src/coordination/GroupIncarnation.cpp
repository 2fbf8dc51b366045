#include "damasklink/coordination/GroupIncarnation.h"

#include <algorithm>

#include "damasklink/state/Bytes.h"
#include "damasklink/state/LogCodec.h"

namespace damasklink {
namespace {

auto
CorruptCommand()
{
  return Fail(ErrorKind::Corrupt,
              "the founding of a group cannot be read",
              "run the same program version on all hosts");
}

} // namespace

std::string
EncodeGroupIncarnation(const GroupIncarnation& aFounding)
{
  ByteWriter writer;
  writer.Number(aFounding.incarnation.Value());
  writer.Number(EncodeWallTime(aFounding.formedAt));
  return writer.Take();
}

Result<GroupIncarnation>
DecodeGroupIncarnation(std::string_view aBytes)
{
  ByteReader reader(aBytes);
  GroupIncarnation founding;
  founding.incarnation = Incarnation(reader.Number());
  founding.formedAt = DecodeWallTime(reader.Number());
  if (!reader.Finished()) {
    return CorruptCommand();
  }
  return founding;
}

std::string
EncodeRegistration(const GroupId& aGroup, FormationId aFormation)
{
  ByteWriter writer;
  writer.Text(aGroup.Value());
  writer.Number(aFormation.Value());
  return writer.Take();
}

std::string
GroupRegistry::Apply(const ApplyContext& aContext, std::string_view aCommand)
{
  ByteReader reader(aCommand);
  const GroupId group(reader.Text());
  const FormationId formation(reader.Number());
  if (!reader.Finished()) {
    return EncodeGroupIncarnation(GroupIncarnation{});
  }
  std::vector<Record>& records = this->groups[group];
  const auto known = std::find_if(records.begin(), records.end(), [&](const Record& aRecord) {
    return aRecord.formation == formation;
  });
  if (known == records.end()) {
    const GroupIncarnation founding{ Incarnation(records.size() + 1), aContext.proposedAt };
    records.push_back(Record{ formation, founding });
    return EncodeGroupIncarnation(founding);
  }
  const bool newest = known->formation == records.back().formation;
  return EncodeGroupIncarnation(newest ? known->founding : GroupIncarnation{});
}

GroupIncarnation
GroupRegistry::Newest(const GroupId& aGroup) const
{
  const auto found = this->groups.find(aGroup);
  return found == this->groups.end() ? GroupIncarnation{} : found->second.back().founding;
}

std::string
GroupRegistry::Save() const
{
  ByteWriter writer;
  writer.Number(this->groups.size());
  for (const auto& [group, records] : this->groups) {
    writer.Text(group.Value());
    writer.Number(records.size());
    for (const Record& record : records) {
      writer.Number(record.formation.Value());
      writer.Text(EncodeGroupIncarnation(record.founding));
    }
  }
  return writer.Take();
}

Result<void>
GroupRegistry::Load(std::string_view aSnapshot)
{
  std::map<GroupId, std::vector<Record>> loaded;
  ByteReader reader(aSnapshot);
  const std::uint64_t count = reader.Number();
  for (std::uint64_t index = 0; index < count && reader.Ok(); ++index) {
    std::vector<Record>& records = loaded[GroupId(reader.Text())];
    const std::uint64_t foundings = reader.Number();
    for (std::uint64_t past = 0; past < foundings && reader.Ok(); ++past) {
      const FormationId formation(reader.Number());
      auto founding = DecodeGroupIncarnation(reader.Text());
      if (!founding) {
        return Fail(founding.error());
      }
      records.push_back(Record{ formation, founding.value() });
    }
  }
  if (!reader.Finished()) {
    return CorruptCommand();
  }
  this->groups = std::move(loaded);
  return Success();
}

std::string
IncarnationMachine::Apply(const ApplyContext& /*aContext*/, std::string_view aCommand)
{
  const auto told = DecodeGroupIncarnation(aCommand);
  if (told && this->founding.incarnation == Incarnation()) {
    this->founding = told.value();
  }
  return EncodeGroupIncarnation(this->founding);
}

std::string
IncarnationMachine::Save() const
{
  return EncodeGroupIncarnation(this->founding);
}

Result<void>
IncarnationMachine::Load(std::string_view aSnapshot)
{
  auto loaded = DecodeGroupIncarnation(aSnapshot);
  if (!loaded) {
    return Fail(loaded.error());
  }
  this->founding = loaded.value();
  return Success();
}

} // namespace damasklink
