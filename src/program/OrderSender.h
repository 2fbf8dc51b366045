// Sends orders to targets on a separate thread, and checks the leader's lease before and after
// each.
#pragma once

#include <atomic>
#include <deque>
#include <functional>
#include <thread>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "damasklink/coordination/TargetOrders.h"

namespace damasklink {

// Lets other threads read whether the control thread holds the leader's lease. Thread-safe.
//
// The lease counts as held only for kFresh after the control thread last confirmed it, so that a
// process that was suspended does not rely on an outdated lease when it continues.
class LeaseStamp
{
public:
  static constexpr Duration kFresh = std::chrono::milliseconds(200);

  explicit LeaseStamp(const Clock& aClock)
    : clock(aClock)
  {
  }

  // Must be called in each tick of the control thread.
  void Set(bool aHeld)
  {
    const MonotonicTime until = aHeld ? this->clock.MonotonicNow() + kFresh : MonotonicTime();
    this->heldUntil.store(until.time_since_epoch().count());
  }

  bool Held() const
  {
    return this->clock.MonotonicNow().time_since_epoch().count() < this->heldUntil.load();
  }

private:
  const Clock& clock;
  std::atomic<MonotonicTime::rep> heldUntil{ 0 };
};

// Sends queued orders one after the other, which is sufficient since orders are rare.
//
//   OrderSender sender(lease, orderInFlight, done);
//   sender.Start();
//   sender.Send(order);
//
// Send() may be called on any thread, Start() and Stop() on one.
class OrderSender
{
public:
  // Called on the sender's thread with the outcome of each order.
  using Done = std::function<void(const TargetId&, OrderOutcome)>;

  // aOrderInFlight limits how long an answer is awaited. aLease must outlive the sender.
  OrderSender(const LeaseStamp& aLease, Duration aOrderInFlight, Done aDone);
  ~OrderSender();
  OrderSender(const OrderSender&) = delete;
  OrderSender& operator=(const OrderSender&) = delete;

  void Start();
  // Waits for the order in flight; orders still in the queue are dropped.
  void Stop();
  void Send(TargetOrder aOrder);

private:
  void Run();
  OrderOutcome SendNow(const TargetOrder& aOrder) const;

  const LeaseStamp& lease;
  Duration orderInFlight;
  Done done;
  std::thread thread;
  absl::Mutex mutex;
  std::deque<TargetOrder> queue ABSL_GUARDED_BY(mutex);
  bool stopped ABSL_GUARDED_BY(mutex) = false;
};

} // namespace damasklink
