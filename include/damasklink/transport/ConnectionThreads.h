// Threads for open connections: as many as are needed up to a limit, and a few that only refuse.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace damasklink {

// Runs each connection on a thread of its own, and refuses at once what exceeds the limit, so that
// no connection waits unanswered behind long streams.
//
//   ConnectionThreads threads(2000);
//   threads.Run([] { ... });   // On the connection's thread.
//   ConnectionThreads::MustRefuse();   // Inside the task: true when it exceeds the limit.
//
// Threads are made when needed and kept for the next connection. Safe from any thread.
class ConnectionThreads
{
public:
  using Task = std::function<void()>;

  // Requires aMost to be at least 1.
  explicit ConnectionThreads(std::size_t aMost);
  ~ConnectionThreads();
  ConnectionThreads(const ConnectionThreads&) = delete;
  ConnectionThreads& operator=(const ConnectionThreads&) = delete;

  // Runs the task soon, on a thread that may refuse only when aMost tasks run already.
  void Run(Task aTask);

  // Returns once all tasks have ended. No task may be given afterwards.
  void Shutdown();

  // Returns whether the task on this thread has to refuse its work.
  static bool MustRefuse();

private:
  struct Lane
  {
    std::deque<Task> waiting;
    std::size_t idle = 0;
    std::size_t most = 0;
    std::vector<std::thread> threads;
    std::condition_variable arrived;
  };

  void Give(Lane& aLane, Task aTask, bool aRefuses);
  void Work(Lane& aLane, bool aRefuses);

  std::mutex mutex;
  bool stopped = false;
  Lane serving;
  Lane refusing;
};

} // namespace damasklink
