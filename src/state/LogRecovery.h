// Reads the files of one replica at start. Internal to src/state.
#pragma once

#include <deque>
#include <string>
#include <vector>

#include "damasklink/state/LogStore.h"

namespace damasklink::internal {

// What the files hold.
struct RecoveredFiles
{
  RecoveredLog log;
  // Oldest first.
  std::deque<LogSegment> segments;
  // How often the mark was written.
  std::uint64_t markCount = 0;
  // Whether the snapshot has replaced all entries but no record says so yet. What is appended does
  // not continue these entries.
  bool needsReset = false;
};

// Reads all files of the folder. A tail that was never acknowledged is cut off; what is left is
// synced. Fails with Corrupt where anything else is damaged or missing.
Result<RecoveredFiles>
RecoverFiles(Disk& aDisk, const std::string& aFolder);

// Returns the path of a log file.
std::string
SegmentPath(const std::string& aFolder, std::uint64_t aSequence);

constexpr const char* kSnapshotName = "snapshot";
constexpr const char* kNewSnapshotName = "snapshot.new";
constexpr const char* kMarkName = "synced";

} // namespace damasklink::internal
