// Lets calls wait at their host until a target has room for them. AdmissionWaitQueue decides on the
// order, and who is refused; this offers room to the calls whenever some may have become free.
#pragma once

#include <functional>
#include <map>

#include "damasklink/coordination/AdmissionWaitQueue.h"
#include "damasklink/state/Metrics.h"
#include "damasklink/transport/EventLoop.h"

namespace damasklink {

enum class RoomWaitEnd
{
  Begun,     // The call has found room.
  Refused,   // Not added: it is not expected to begin in time.
  Displaced, // More urgent calls came.
  Expired,   // No room in time.
  Left,      // It was removed.
};

// Returns the name used in logs and metrics.
std::string_view
RoomWaitEndName(RoomWaitEnd aEnd);

// Must be used on the thread of the event loop only.
class RoomWaiters
{
public:
  // Returns whether there is room. The call must use it as soon as its wait has ended.
  using FindRoom = std::function<bool()>;
  // Returns the rank of the call under the configuration in force.
  using CurrentRank = std::function<CallRank()>;

  // How often room is offered while calls wait. Other hosts' calls end, too.
  static constexpr Duration kOfferInterval = std::chrono::milliseconds(50);
  // Calls that are offered room at a time. If so many find none, those after them seldom do.
  static constexpr std::size_t kMostOffers = 8;

  RoomWaiters(asio::io_context& aLoop, const Clock& aClock, Metrics& aMetrics);

  // What a call that waits provides. Both may be called until its wait ends.
  struct Waiter
  {
    FindRoom findRoom;
    CurrentRank rank;
  };

  // Returns once the call has room or gets none. The place in the queue is stored in aTicket while
  // the call waits, for Leave().
  Awaitable<RoomWaitEnd> Wait(const AdmissionRequest& aRequest,
                              Waiter aWaiter,
                              std::optional<AdmissionTicket>& aTicket);

  // Ends the wait of a call that needs no room any more.
  void Leave(AdmissionTicket aTicket);

  // Takes the ranks of all waiting calls from a configuration that has come into force.
  void OnConfiguration();

  // Ends all waits, because the host stops: other hosts may have room.
  void EndAll();

  // A call has ended at a target, or it has become known that others have.
  void OnRoomFreed();

  std::size_t Count() const { return this->queue.Size(); }

private:
  struct Entry
  {
    Waiter waiter;
    asio::steady_timer& timer;
    RoomWaitEnd end = RoomWaitEnd::Left;
  };

  void End(AdmissionTicket aTicket, RoomWaitEnd aEnd);
  void ScheduleOffer();
  void Offer();
  bool OfferToFirst();

  asio::io_context& loop;
  Metrics& metrics;
  AdmissionWaitQueue queue;
  std::map<AdmissionTicket, Entry*> entries;
  asio::steady_timer interval;
  bool intervalRuns = false;
  bool offerPosted = false;
};

} // namespace damasklink
