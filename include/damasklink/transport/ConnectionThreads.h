// A thread pool for connections: one thread each up to a limit, and a few that only refuse.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace damasklink {

// Runs each connection on a thread of its own. Connections above the limit run on separate threads
// that only refuse them, so that no connection waits unanswered behind long streams.
//
//   ConnectionThreads threads(2000);
//   threads.Run([] { ... });           // Runs on the connection's thread.
//   ConnectionThreads::MustRefuse();   // Inside the task: true when it exceeds the limit.
//
// Threads are created on demand and reused. Thread-safe.
class ConnectionThreads
{
public:
  using Task = std::function<void()>;

  // Serves up to aMaxConnections connections at once, which must be at least 1.
  explicit ConnectionThreads(std::size_t aMaxConnections);
  ~ConnectionThreads();
  ConnectionThreads(const ConnectionThreads&) = delete;
  ConnectionThreads& operator=(const ConnectionThreads&) = delete;

  // Queues the task. It must refuse its work only if all serving threads are busy already.
  void Run(Task aTask);

  // Waits until all queued tasks have ended. Requires that Run() is not called afterwards.
  void Shutdown();

  // Returns whether the task that runs on the calling thread must refuse its work.
  static bool MustRefuse();

private:
  struct Pool
  {
    std::deque<Task> queue;
    std::size_t idleThreads = 0;
    std::size_t maxThreads = 0;
    std::vector<std::thread> threads;
    std::condition_variable taskQueued;
  };

  void Enqueue(Pool& aPool, Task aTask, bool aRefuses);
  void RunTasks(Pool& aPool, bool aRefuses);

  std::mutex mutex;
  bool stopped = false;
  Pool serving;
  Pool refusing;
};

} // namespace damasklink
