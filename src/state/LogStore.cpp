#include "damasklink/state/LogStore.h"

#include <algorithm>

#include "LogFiles.h"
#include "LogRecovery.h"
#include "damasklink/state/LogCodec.h"
#include "damasklink/state/Text.h"
#include "damasklink/state/Units.h"

namespace damasklink {
namespace {

using internal::LogSegment;
using internal::RecordType;
using internal::SegmentPath;

constexpr std::uint64_t kSegmentBytes = 4 * kMebibyte;

} // namespace

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

Result<RecoveredLog>
LogStore::Open()
{
  if (auto made = this->disk.MakeFolder(this->folder); !made) {
    return Fail(made.error());
  }
  auto found = internal::RecoverFiles(this->disk, this->folder);
  if (!found) {
    return Fail(found.error());
  }
  internal::RecoveredFiles& files = found.value();
  this->segments = std::move(files.segments);
  this->markCount = files.markCount;
  this->hardState = files.log.hardState;
  if (files.log.snapshot != nullptr) {
    this->snapshotIndex = files.log.snapshot->index;
  }
  if (auto opened = this->OpenMark(); !opened) {
    return Fail(opened.error());
  }
  // A log file of its own for this life keeps appending apart from what was read.
  if (auto started = this->StartSegment(files.needsReset); !started) {
    return Fail(started.error());
  }
  return std::move(files.log);
}

// The mark is there before the first log file, so that a log without one is known as damaged.
Result<void>
LogStore::OpenMark()
{
  auto file = this->disk.Open(this->PathOf(internal::kMarkName));
  if (!file) {
    return Fail(file.error());
  }
  this->mark = std::move(file.value());
  if (!this->segments.empty()) {
    // The slot that was read may stand in memory only, and the next write goes to the other one.
    return this->SyncMark();
  }
  if (auto written = this->WriteMark(); !written) {
    return written;
  }
  if (auto synced = this->SyncMark(); !synced) {
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
LogStore::StartSegment(bool aReset)
{
  const std::uint64_t sequence = this->segments.empty() ? 1 : this->segments.back().sequence + 1;
  auto file = this->disk.Open(SegmentPath(this->folder, sequence));
  if (!file) {
    return Fail(file.error());
  }
  std::string bytes = internal::SegmentHeader();
  if (aReset) {
    internal::AppendRecord(bytes, RecordType::Reset, "");
  }
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
  this->segments.push_back(LogSegment{ sequence, LogIndex() });
  if (auto marked = this->WriteMark(); !marked) {
    return marked;
  }
  return this->SyncMark();
}

// The slot that was synced last stays as it is until the other one is synced, since a power cut may
// tear all writes in between. A slot is that of its count's parity.
Result<void>
LogStore::WriteMark()
{
  this->markCount += this->markSynced ? 1 : 2;
  this->markSynced = false;
  const std::uint64_t sequence = this->segments.empty() ? 0 : this->segments.back().sequence;
  const internal::MarkSlot slot{ this->markCount, sequence, this->currentLength };
  return this->mark->Overwrite(internal::MarkOffset(slot), internal::EncodeMark(slot));
}

Result<void>
LogStore::SyncMark()
{
  auto synced = this->mark->Sync();
  this->markSynced = synced.has_value();
  return synced;
}

Result<void>
LogStore::WriteSnapshot(const Snapshot& aSnapshot)
{
  const std::string path = this->PathOf(internal::kNewSnapshotName);
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
  if (auto renamed = this->disk.Rename(path, this->PathOf(internal::kSnapshotName)); !renamed) {
    return renamed;
  }
  this->snapshotIndex = aSnapshot.index;
  return this->disk.SyncFolder(this->folder);
}

Result<void>
LogStore::DropOldSegments()
{
  while (this->segments.size() > 1 && this->segments.front().last <= this->snapshotIndex) {
    if (auto removed =
          this->disk.Remove(SegmentPath(this->folder, this->segments.front().sequence));
        !removed) {
      return removed;
    }
    // Of several removals that are not synced, a power cut may undo any and so leave a gap.
    if (auto synced = this->disk.SyncFolder(this->folder); !synced) {
      return synced;
    }
    this->segments.pop_front();
  }
  return Success();
}

} // namespace damasklink
