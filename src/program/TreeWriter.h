// Writes the tree in force to this host's disk on a thread of its own.
#pragma once

#include <optional>
#include <thread>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "damasklink/state/Clock.h"
#include "damasklink/state/TreeFile.h"

namespace damasklink {

// Keeps the newest tree it was given. Rests after each write for kRestFactor times as long as the
// write took, so that a large tree costs the disk little; the last one is written when it stops.
class TreeWriter
{
public:
  static constexpr int kRestFactor = 20;

  // Requires aFolder not to be empty.
  TreeWriter(const Clock& aClock, const std::string& aFolder);
  ~TreeWriter();
  TreeWriter(const TreeWriter&) = delete;
  TreeWriter& operator=(const TreeWriter&) = delete;

  // Returns what is stored. Requires to be called before Start().
  Result<RevisionedTree> Read() const { return this->file.Read(); }

  void Start();

  // Replaces what is to be written next; a copy that shares all contents.
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
