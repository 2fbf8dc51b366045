// Sends orders to targets on a thread of its own, with the lease checked around each.
#pragma once

#include <atomic>
#include <deque>
#include <functional>
#include <thread>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "damasklink/coordination/TargetOrders.h"

namespace damasklink {

// What the control thread last knew of its lease, readable from other threads.
//
// A process that was frozen wakes up with an old stamp: the lease counts as held only for kFresh
// after the control thread saw it held.
class LeaseStamp
{
public:
  static constexpr Duration kFresh = std::chrono::milliseconds(200);

  explicit LeaseStamp(const Clock& aClock)
    : clock(aClock)
  {
  }

  // Requires to be called every control tick.
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

// Sends queued orders one after the other; they are rare.
class OrderSender
{
public:
  // Called on the sender's thread.
  using Done = std::function<void(const TargetId&, OrderOutcome)>;

  OrderSender(const LeaseStamp& aLease, Duration aOrderInFlight, Done aDone);
  ~OrderSender();
  OrderSender(const OrderSender&) = delete;
  OrderSender& operator=(const OrderSender&) = delete;

  void Start();
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
