// Writes the logs of all groups on a separate thread, so that no sync blocks the control thread.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "damasklink/state/LogStore.h"

namespace damasklink {

// The last batch of a group that was synced, or the error after which its store takes no more.
struct WriteCompletion
{
  GroupId group;
  std::uint64_t number = 0;
  std::optional<Error> failure;
};

// The content of a reopened store, or why it could not be opened.
struct ReopenedStore
{
  GroupId group;
  Result<RecoveredLog> recovered;
};

// Writes and syncs batches of log entries. Batches that arrive during a sync are written and synced
// together by the next one (group commit).
//
//   LogWriter writer(wake);
//   writer.Add(group, store);
//   writer.Start();
//   writer.Write(group, batch);   // Later: TakeCompletions().
//
// Thread-safe, except for Add(), Start() and Stop().
class LogWriter
{
public:
  // aWake is called on the writer's thread when there are new completions.
  explicit LogWriter(std::function<void()> aWake);
  ~LogWriter();
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  // Adds an open store. To be called before Start().
  void Add(const GroupId& aGroup, std::unique_ptr<LogStore> aStore);

  void Start();

  // Writes the pending batches and ends the thread.
  void Stop();

  void Write(const GroupId& aGroup, PersistBatch aBatch);

  // Replaces a store that failed by one that is not open yet, and opens that on the writer's
  // thread, since a disk that refused a write may block.
  void Reopen(const GroupId& aGroup, std::unique_ptr<LogStore> aStore);

  // Returns once all batches so far are completed.
  void WaitUntilIdle();

  std::vector<WriteCompletion> TakeCompletions();
  std::vector<ReopenedStore> TakeReopened();

private:
  struct GroupWork
  {
    std::vector<PersistBatch> batches;
    // To be opened after the batches are written.
    std::unique_ptr<LogStore> reopened;
  };
  using Work = std::map<GroupId, GroupWork>;

  void Run();
  WriteCompletion WriteGroup(const GroupId& aGroup, const std::vector<PersistBatch>& aBatches);
  ReopenedStore OpenGroup(const GroupId& aGroup, std::unique_ptr<LogStore> aStore);

  std::function<void()> wake;
  std::map<GroupId, std::unique_ptr<LogStore>> stores;
  std::thread thread;
  absl::Mutex mutex;
  Work work ABSL_GUARDED_BY(mutex);
  std::vector<WriteCompletion> completions ABSL_GUARDED_BY(mutex);
  std::vector<ReopenedStore> reopenedStores ABSL_GUARDED_BY(mutex);
  bool writing ABSL_GUARDED_BY(mutex) = false;
  bool stopped ABSL_GUARDED_BY(mutex) = false;
};

} // namespace damasklink
