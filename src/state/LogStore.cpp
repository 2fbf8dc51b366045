#include "damasklink/state/LogStore.h"

#include <algorithm>
#include <charconv>

#include <absl/strings/str_format.h>

#include "LogFiles.h"
#include "damasklink/state/LogCodec.h"
#include "damasklink/state/Text.h"
#include "damasklink/state/Units.h"

namespace damasklink {
namespace {

using internal::CorruptFile;
using internal::RecordType;

constexpr std::uint64_t kSegmentBytes = 4 * kMebibyte;
constexpr const char* kSnapshotName = "snapshot";
constexpr const char* kNewSnapshotName = "snapshot.new";
constexpr const char* kMarkName = "synced";
constexpr std::string_view kSegmentPrefix = "log-";
constexpr int kHexBase = 16;

bool
Contains(const std::vector<std::string>& aNames, const std::string& aName)
{
  return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
}

// Returns the number of a log file, nothing for any other file.
std::optional<std::uint64_t>
SegmentSequence(std::string_view aName)
{
  if (!aName.starts_with(kSegmentPrefix)) {
    return std::nullopt;
  }
  aName.remove_prefix(kSegmentPrefix.size());
  std::uint64_t sequence = 0;
  const char* end = aName.data() + aName.size();
  const auto parsed = std::from_chars(aName.data(), end, sequence, kHexBase);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return sequence;
}

} // namespace

// Builds the log from its records in the order in which they were written.
class LogStore::Replay
{
public:
  explicit Replay(SnapshotPtr aSnapshot)
    : snapshot(std::move(aSnapshot))
  {
  }

  Result<void> Take(const internal::LogRecord& aRecord)
  {
    switch (aRecord.type) {
      case RecordType::HardState:
        return this->TakeHardState(aRecord.payload);
      case RecordType::Entry:
        return this->TakeEntry(aRecord.payload);
      case RecordType::Reset:
        this->entries.clear();
        return Success();
    }
    return Fail(ErrorKind::Corrupt, "the log holds an unknown record", "see docs/STATE.md");
  }

  // Returns what is left once the snapshot has replaced the entries it covers.
  Result<RecoveredLog> Finish(const std::string& aFolder)
  {
    const LogIndex base = this->snapshot == nullptr ? LogIndex() : this->snapshot->index;
    std::vector<LogEntry> rest;
    for (LogEntry& entry : this->entries) {
      if (entry.index == base && entry.term != this->snapshot->term) {
        // The snapshot came from another replica whose log differed from here on.
        rest.clear();
        break;
      }
      if (entry.index > base) {
        rest.push_back(std::move(entry));
      }
    }
    if (!rest.empty() && rest.front().index != base.Next()) {
      return CorruptFile(aFolder, "entries are missing after the snapshot");
    }
    return RecoveredLog{ this->hardState, this->snapshot, std::move(rest) };
  }

  LogIndex last;

private:
  Result<void> TakeHardState(std::string_view aPayload)
  {
    auto decoded = DecodeHardState(aPayload);
    if (!decoded) {
      return Fail(decoded.error());
    }
    this->hardState = decoded.value();
    return Success();
  }

  Result<void> TakeEntry(std::string_view aPayload)
  {
    auto decoded = DecodeEntry(aPayload);
    if (!decoded) {
      return Fail(decoded.error());
    }
    LogEntry& entry = decoded.value();
    while (!this->entries.empty() && this->entries.back().index >= entry.index) {
      this->entries.pop_back();
    }
    if (!this->entries.empty() && this->entries.back().index.Next() != entry.index) {
      return Fail(ErrorKind::Corrupt, "the log has a gap", "see docs/STATE.md");
    }
    this->last = std::max(this->last, entry.index);
    this->entries.push_back(std::move(entry));
    return Success();
  }

  SnapshotPtr snapshot;
  HardState hardState;
  std::vector<LogEntry> entries;
};

LogStore::LogStore(Disk& aDisk, std::string aFolder)
  : disk(aDisk)
  , folder(std::move(aFolder))
{
}

std::string
LogStore::PathOf(const std::string& aName) const
{
  return Concat(this->folder, "/", aName);
}

std::string
LogStore::SegmentPath(std::uint64_t aSequence) const
{
  return this->PathOf(absl::StrFormat("log-%016x", aSequence));
}

Result<RecoveredLog>
LogStore::Open()
{
  if (auto made = this->disk.MakeFolder(this->folder); !made) {
    return Fail(made.error());
  }
  auto names = this->disk.List(this->folder);
  if (!names) {
    return Fail(names.error());
  }
  auto snapshot = this->ReadSnapshot(names.value());
  if (!snapshot) {
    return Fail(snapshot.error());
  }
  const bool hasLog = std::any_of(names.value().begin(),
                                  names.value().end(),
                                  [](const auto& aName) { return SegmentSequence(aName); });
  auto synced = this->ReadMark(names.value());
  if (!synced && hasLog) {
    return Fail(synced.error());
  }
  const SyncedMark syncedTo = synced ? synced.value() : SyncedMark{};
  Replay replay(snapshot.value());
  if (auto read = this->ReadSegments(names.value(), syncedTo, replay); !read) {
    return Fail(read.error());
  }
  auto recovered = replay.Finish(this->folder);
  if (!recovered) {
    return recovered;
  }
  if (this->segments.empty() && snapshot.value() != nullptr) {
    return CorruptFile(this->folder, "has a snapshot but no log");
  }
  this->hardState = recovered.value().hardState;
  this->snapshotIndex = snapshot.value() == nullptr ? LogIndex() : snapshot.value()->index;
  if (auto opened = this->OpenMark(); !opened) {
    return Fail(opened.error());
  }
  // A segment of its own for this life keeps appending apart from what was read.
  if (auto started = this->StartSegment(); !started) {
    return Fail(started.error());
  }
  return recovered;
}

Result<SnapshotPtr>
LogStore::ReadSnapshot(const std::vector<std::string>& aNames)
{
  if (Contains(aNames, kNewSnapshotName)) {
    // A crash came before the rename, so the old one is still in force.
    if (auto removed = this->disk.Remove(this->PathOf(kNewSnapshotName)); !removed) {
      return Fail(removed.error());
    }
  }
  if (!Contains(aNames, kSnapshotName)) {
    return SnapshotPtr();
  }
  const std::string path = this->PathOf(kSnapshotName);
  auto bytes = this->disk.Read(path);
  if (!bytes) {
    return Fail(bytes.error());
  }
  auto payload = internal::DecodeWholeFile(path, bytes.value());
  if (!payload) {
    return Fail(payload.error());
  }
  auto snapshot = DecodeSnapshot(payload.value());
  if (!snapshot) {
    return Fail(snapshot.error());
  }
  return SnapshotPtr(std::make_shared<const Snapshot>(std::move(snapshot.value())));
}

Result<LogStore::SyncedMark>
LogStore::ReadMark(const std::vector<std::string>& aNames)
{
  if (!Contains(aNames, kMarkName)) {
    return CorruptFile(this->folder, "the file 'synced' is missing");
  }
  const std::string path = this->PathOf(kMarkName);
  auto bytes = this->disk.Read(path);
  if (!bytes) {
    return Fail(bytes.error());
  }
  auto slot = internal::DecodeMark(path, bytes.value());
  if (!slot) {
    return Fail(slot.error());
  }
  this->markCount = slot.value().count;
  return SyncedMark{ slot.value().sequence, slot.value().length };
}

Result<void>
LogStore::ReadSegments(const std::vector<std::string>& aNames,
                       const SyncedMark& aMark,
                       Replay& aReplay)
{
  std::vector<std::uint64_t> sequences;
  for (const std::string& name : aNames) {
    if (const std::optional<std::uint64_t> sequence = SegmentSequence(name)) {
      sequences.push_back(*sequence);
    }
  }
  std::sort(sequences.begin(), sequences.end());
  for (std::size_t position = 0; position < sequences.size(); ++position) {
    if (sequences[position] != sequences.front() + position) {
      return CorruptFile(this->folder, "a log file is missing");
    }
  }
  if (aMark.sequence != 0 && (sequences.empty() || sequences.back() < aMark.sequence)) {
    return CorruptFile(this->folder, "the newest log file is missing");
  }
  for (const std::uint64_t sequence : sequences) {
    const bool lastOne = sequence == sequences.back();
    if (auto read = this->ReadSegment(sequence, lastOne, aMark, aReplay); !read) {
      return read;
    }
  }
  return Success();
}

Result<void>
LogStore::ReadSegment(std::uint64_t aSequence,
                      bool aLastOne,
                      const SyncedMark& aMark,
                      Replay& aReplay)
{
  const std::string path = this->SegmentPath(aSequence);
  auto bytes = this->disk.Read(path);
  if (!bytes) {
    return Fail(bytes.error());
  }
  aReplay.last = LogIndex();
  internal::SegmentReader reader(path, bytes.value());
  auto header = reader.ReadHeader();
  while (header && reader.Good()) {
    const std::optional<internal::LogRecord> record = reader.Next();
    if (!record) {
      break;
    }
    if (auto taken = aReplay.Take(*record); !taken) {
      return taken;
    }
  }
  if (!header && header.error().kind != ErrorKind::Corrupt) {
    return header;
  }
  this->segments.push_back(Segment{ aSequence, aReplay.last });
  const bool acknowledged = aMark.sequence == aSequence && reader.GoodLength() < aMark.length;
  if (reader.GoodLength() == bytes.value().size() && header) {
    if (acknowledged) {
      return CorruptFile(path, "the end that was synced is missing");
    }
    return aLastOne ? this->SyncTail(path) : Success();
  }
  // Only the last file can have a tail that was never synced, and only behind the mark.
  if (!aLastOne || acknowledged || aMark.sequence > aSequence) {
    return CorruptFile(path, Concat("is damaged at byte ", reader.GoodLength()));
  }
  return this->CutTail(aSequence, reader.GoodLength());
}

Result<void>
LogStore::CutTail(std::uint64_t aSequence, std::uint64_t aLength)
{
  const std::string path = this->SegmentPath(aSequence);
  if (aLength > 0) {
    if (auto cut = this->disk.Truncate(path, aLength); !cut) {
      return cut;
    }
    return this->SyncTail(path);
  }
  this->segments.pop_back();
  return this->disk.Remove(path);
}

// What was read may so far stand in memory only, and from now on counts as kept.
Result<void>
LogStore::SyncTail(const std::string& aPath)
{
  auto file = this->disk.Open(aPath);
  if (!file) {
    return Fail(file.error());
  }
  return file.value()->Sync();
}

// The mark is there before the first log file, so that a log without one is known as damaged.
Result<void>
LogStore::OpenMark()
{
  auto file = this->disk.Open(this->PathOf(kMarkName));
  if (!file) {
    return Fail(file.error());
  }
  this->mark = std::move(file.value());
  if (!this->segments.empty()) {
    return Success();
  }
  if (auto written = this->WriteMark(); !written) {
    return written;
  }
  if (auto synced = this->mark->Sync(); !synced) {
    return synced;
  }
  return this->disk.SyncFolder(this->folder);
}

Result<void>
LogStore::Write(const std::vector<PersistBatch>& aBatches)
{
  if (this->failure) {
    return Fail(*this->failure);
  }
  auto written = this->WriteAll(aBatches);
  if (!written) {
    this->failure = written.error();
  }
  return written;
}

Result<void>
LogStore::WriteAll(const std::vector<PersistBatch>& aBatches)
{
  bool hasSnapshot = false;
  std::string bytes;
  for (const PersistBatch& batch : aBatches) {
    if (batch.snapshot != nullptr) {
      // What the snapshot covers must be on disk before it, and what follows after it.
      if (auto synced = this->AppendAndSync(bytes); !synced) {
        return synced;
      }
      bytes.clear();
      if (auto saved = this->WriteSnapshot(*batch.snapshot); !saved) {
        return saved;
      }
      hasSnapshot = true;
    }
    this->EncodeBatch(batch, bytes);
  }
  if (auto synced = this->AppendAndSync(bytes); !synced) {
    return synced;
  }
  if (!hasSnapshot && this->currentLength < kSegmentBytes) {
    return Success();
  }
  if (auto started = this->StartSegment(); !started) {
    return started;
  }
  return this->DropOldSegments();
}

void
LogStore::EncodeBatch(const PersistBatch& aBatch, std::string& aBytes)
{
  if (aBatch.snapshot != nullptr && aBatch.replacesLog) {
    internal::AppendRecord(aBytes, RecordType::Reset, "");
  }
  if (aBatch.hardState) {
    this->hardState = *aBatch.hardState;
    internal::AppendRecord(aBytes, RecordType::HardState, EncodeHardState(*aBatch.hardState));
  }
  for (const LogEntry& entry : aBatch.entries) {
    internal::AppendRecord(aBytes, RecordType::Entry, EncodeEntry(entry));
    this->segments.back().last = std::max(this->segments.back().last, entry.index);
  }
}

Result<void>
LogStore::AppendAndSync(const std::string& aBytes)
{
  if (aBytes.empty()) {
    return Success();
  }
  if (auto appended = this->current->Append(aBytes); !appended) {
    return appended;
  }
  if (auto synced = this->current->Sync(); !synced) {
    return synced;
  }
  this->currentLength += aBytes.size();
  return this->WriteMark();
}

Result<void>
LogStore::StartSegment()
{
  const std::uint64_t sequence = this->segments.empty() ? 1 : this->segments.back().sequence + 1;
  auto file = this->disk.Open(this->SegmentPath(sequence));
  if (!file) {
    return Fail(file.error());
  }
  std::string bytes = internal::SegmentHeader();
  internal::AppendRecord(bytes, RecordType::HardState, EncodeHardState(this->hardState));
  if (auto appended = file.value()->Append(bytes); !appended) {
    return appended;
  }
  if (auto synced = file.value()->Sync(); !synced) {
    return synced;
  }
  if (auto synced = this->disk.SyncFolder(this->folder); !synced) {
    return synced;
  }
  this->current = std::move(file.value());
  this->currentLength = bytes.size();
  this->segments.push_back(Segment{ sequence, LogIndex() });
  if (auto marked = this->WriteMark(); !marked) {
    return marked;
  }
  return this->mark->Sync();
}

Result<void>
LogStore::WriteMark()
{
  ++this->markCount;
  const std::uint64_t sequence = this->segments.empty() ? 0 : this->segments.back().sequence;
  const internal::MarkSlot slot{ this->markCount, sequence, this->currentLength };
  return this->mark->Overwrite(internal::MarkOffset(slot), internal::EncodeMark(slot));
}

Result<void>
LogStore::WriteSnapshot(const Snapshot& aSnapshot)
{
  const std::string path = this->PathOf(kNewSnapshotName);
  // A file that an earlier attempt left would otherwise keep its longer end.
  if (auto removed = this->disk.Remove(path); !removed) {
    return removed;
  }
  auto file = this->disk.Open(path);
  if (!file) {
    return Fail(file.error());
  }
  if (auto put = file.value()->Append(internal::EncodeWholeFile(EncodeSnapshot(aSnapshot))); !put) {
    return put;
  }
  if (auto synced = file.value()->Sync(); !synced) {
    return synced;
  }
  if (auto renamed = this->disk.Rename(path, this->PathOf(kSnapshotName)); !renamed) {
    return renamed;
  }
  this->snapshotIndex = aSnapshot.index;
  return this->disk.SyncFolder(this->folder);
}

Result<void>
LogStore::DropOldSegments()
{
  while (this->segments.size() > 1 && this->segments.front().last <= this->snapshotIndex) {
    if (auto removed = this->disk.Remove(this->SegmentPath(this->segments.front().sequence));
        !removed) {
      return removed;
    }
    this->segments.pop_front();
  }
  return Success();
}

} // namespace damasklink
