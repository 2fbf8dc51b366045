// Writes the configuration tree in force to this host's disk in the background.
#pragma once

#include <optional>
#include <thread>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "damasklink/state/Clock.h"
#include "damasklink/state/TreeFile.h"

namespace damasklink {

// Writes the newest scheduled tree on a separate thread. After each write it pauses for kRestFactor
// times as long as the write took, so that a large tree takes little of the disk's throughput. The
// destructor writes a tree that is still scheduled.
//
//   TreeWriter writer(clock, folder);
//   auto stored = writer.Read();
//   writer.Start();
//   writer.ScheduleWrite(tree);
//
// ScheduleWrite() may be called on any thread. Failed writes are logged.
class TreeWriter
{
public:
  static constexpr int kRestFactor = 20;

  // aFolder must not be empty.
  TreeWriter(const Clock& aClock, const std::string& aFolder);
  ~TreeWriter();
  TreeWriter(const TreeWriter&) = delete;
  TreeWriter& operator=(const TreeWriter&) = delete;

  // Returns the stored tree. Must be called before Start().
  Result<RevisionedTree> Read() const { return this->file.Read(); }

  void Start();

  // Replaces the tree to be written next. Copying is cheap, since copies of a tree share contents.
  void ScheduleWrite(const RevisionedTree& aTree);

private:
  void Run();
  void Write(const RevisionedTree& aTree);

  const Clock& clock;
  PosixDisk disk;
  TreeFile file;
  std::thread thread;
  absl::Mutex mutex;
  std::optional<RevisionedTree> next ABSL_GUARDED_BY(mutex);
  bool stopped ABSL_GUARDED_BY(mutex) = false;
};

} // namespace damasklink
