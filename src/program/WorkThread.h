// One thread that runs waiting work, such as calls to targets, off the control thread.
#pragma once

#include <deque>
#include <functional>
#include <thread>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

namespace damasklink {

// Runs tasks one after the other. Bounded: a task that finds the queue full is refused.
//
//   WorkThread work(100);
//   work.Start();
//   work.Add([] { ... });   // From any thread.
class WorkThread
{
public:
  using Task = std::function<void()>;

  explicit WorkThread(std::size_t aMostTasks)
    : mostTasks(aMostTasks)
  {
  }
  ~WorkThread() { this->Stop(); }
  WorkThread(const WorkThread&) = delete;
  WorkThread& operator=(const WorkThread&) = delete;

  void Start();

  // Returns after the task that runs now; drops those that wait.
  void Stop();

  // Returns false, and does not run the task, when the queue is full or stopped.
  bool Add(Task aTask);

private:
  void Run();

  std::size_t mostTasks;
  std::thread thread;
  absl::Mutex mutex;
  std::deque<Task> tasks ABSL_GUARDED_BY(mutex);
  bool stopped ABSL_GUARDED_BY(mutex) = false;
};

} // namespace damasklink
