// Writes the logs of all groups on a thread of its own, so that no sync stalls the control thread.
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

// One batch that was synced, or why none of the group's batches will be any more.
struct WriteCompletion
{
  GroupId group;
  std::uint64_t number = 0;
  std::optional<Error> failure;
};

// What the store of a group holds that was opened anew, or why it could not be opened.
struct ReopenedStore
{
  GroupId group;
  Result<RecoveredLog> recovered;
};

// Takes batches from the control thread. Whatever has come in while a sync was under way is written
// and synced together by the next one.
class LogWriter
{
public:
  // aWake is called on the writer's thread when completions are there to be taken.
  explicit LogWriter(std::function<void()> aWake);
  ~LogWriter();
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  // Requires to be called before Start() and that the store is open.
  void Add(const GroupId& aGroup, std::unique_ptr<LogStore> aStore);

  void Start();

  // Writes what was handed in and ends the thread.
  void Stop();

  void Write(const GroupId& aGroup, PersistBatch aBatch);

  // Puts a store that is not open yet in the place of one that has failed, and opens it on the
  // writer's thread: a disk that refused a write may well hang next.
  void Reopen(const GroupId& aGroup, std::unique_ptr<LogStore> aStore);

  // Returns once all that was handed in so far has its completion.
  void WaitUntilIdle();

  std::vector<WriteCompletion> TakeCompletions();
  std::vector<ReopenedStore> TakeReopened();

private:
  struct GroupWork
  {
    std::vector<PersistBatch> batches;
    // To be opened after the batches were written.
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
