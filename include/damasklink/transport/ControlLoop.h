// The control thread, which owns all coordination state, and the interface of its modules.
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

// A part of the coordination state, for example replication, configuration, membership or store
// leases. All methods are called on the control thread.
class ControlModule
{
public:
  virtual ~ControlModule() = default;

  // Handles a peer's message on the module's channel.
  virtual void OnPeerMessage(const HostId& aFrom, const PeerMessage& aMessage) = 0;

  // Called every kControlTick and after each batch of tasks and messages.
  virtual void OnTick(MonotonicTime aNow) = 0;

  // Called once, when the process begins to shut down.
  virtual void OnShutdown() {}
};

constexpr Duration kControlTick = std::chrono::milliseconds(20);

// Runs modules on one thread, which takes its tasks from a bounded mailbox. Post(),
// PostPeerMessage() and AnnounceShutdown() are thread-safe.
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

  // Registers a module for a channel. Must be called before Start(); the module must outlive the
  // loop.
  void Add(Channel aChannel, ControlModule& aModule);

  void Start();

  // Ends the thread after the batch of tasks that it runs or takes next. Other tasks in the mailbox
  // are dropped.
  void Stop();

  // Queues a task. Returns false and drops the task when the mailbox is full or the loop stopped.
  bool Post(Task aTask);

  // Queues a peer's message for its module. Drops it when the mailbox is full, since the protocols
  // between hosts resend.
  void PostPeerMessage(HostId aFrom, PeerMessage aMessage);

  // Queues a call of OnShutdown() for all modules.
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
