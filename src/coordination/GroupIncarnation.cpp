#include "damasklink/coordination/GroupIncarnation.h"

#include <algorithm>

#include "damasklink/state/Bytes.h"
#include "damasklink/state/LogCodec.h"

namespace damasklink {
namespace {

auto
CorruptIncarnation()
{
  return Fail(ErrorKind::Corrupt,
              "the incarnation of a group cannot be decoded",
              "run the same program version on all hosts");
}

} // namespace

std::string
EncodeGroupIncarnation(const GroupIncarnation& aIncarnation)
{
  ByteWriter writer;
  writer.Number(aIncarnation.incarnation.Value());
  writer.Number(EncodeWallTime(aIncarnation.formedAt));
  return writer.Take();
}

Result<GroupIncarnation>
DecodeGroupIncarnation(std::string_view aBytes)
{
  ByteReader reader(aBytes);
  GroupIncarnation decoded;
  decoded.incarnation = Incarnation(reader.Number());
  decoded.formedAt = DecodeWallTime(reader.Number());
  if (!reader.Finished()) {
    return CorruptIncarnation();
  }
  return decoded;
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
    const GroupIncarnation assigned{ Incarnation(records.size() + 1), aContext.proposedAt };
    records.push_back(Record{ formation, assigned });
    return EncodeGroupIncarnation(assigned);
  }
  const bool newest = known->formation == records.back().formation;
  return EncodeGroupIncarnation(newest ? known->incarnation : GroupIncarnation{});
}

GroupIncarnation
GroupRegistry::Newest(const GroupId& aGroup) const
{
  const auto found = this->groups.find(aGroup);
  return found == this->groups.end() ? GroupIncarnation{} : found->second.back().incarnation;
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
      writer.Text(EncodeGroupIncarnation(record.incarnation));
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
    const std::uint64_t recordCount = reader.Number();
    for (std::uint64_t position = 0; position < recordCount && reader.Ok(); ++position) {
      const FormationId formation(reader.Number());
      auto incarnation = DecodeGroupIncarnation(reader.Text());
      if (!incarnation) {
        return Fail(incarnation.error());
      }
      records.push_back(Record{ formation, incarnation.value() });
    }
  }
  if (!reader.Finished()) {
    return CorruptIncarnation();
  }
  this->groups = std::move(loaded);
  return Success();
}

std::string
IncarnationMachine::Apply(const ApplyContext& /*aContext*/, std::string_view aCommand)
{
  const auto decoded = DecodeGroupIncarnation(aCommand);
  if (decoded && this->current.incarnation == Incarnation()) {
    this->current = decoded.value();
  }
  return EncodeGroupIncarnation(this->current);
}

std::string
IncarnationMachine::Save() const
{
  return EncodeGroupIncarnation(this->current);
}

Result<void>
IncarnationMachine::Load(std::string_view aSnapshot)
{
  auto loaded = DecodeGroupIncarnation(aSnapshot);
  if (!loaded) {
    return Fail(loaded.error());
  }
  this->current = loaded.value();
  return Success();
}

} // namespace damasklink
