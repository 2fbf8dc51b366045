#include "damasklink/transport/ConnectionThreads.h"

#include <utility>

namespace damasklink {
namespace {

// Refusing takes no time, so a few threads do.
constexpr std::size_t kRefusalThreads = 4;

thread_local bool mustRefuse = false;

} // namespace

ConnectionThreads::ConnectionThreads(std::size_t aMost)
{
  this->serving.most = aMost;
  this->refusing.most = kRefusalThreads;
}

ConnectionThreads::~ConnectionThreads()
{
  this->Shutdown();
}

void
ConnectionThreads::Run(Task aTask)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  const bool mayGrow = this->serving.threads.size() < this->serving.most;
  const bool someIdle = this->serving.idle > this->serving.waiting.size();
  const bool refuses = !mayGrow && !someIdle;
  this->Give(refuses ? this->refusing : this->serving, std::move(aTask), refuses);
}

void
ConnectionThreads::Shutdown()
{
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->stopped = true;
  }
  for (Lane* lane : { &this->serving, &this->refusing }) {
    lane->arrived.notify_all();
    for (std::thread& thread : lane->threads) {
      thread.join();
    }
    lane->threads.clear();
  }
}

bool
ConnectionThreads::MustRefuse()
{
  return mustRefuse;
}

// Requires the mutex to be held.
void
ConnectionThreads::Give(Lane& aLane, Task aTask, bool aRefuses)
{
  aLane.waiting.push_back(std::move(aTask));
  const bool needsThread = aLane.idle < aLane.waiting.size();
  if (needsThread && aLane.threads.size() < aLane.most) {
    aLane.threads.emplace_back([this, &aLane, aRefuses] { this->Work(aLane, aRefuses); });
  }
  aLane.arrived.notify_one();
}

void
ConnectionThreads::Work(Lane& aLane, bool aRefuses)
{
  mustRefuse = aRefuses;
  std::unique_lock<std::mutex> lock(this->mutex);
  while (true) {
    ++aLane.idle;
    aLane.arrived.wait(lock, [&] { return this->stopped || !aLane.waiting.empty(); });
    --aLane.idle;
    if (aLane.waiting.empty()) {
      return;
    }
    const Task task = std::move(aLane.waiting.front());
    aLane.waiting.pop_front();
    lock.unlock();
    task();
    lock.lock();
  }
}

} // namespace damasklink
