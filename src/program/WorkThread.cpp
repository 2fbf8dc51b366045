#include "WorkThread.h"

namespace damasklink {

void
WorkThread::Start()
{
  this->thread = std::thread([this] { this->Run(); });
}

void
WorkThread::Stop()
{
  {
    absl::MutexLock lock(&this->mutex);
    this->stopped = true;
    this->tasks.clear();
  }
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

bool
WorkThread::Add(Task aTask)
{
  absl::MutexLock lock(&this->mutex);
  if (this->stopped || this->tasks.size() >= this->maxTasks) {
    return false;
  }
  this->tasks.push_back(std::move(aTask));
  return true;
}

void
WorkThread::Run()
{
  while (true) {
    Task task;
    {
      absl::MutexLock lock(&this->mutex);
      const auto ready = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex) {
        return this->stopped || !this->tasks.empty();
      };
      this->mutex.Await(absl::Condition(&ready));
      if (this->stopped) {
        return;
      }
      task = std::move(this->tasks.front());
      this->tasks.pop_front();
    }
    task();
  }
}

} // namespace damasklink
