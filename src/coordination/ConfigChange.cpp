#include "damasklink/coordination/ConfigChange.h"

#include "damasklink/state/Text.h"

namespace damasklink {

Error
ErrorOf(const ChangeAnswer& aAnswer)
{
  switch (aAnswer.verdict) {
    case ChangeVerdict::Conflict:
      return Error{ ErrorKind::Conflict,
                    aAnswer.problem,
                    "get the version in force, base the change on it and apply it again" };
    case ChangeVerdict::IdReused:
      return Error{ ErrorKind::InvalidArgument,
                    aAnswer.problem,
                    "use a unique change id for each change" };
    case ChangeVerdict::Accepted:
    case ChangeVerdict::Refused:
      break;
  }
  return Error{ ErrorKind::InvalidArgument,
                aAnswer.problem,
                "correct the subtree; damasklink check lists all its errors" };
}

std::string
PackConfigChange(const ConfigChange& aChange)
{
  CompactWriter writer;
  writer.Number(static_cast<std::uint64_t>(internal::ConfigCommand::Change));
  writer.Id(aChange.id).Text(aChange.author).Id(aChange.base);
  PackSubtreeName(aChange.subtree.name, writer);
  PackContent(aChange.subtree.content, writer);
  return std::move(writer).Take();
}

std::string
PackConfigSeed(const ChangeId& aId, const std::string& aAuthor, const RevisionedTree& aTree)
{
  CompactWriter writer;
  writer.Number(static_cast<std::uint64_t>(internal::ConfigCommand::Seed));
  writer.Id(aId).Text(aAuthor);
  aTree.Pack(writer);
  return std::move(writer).Take();
}

std::string
PackHistoryQuery(const std::optional<SubtreeName>& aName, std::size_t aMost)
{
  CompactWriter writer;
  writer.Number(static_cast<std::uint64_t>(internal::ConfigCommand::History)).Number(aMost);
  writer.Flag(aName.has_value());
  if (aName) {
    PackSubtreeName(*aName, writer);
  }
  return std::move(writer).Take();
}

std::string
PackHistory(const std::vector<HistoryEntry>& aEntries)
{
  CompactWriter writer;
  writer.Number(aEntries.size());
  for (const HistoryEntry& entry : aEntries) {
    internal::PackHistoryEntry(entry, writer);
  }
  return std::move(writer).Take();
}

Result<std::vector<HistoryEntry>>
UnpackHistory(std::string_view aBytes)
{
  CompactReader reader(aBytes);
  std::vector<HistoryEntry> entries(reader.Count());
  for (HistoryEntry& entry : entries) {
    entry = internal::UnpackHistoryEntry(reader);
  }
  if (!reader.AtCleanEnd()) {
    return Fail(
      ErrorKind::Corrupt, "cannot decode the configuration history", "query another host");
  }
  return entries;
}

std::string
PackChangeAnswer(const ChangeAnswer& aAnswer)
{
  CompactWriter writer;
  writer.Number(static_cast<std::uint64_t>(aAnswer.verdict))
    .Id(aAnswer.revision)
    .Text(aAnswer.problem);
  return std::move(writer).Take();
}

Result<ChangeAnswer>
UnpackChangeAnswer(std::string_view aBytes)
{
  CompactReader reader(aBytes);
  const std::uint64_t verdict = reader.Number();
  ChangeAnswer answer;
  answer.revision = reader.NumberAs<Revision>();
  answer.problem = std::string(reader.Text());
  const bool known = verdict >= static_cast<std::uint64_t>(ChangeVerdict::Accepted) &&
                     verdict <= static_cast<std::uint64_t>(ChangeVerdict::IdReused);
  if (!reader.AtCleanEnd() || !known) {
    return Fail(ErrorKind::Corrupt,
                "cannot decode the answer to a configuration change",
                "send the change again with the same id; it is not applied twice");
  }
  answer.verdict = static_cast<ChangeVerdict>(verdict);
  return answer;
}

namespace internal {

void
PackHistoryEntry(const HistoryEntry& aEntry, CompactWriter& aTo)
{
  aTo.Id(aEntry.revision);
  aTo.Number(static_cast<std::uint64_t>(aEntry.when.time_since_epoch().count()));
  aTo.Id(aEntry.change).Text(aEntry.author);
  PackSubtreeName(aEntry.subtree, aTo);
  aTo.Flag(aEntry.deleted);
}

HistoryEntry
UnpackHistoryEntry(CompactReader& aFrom)
{
  HistoryEntry entry;
  entry.revision = aFrom.NumberAs<Revision>();
  entry.when = WallTime(WallTime::duration(static_cast<WallTime::rep>(aFrom.Number())));
  entry.change = aFrom.Id<ChangeId>();
  entry.author = std::string(aFrom.Text());
  entry.subtree = UnpackSubtreeName(aFrom);
  entry.deleted = aFrom.Flag();
  return entry;
}

ConfigChange
UnpackChangeBody(CompactReader& aFrom)
{
  ConfigChange change;
  change.id = aFrom.Id<ChangeId>();
  change.author = std::string(aFrom.Text());
  change.base = aFrom.NumberAs<Revision>();
  change.subtree.name = UnpackSubtreeName(aFrom);
  change.subtree.content = UnpackContent(aFrom);
  return change;
}

} // namespace internal
} // namespace damasklink
