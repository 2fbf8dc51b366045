// The one thread that owns all coordination state, and the modules that live on it.
#pragma once

#include <functional>
#include <memory>
#include <string_view>
#include <thread>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "damasklink/state/Clock.h"
#include "damasklink/transport/PeerNetwork.h"

namespace damasklink {

// A part of the control state: agreement, configuration, membership, store ownership, ...
// All calls come on the control thread.
class ControlModule
{
public:
  virtual ~ControlModule() = default;

  // Takes a message of the module's channel from a peer.
  virtual void OnPeerMessage(const HostId& aFrom, const PeerMessage& aMessage) = 0;

  // Called every tick (kControlTick) and after each batch of messages.
  virtual void OnTick(MonotonicTime aNow) = 0;

  // Called once when the process begins to shut down.
  virtual void OnShutdown() {}
};

constexpr Duration kControlTick = std::chrono::milliseconds(20);

// Runs modules on one thread, fed through a bounded mailbox.
//
//   ControlLoop loop(clock, 4096);
//   loop.Add(Channel::Membership, membership);
//   loop.Start();
//   loop.Post([&] { ... });   // From any thread; runs on the control thread.
class ControlLoop
{
public:
  using Task = std::function<void()>;

  ControlLoop(const Clock& aClock, std::size_t aMailboxSize);
  ~ControlLoop();
  ControlLoop(const ControlLoop&) = delete;
  ControlLoop& operator=(const ControlLoop&) = delete;

  // Adds a module for a channel. Requires to be called before Start(); the module must outlive
  // the loop.
  void Add(Channel aChannel, ControlModule& aModule);

  void Start();

  // Ends the thread after the task it is running. Tasks still in the mailbox are dropped.
  void Stop();

  // Queues a task. Returns false, and does not run it, when the mailbox is full or stopped.
  bool Post(Task aTask);

  // Queues a peer's message for its module. Drops it when the mailbox is full: protocols between
  // hosts resend.
  void PostPeerMessage(HostId aFrom, PeerMessage aMessage);

  // Tells all modules that the process begins to shut down.
  void AnnounceShutdown();

private:
  struct Registration
  {
    Channel channel;
    ControlModule* module;
  };

  void Run();
  std::vector<Task> TakeTasks(MonotonicTime aUntil);

  const Clock& clock;
  std::size_t mailboxSize;
  std::vector<Registration> modules;
  std::thread thread;
  absl::Mutex mutex;
  std::vector<Task> mailbox ABSL_GUARDED_BY(mutex);
  bool stopped ABSL_GUARDED_BY(mutex) = false;
};

} // namespace damasklink
