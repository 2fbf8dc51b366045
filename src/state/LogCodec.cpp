#include "damasklink/state/LogCodec.h"

#include "damasklink/state/Bytes.h"
#include "damasklink/state/Text.h"

namespace damasklink {
namespace {

auto
CorruptBytes(std::string_view aWhat)
{
  return Fail(ErrorKind::Corrupt,
              Concat("the bytes of a ", aWhat, " cannot be read"),
              "replace this host's data folder by an empty one; see docs/STATE.md");
}

void
WriteMembership(ByteWriter& aWriter, const Membership& aMembership)
{
  aWriter.Number32(static_cast<std::uint32_t>(aMembership.members.size()));
  for (const Member& member : aMembership.members) {
    aWriter.Text(member.host.Value());
    aWriter.Number(member.replica.Value());
    aWriter.Byte(member.voter ? 1 : 0);
  }
}

Membership
ReadMembership(ByteReader& aReader)
{
  Membership membership;
  const std::uint32_t count = aReader.Number32();
  for (std::uint32_t index = 0; index < count && aReader.Ok(); ++index) {
    Member member;
    member.host = HostId(aReader.Text());
    member.replica = ReplicaId(aReader.Number());
    member.voter = aReader.Byte() != 0;
    membership.members.push_back(std::move(member));
  }
  return membership;
}

bool
IsEntryKind(std::uint8_t aValue)
{
  return aValue >= static_cast<std::uint8_t>(EntryKind::NoOp) &&
         aValue <= static_cast<std::uint8_t>(EntryKind::Membership);
}

} // namespace

std::uint64_t
EncodeWallTime(WallTime aTime)
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::nanoseconds>(aTime.time_since_epoch()).count());
}

WallTime
DecodeWallTime(std::uint64_t aNanoseconds)
{
  return WallTime(std::chrono::duration_cast<WallTime::duration>(
    std::chrono::nanoseconds(static_cast<std::int64_t>(aNanoseconds))));
}

std::string
EncodeEntry(const LogEntry& aEntry)
{
  ByteWriter writer;
  writer.Number(aEntry.index.Value());
  writer.Number(aEntry.term.Value());
  writer.Byte(static_cast<std::uint8_t>(aEntry.kind));
  writer.Number(EncodeWallTime(aEntry.proposedAt));
  writer.Byte(aEntry.part);
  writer.Number(aEntry.proposal.proposer);
  writer.Number(aEntry.proposal.sequence.Value());
  writer.Number(aEntry.proposal.floor.Value());
  writer.Text(aEntry.command);
  WriteMembership(writer, aEntry.membership);
  return writer.Take();
}

Result<LogEntry>
DecodeEntry(std::string_view aBytes)
{
  ByteReader reader(aBytes);
  LogEntry entry;
  entry.index = LogIndex(reader.Number());
  entry.term = Term(reader.Number());
  const std::uint8_t kind = reader.Byte();
  entry.kind = static_cast<EntryKind>(kind);
  entry.proposedAt = DecodeWallTime(reader.Number());
  entry.part = reader.Byte();
  entry.proposal.proposer = reader.Number();
  entry.proposal.sequence = Sequence(reader.Number());
  entry.proposal.floor = Sequence(reader.Number());
  entry.command = reader.Text();
  entry.membership = ReadMembership(reader);
  if (!reader.Finished() || !IsEntryKind(kind)) {
    return CorruptBytes("log entry");
  }
  return entry;
}

std::string
EncodeHardState(const HardState& aState)
{
  ByteWriter writer;
  writer.Number(aState.formation.Value());
  writer.Number(aState.term.Value());
  writer.Number(aState.votedFor.Value());
  return writer.Take();
}

Result<HardState>
DecodeHardState(std::string_view aBytes)
{
  ByteReader reader(aBytes);
  HardState state;
  state.formation = FormationId(reader.Number());
  state.term = Term(reader.Number());
  state.votedFor = ReplicaId(reader.Number());
  if (!reader.Finished()) {
    return CorruptBytes("hard state");
  }
  return state;
}

std::string
EncodeSnapshot(const Snapshot& aSnapshot)
{
  ByteWriter writer;
  writer.Number(aSnapshot.index.Value());
  writer.Number(aSnapshot.term.Value());
  writer.Number(EncodeWallTime(aSnapshot.proposedAt));
  WriteMembership(writer, aSnapshot.membership);
  writer.Text(aSnapshot.data);
  return writer.Take();
}

Result<Snapshot>
DecodeSnapshot(std::string_view aBytes)
{
  ByteReader reader(aBytes);
  Snapshot snapshot;
  snapshot.index = LogIndex(reader.Number());
  snapshot.term = Term(reader.Number());
  snapshot.proposedAt = DecodeWallTime(reader.Number());
  snapshot.membership = ReadMembership(reader);
  snapshot.data = reader.Text();
  if (!reader.Finished()) {
    return CorruptBytes("snapshot");
  }
  return snapshot;
}

} // namespace damasklink
