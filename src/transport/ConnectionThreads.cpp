#include "damasklink/transport/ConnectionThreads.h"

#include <utility>

namespace damasklink {
namespace {

// Refusing a connection takes almost no time, so a few threads suffice.
constexpr std::size_t kRefusalThreads = 4;

thread_local bool mustRefuse = false;

} // namespace

ConnectionThreads::ConnectionThreads(std::size_t aMaxConnections)
{
  this->serving.maxThreads = aMaxConnections;
  this->refusing.maxThreads = kRefusalThreads;
}

ConnectionThreads::~ConnectionThreads()
{
  this->Shutdown();
}

void
ConnectionThreads::Run(Task aTask)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  const bool mayGrow = this->serving.threads.size() < this->serving.maxThreads;
  const bool someIdle = this->serving.idleThreads > this->serving.queue.size();
  const bool refuses = !mayGrow && !someIdle;
  this->Enqueue(refuses ? this->refusing : this->serving, std::move(aTask), refuses);
}

void
ConnectionThreads::Shutdown()
{
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->stopped = true;
  }
  for (Pool* pool : { &this->serving, &this->refusing }) {
    pool->taskQueued.notify_all();
    for (std::thread& thread : pool->threads) {
      thread.join();
    }
    pool->threads.clear();
  }
}

bool
ConnectionThreads::MustRefuse()
{
  return mustRefuse;
}

// Requires the mutex to be held.
void
ConnectionThreads::Enqueue(Pool& aPool, Task aTask, bool aRefuses)
{
  aPool.queue.push_back(std::move(aTask));
  const bool needsThread = aPool.idleThreads < aPool.queue.size();
  if (needsThread && aPool.threads.size() < aPool.maxThreads) {
    aPool.threads.emplace_back([this, &aPool, aRefuses] { this->RunTasks(aPool, aRefuses); });
  }
  aPool.taskQueued.notify_one();
}

void
ConnectionThreads::RunTasks(Pool& aPool, bool aRefuses)
{
  mustRefuse = aRefuses;
  std::unique_lock<std::mutex> lock(this->mutex);
  while (true) {
    ++aPool.idleThreads;
    aPool.taskQueued.wait(lock, [&] { return this->stopped || !aPool.queue.empty(); });
    --aPool.idleThreads;
    if (aPool.queue.empty()) {
      return;
    }
    const Task task = std::move(aPool.queue.front());
    aPool.queue.pop_front();
    lock.unlock();
    task();
    lock.lock();
  }
}

} // namespace damasklink
