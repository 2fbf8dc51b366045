#include "damasklink/transport/ControlLoop.h"

#include <utility>

#include <absl/time/time.h>

namespace damasklink {

ControlLoop::ControlLoop(const Clock& aClock, std::size_t aMailboxSize)
  : clock(aClock)
  , mailboxSize(aMailboxSize)
{
}

ControlLoop::~ControlLoop()
{
  this->Stop();
}

void
ControlLoop::Add(Channel aChannel, ControlModule& aModule)
{
  this->modules.push_back(Registration{ aChannel, &aModule });
}

void
ControlLoop::Start()
{
  this->thread = std::thread([this] { this->Run(); });
}

void
ControlLoop::Stop()
{
  {
    absl::MutexLock lock(&this->mutex);
    this->stopped = true;
  }
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

bool
ControlLoop::Post(Task aTask)
{
  absl::MutexLock lock(&this->mutex);
  if (this->stopped || this->mailbox.size() >= this->mailboxSize) {
    return false;
  }
  this->mailbox.push_back(std::move(aTask));
  return true;
}

void
ControlLoop::PostPeerMessage(HostId aFrom, PeerMessage aMessage)
{
  this->Post([this, from = std::move(aFrom), message = std::move(aMessage)] {
    for (const Registration& entry : this->modules) {
      if (entry.channel == message.channel) {
        entry.module->OnPeerMessage(from, message);
      }
    }
  });
}

void
ControlLoop::AnnounceShutdown()
{
  this->Post([this] {
    for (const Registration& entry : this->modules) {
      entry.module->OnShutdown();
    }
  });
}

void
ControlLoop::Run()
{
  MonotonicTime nextTick = this->clock.MonotonicNow();
  while (true) {
    for (const Task& task : this->TakeTasks(nextTick)) {
      task();
    }
    {
      absl::MutexLock lock(&this->mutex);
      if (this->stopped) {
        return;
      }
    }
    const MonotonicTime now = this->clock.MonotonicNow();
    for (const Registration& entry : this->modules) {
      entry.module->OnTick(now);
    }
    if (now >= nextTick) {
      nextTick = now + kControlTick;
    }
  }
}

std::vector<ControlLoop::Task>
ControlLoop::TakeTasks(MonotonicTime aUntil)
{
  const Duration wait = aUntil - this->clock.MonotonicNow();
  const auto ready = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex) {
    return this->stopped || !this->mailbox.empty();
  };
  absl::MutexLock lock(&this->mutex);
  this->mutex.AwaitWithTimeout(absl::Condition(&ready), absl::FromChrono(wait));
  return std::exchange(this->mailbox, {});
}

} // namespace damasklink
