// Log and snapshot files of one replica. docs/STATE.md describes the formats.
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "damasklink/state/Disk.h"
#include "damasklink/state/LogEntry.h"

namespace damasklink {

namespace internal {

// One log file.
struct LogSegment
{
  std::uint64_t sequence = 0;
  // The highest index of an entry inside.
  LogIndex last;
};

} // namespace internal

// Writes what a replica must not forget, and reads it back after a restart.
//
//   LogStore store(disk, folder);
//   auto recovered = store.Open();
//   auto written = store.Write(batches);   // Synced when it returns.
//
// Not thread-safe. After the first failure every further write fails with the same error.
class LogStore
{
public:
  LogStore(Disk& aDisk, std::string aFolder);

  // Reads all files, creating the folder when it is missing. A tail that was never acknowledged is
  // cut off. Fails with Corrupt where anything else is damaged or missing, with InvalidArgument for
  // files of another version, and with Storage when the disk refuses.
  Result<RecoveredLog> Open();

  // Writes the batches in order and syncs once for all of them. Requires Open().
  Result<void> Write(const std::vector<PersistBatch>& aBatches);

private:
  std::string PathOf(const std::string& aName) const;
  Result<void> OpenMark();
  Result<void> WriteAll(const std::vector<PersistBatch>& aBatches);
  void EncodeBatch(const PersistBatch& aBatch, std::string& aBytes);
  // Starts a new log file; with aReset, what it holds does not continue the entries before.
  Result<void> StartSegment(bool aReset = false);
  Result<void> WriteSnapshot(const Snapshot& aSnapshot);
  Result<void> WriteMark();
  Result<void> SyncMark();
  Result<void> DropOldSegments();
  Result<void> AppendAndSync(const std::string& aBytes);

  Disk& disk;
  std::string folder;
  std::deque<internal::LogSegment> segments;
  std::unique_ptr<DiskFile> current;
  std::uint64_t currentLength = 0;
  std::unique_ptr<DiskFile> mark;
  std::uint64_t markCount = 0;
  bool markSynced = true;
  HardState hardState;
  LogIndex snapshotIndex;
  std::optional<Error> failure;
};

} // namespace damasklink
