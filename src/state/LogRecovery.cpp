#include "LogRecovery.h"

#include <algorithm>
#include <charconv>

#include <absl/strings/str_format.h>

#include "LogFiles.h"
#include "damasklink/state/LogCodec.h"
#include "damasklink/state/Text.h"

namespace damasklink::internal {
namespace {

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

// Builds the log from its records in the order in which they were written.
class LogReplay
{
public:
  explicit LogReplay(SnapshotPtr aSnapshot)
    : snapshot(std::move(aSnapshot))
  {
  }

  Result<void> Take(const LogRecord& aRecord)
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
    const bool reachesBase = !this->entries.empty() && this->entries.back().index == base &&
                             this->entries.back().term == this->snapshot->term;
    this->needsReset = rest.empty() && !this->entries.empty() && !reachesBase;
    return RecoveredLog{ this->hardState, this->snapshot, std::move(rest) };
  }

  LogIndex last;
  // As in RecoveredFiles; set by Finish().
  bool needsReset = false;

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

// Reads one folder, file by file.
class FolderReader
{
public:
  FolderReader(Disk& aDisk, std::string aFolder)
    : disk(aDisk)
    , folder(std::move(aFolder))
  {
  }

  Result<RecoveredFiles> Read();

private:
  std::string PathOf(const std::string& aName) const { return Concat(this->folder, "/", aName); }

  Result<SnapshotPtr> ReadSnapshot();
  Result<void> ReadMark();
  Result<void> ReadSegments(LogReplay& aReplay);
  Result<void> ReadSegment(std::uint64_t aSequence, bool aLastOne, LogReplay& aReplay);
  Result<void> CutTail(std::uint64_t aSequence, std::uint64_t aLength);
  Result<void> SyncTail(const std::string& aPath);

  Disk& disk;
  std::string folder;
  std::vector<std::string> names;
  MarkSlot mark;
  std::deque<LogSegment> segments;
};

Result<RecoveredFiles>
FolderReader::Read()
{
  auto listed = this->disk.List(this->folder);
  if (!listed) {
    return Fail(listed.error());
  }
  this->names = std::move(listed.value());
  auto snapshot = this->ReadSnapshot();
  if (!snapshot) {
    return Fail(snapshot.error());
  }
  const bool hasLog = std::any_of(this->names.begin(), this->names.end(), [](const auto& aName) {
    return SegmentSequence(aName);
  });
  // Before the first log file even the mark may be half written.
  if (auto read = this->ReadMark(); !read && hasLog) {
    return Fail(read.error());
  }
  LogReplay replay(snapshot.value());
  if (auto read = this->ReadSegments(replay); !read) {
    return Fail(read.error());
  }
  auto log = replay.Finish(this->folder);
  if (!log) {
    return Fail(log.error());
  }
  if (this->segments.empty() && snapshot.value() != nullptr) {
    return CorruptFile(this->folder, "has a snapshot but no log");
  }
  return RecoveredFiles{
    std::move(log.value()), this->segments, this->mark.count, replay.needsReset
  };
}

Result<SnapshotPtr>
FolderReader::ReadSnapshot()
{
  if (Contains(this->names, kNewSnapshotName)) {
    // A crash came before the rename, so the old one is still in force.
    if (auto removed = this->disk.Remove(this->PathOf(kNewSnapshotName)); !removed) {
      return Fail(removed.error());
    }
  }
  if (!Contains(this->names, kSnapshotName)) {
    return SnapshotPtr();
  }
  const std::string path = this->PathOf(kSnapshotName);
  auto bytes = this->disk.Read(path);
  if (!bytes) {
    return Fail(bytes.error());
  }
  auto payload = DecodeWholeFile(path, bytes.value());
  if (!payload) {
    return Fail(payload.error());
  }
  auto snapshot = DecodeSnapshot(payload.value());
  if (!snapshot) {
    return Fail(snapshot.error());
  }
  return SnapshotPtr(std::make_shared<const Snapshot>(std::move(snapshot.value())));
}

Result<void>
FolderReader::ReadMark()
{
  if (!Contains(this->names, kMarkName)) {
    return CorruptFile(this->folder, "the file 'synced' is missing");
  }
  const std::string path = this->PathOf(kMarkName);
  auto bytes = this->disk.Read(path);
  if (!bytes) {
    return Fail(bytes.error());
  }
  auto slot = DecodeMark(path, bytes.value());
  if (!slot) {
    return Fail(slot.error());
  }
  this->mark = slot.value();
  return Success();
}

Result<void>
FolderReader::ReadSegments(LogReplay& aReplay)
{
  std::vector<std::uint64_t> sequences;
  for (const std::string& name : this->names) {
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
  if (this->mark.sequence != 0 && (sequences.empty() || sequences.back() < this->mark.sequence)) {
    return CorruptFile(this->folder, "the newest log file is missing");
  }
  for (const std::uint64_t sequence : sequences) {
    const bool lastOne = sequence == sequences.back();
    if (auto read = this->ReadSegment(sequence, lastOne, aReplay); !read) {
      return read;
    }
  }
  return Success();
}

Result<void>
FolderReader::ReadSegment(std::uint64_t aSequence, bool aLastOne, LogReplay& aReplay)
{
  const std::string path = SegmentPath(this->folder, aSequence);
  auto bytes = this->disk.Read(path);
  if (!bytes) {
    return Fail(bytes.error());
  }
  aReplay.last = LogIndex();
  SegmentReader reader(path, bytes.value());
  auto header = reader.ReadHeader();
  while (header && reader.Good()) {
    const std::optional<LogRecord> record = reader.Next();
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
  this->segments.push_back(LogSegment{ aSequence, aReplay.last });
  const bool acknowledged =
    this->mark.sequence == aSequence && reader.GoodLength() < this->mark.length;
  if (reader.GoodLength() == bytes.value().size() && header) {
    if (acknowledged) {
      return CorruptFile(path, "the end that was synced is missing");
    }
    return aLastOne ? this->SyncTail(path) : Success();
  }
  // Only the last file can have a tail that was never synced, and only behind the mark.
  if (!aLastOne || acknowledged || this->mark.sequence > aSequence) {
    return CorruptFile(path, Concat("is damaged at byte ", reader.GoodLength()));
  }
  return this->CutTail(aSequence, reader.GoodLength());
}

Result<void>
FolderReader::CutTail(std::uint64_t aSequence, std::uint64_t aLength)
{
  const std::string path = SegmentPath(this->folder, aSequence);
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
FolderReader::SyncTail(const std::string& aPath)
{
  auto file = this->disk.Open(aPath);
  if (!file) {
    return Fail(file.error());
  }
  return file.value()->Sync();
}

} // namespace

std::string
SegmentPath(const std::string& aFolder, std::uint64_t aSequence)
{
  return Concat(aFolder, "/", kSegmentPrefix, absl::StrFormat("%016x", aSequence));
}

Result<RecoveredFiles>
RecoverFiles(Disk& aDisk, const std::string& aFolder)
{
  return FolderReader(aDisk, aFolder).Read();
}

} // namespace damasklink::internal
