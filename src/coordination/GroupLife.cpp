#include "damasklink/coordination/GroupLife.h"

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
EncodeFounding(const Founding& aFounding)
{
  ByteWriter writer;
  writer.Number(aFounding.incarnation.Value());
  writer.Number(EncodeWallTime(aFounding.foundedAt));
  return writer.Take();
}

Result<Founding>
DecodeFounding(std::string_view aBytes)
{
  ByteReader reader(aBytes);
  Founding founding;
  founding.incarnation = Incarnation(reader.Number());
  founding.foundedAt = DecodeWallTime(reader.Number());
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
GroupCatalogue::Apply(const ApplyContext& aContext, std::string_view aCommand)
{
  ByteReader reader(aCommand);
  const GroupId group(reader.Text());
  const FormationId formation(reader.Number());
  if (!reader.Finished()) {
    return EncodeFounding(Founding{});
  }
  std::vector<Record>& records = this->groups[group];
  const auto known = std::find_if(records.begin(), records.end(), [&](const Record& aRecord) {
    return aRecord.formation == formation;
  });
  if (known == records.end()) {
    const Founding founding{ Incarnation(records.size() + 1), aContext.proposedAt };
    records.push_back(Record{ formation, founding });
    return EncodeFounding(founding);
  }
  const bool newest = known->formation == records.back().formation;
  return EncodeFounding(newest ? known->founding : Founding{});
}

Founding
GroupCatalogue::Newest(const GroupId& aGroup) const
{
  const auto found = this->groups.find(aGroup);
  return found == this->groups.end() ? Founding{} : found->second.back().founding;
}

std::string
GroupCatalogue::Save() const
{
  ByteWriter writer;
  writer.Number(this->groups.size());
  for (const auto& [group, records] : this->groups) {
    writer.Text(group.Value());
    writer.Number(records.size());
    for (const Record& record : records) {
      writer.Number(record.formation.Value());
      writer.Text(EncodeFounding(record.founding));
    }
  }
  return writer.Take();
}

Result<void>
GroupCatalogue::Load(std::string_view aSnapshot)
{
  std::map<GroupId, std::vector<Record>> loaded;
  ByteReader reader(aSnapshot);
  const std::uint64_t count = reader.Number();
  for (std::uint64_t index = 0; index < count && reader.Ok(); ++index) {
    std::vector<Record>& records = loaded[GroupId(reader.Text())];
    const std::uint64_t foundings = reader.Number();
    for (std::uint64_t past = 0; past < foundings && reader.Ok(); ++past) {
      const FormationId formation(reader.Number());
      auto founding = DecodeFounding(reader.Text());
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
GroupLife::Apply(const ApplyContext& /*aContext*/, std::string_view aCommand)
{
  const auto told = DecodeFounding(aCommand);
  if (told && this->founding.incarnation == Incarnation()) {
    this->founding = told.value();
  }
  return EncodeFounding(this->founding);
}

std::string
GroupLife::Save() const
{
  return EncodeFounding(this->founding);
}

Result<void>
GroupLife::Load(std::string_view aSnapshot)
{
  auto loaded = DecodeFounding(aSnapshot);
  if (!loaded) {
    return Fail(loaded.error());
  }
  this->founding = loaded.value();
  return Success();
}

} // namespace damasklink
