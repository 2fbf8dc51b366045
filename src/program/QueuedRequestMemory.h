// The memory of callers' requests at an entry host: large requests wait for a moment when it is
// full, and what cannot have it soon is refused. The budget may be used for longer than this object
// lives.
//
//   QueuedRequestMemory memory(loop, clock, budget, metrics, describe, makeRoom, seed);
//   auto request = co_await connection.Read(limits, memory);
//
// Must be used on the thread of the event loop only. MemoryWaitQueue.h decides who waits.
#pragma once

#include <functional>
#include <map>

#include "damasklink/coordination/MemoryWaitQueue.h"
#include "damasklink/coordination/RetryScheduler.h"
#include "damasklink/state/Metrics.h"
#include "damasklink/transport/RequestMemory.h"

namespace damasklink {

// What the head of a request says about its memory.
struct RequestUrgency
{
  RequestId request;
  // 0 is the most urgent.
  int priority = 0;
  // How long the caller waits for its response.
  Duration patience{ 0 };
};

class QueuedRequestMemory final : public RequestMemory
{
public:
  using Describe = std::function<RequestUrgency(const HttpRequestHead& aHead)>;
  // Gives back up to this many bytes that others can do without.
  using MakeRoom = std::function<void(std::size_t aBytes)>;

  // The longest wait. Callers give up a request that is not read for a second.
  static constexpr Duration kMaxWait = std::chrono::milliseconds(800);
  // Share of the caller's patience that a request may wait; the rest is left for the target.
  static constexpr double kShareOfPatience = 0.25;

  QueuedRequestMemory(asio::io_context& aLoop,
                      const Clock& aClock,
                      MemoryBudget& aBudget,
                      Metrics& aMetrics,
                      Describe aDescribe,
                      MakeRoom aMakeRoom,
                      std::uint64_t aSeed);
  ~QueuedRequestMemory() override;
  QueuedRequestMemory(const QueuedRequestMemory&) = delete;
  QueuedRequestMemory& operator=(const QueuedRequestMemory&) = delete;

  Awaitable<Result<MemoryReservation>> Reserve(const HttpRequestHead& aHead,
                                               std::size_t aBytes) override;

  // Returns when the caller of a refused request should come back.
  Duration RetryDelay() { return this->scheduler.NextRetryDelay(); }

  // Logs when the memory is no longer full. Must be called periodically.
  void CheckState();

private:
  // Returns a reservation if nobody waits for one before.
  std::optional<MemoryReservation> TryReserve(std::size_t aBytes);

  struct Waiter
  {
    asio::steady_timer& timer;
    MemoryReservation granted;
    bool done = false;
    bool displaced = false;
  };

  Awaitable<Result<MemoryReservation>> AwaitMemory(const RequestUrgency& aUrgency,
                                                   std::size_t aBytes);
  Error Refuse(const RequestUrgency& aUrgency, std::size_t aBytes, std::string_view aReason);
  void OnReleased(MemoryUse aUse, std::size_t aBytes);
  // Gives memory to the requests that wait, as far as it suffices.
  void GiveToWaiting();
  void NoteFull();

  asio::io_context& loop;
  const Clock& clock;
  MemoryBudget& budget;
  Metrics& metrics;
  Describe describe;
  MakeRoom makeRoom;
  MemoryWaitQueue queue;
  RetryScheduler scheduler;
  std::map<MemoryTicket, Waiter*> waiters;
  bool giving = false;
  // Whether requests had to wait or were refused of late.
  bool full = false;
  MonotonicTime fullAt;
  std::uint64_t waited = 0;
  std::uint64_t refused = 0;
};

} // namespace damasklink
