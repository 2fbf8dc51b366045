// A worker thread for blocking tasks, such as calls to targets, that the control thread must not
// run.
#pragma once

#include <deque>
#include <functional>
#include <thread>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

namespace damasklink {

// Runs tasks one after another. The queue is bounded: Add() refuses a task when it is full.
//
//   WorkThread work(100);
//   work.Start();
//   const bool queued = work.Add([] { ... });
//
// Add() is thread-safe; Start() and Stop() must be called by one thread.
class WorkThread
{
public:
  using Task = std::function<void()>;

  explicit WorkThread(std::size_t aMaxTasks)
    : maxTasks(aMaxTasks)
  {
  }
  ~WorkThread() { this->Stop(); }
  WorkThread(const WorkThread&) = delete;
  WorkThread& operator=(const WorkThread&) = delete;

  void Start();

  // Drops the queued tasks, and returns when the running one has ended.
  void Stop();

  // Queues the task. Returns false, without running it, when the queue is full or stopped.
  bool Add(Task aTask);

private:
  void Run();

  std::size_t maxTasks;
  std::thread thread;
  absl::Mutex mutex;
  std::deque<Task> tasks ABSL_GUARDED_BY(mutex);
  bool stopped ABSL_GUARDED_BY(mutex) = false;
};

} // namespace damasklink
