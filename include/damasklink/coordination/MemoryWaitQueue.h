// Decides which requests wait until memory is given back, and which of them is next.
//
//   MemoryWaitQueue queue(clock, budget);
//   auto place = queue.Add(MemoryRequest{ priority, bytes, longestWait });
//   if (!place) ...                               // Refuse at once.
//   for (ticket : queue.TakeDisplaced()) ...      // Refuse these, more urgent ones came.
//   while (auto next = queue.NextThatFits()) ...  // Reserve, then queue.Remove(*next).
//   queue.OnExpired(ticket);                      // It has waited for too long.
//
// More urgent requests come first, then those that came first. A request that is not expected to
// get its memory within its wait is not added: its caller had better hear that at once.
//
// Not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "damasklink/coordination/MemoryBudget.h"
#include "damasklink/state/Clock.h"

namespace damasklink {

using MemoryTicket = NumberId<struct MemoryTicketTag>;

struct MemoryRequest
{
  // 0 is the most urgent.
  int priority = 0;
  std::size_t bytes = 0;
  Duration longestWait{ 0 };
};

class MemoryWaitQueue
{
public:
  // What waits unread still fills receive buffers of the system.
  static constexpr std::size_t kMostWaiting = 32;

  MemoryWaitQueue(const Clock& aClock, const MemoryBudget& aBudget)
    : clock(aClock)
    , budget(aBudget)
  {
  }

  std::optional<MemoryTicket> Add(const MemoryRequest& aRequest);

  // Returns the first request if the budget has room for it.
  std::optional<MemoryTicket> NextThatFits() const;

  // The request has got its memory, or its caller has left.
  void Remove(MemoryTicket aTicket);
  void OnExpired(MemoryTicket aTicket);

  // Returns the requests that had to make room for more urgent ones; they no longer wait.
  std::vector<MemoryTicket> TakeDisplaced();

  // To be called when memory was given back.
  void OnReleased(std::size_t aBytes);

  std::size_t Size() const { return this->waiting.size(); }

  // Requires that the request waits.
  std::size_t BytesOf(MemoryTicket aTicket) const
  {
    return this->waiting.at(this->places.at(aTicket)).bytes;
  }

private:
  // In the order in which memory is given.
  struct Place
  {
    int priority = 0;
    MemoryTicket ticket;

    // clang-tidy 14 mistakes the generated comparison with zero for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const Place&) const = default;
  };

  // Returns whether the request is expected to have its memory before its wait is over.
  bool IsExpectedInTime(const MemoryRequest& aRequest) const;
  std::size_t BytesAheadOf(int aPriority) const;
  bool MakeRoomFor(const MemoryRequest& aRequest);
  double ReleaseRate() const;

  const Clock& clock;
  const MemoryBudget& budget;
  MemoryTicket last;
  std::map<Place, MemoryRequest> waiting;
  std::map<MemoryTicket, Place> places;
  std::vector<MemoryTicket> displaced;
  // Bytes given back per second, averaged over the last second or two, as of releasedAt.
  double rate = 0;
  // When memory was first given back after a pause, and last.
  MonotonicTime measuredSince;
  MonotonicTime releasedAt;
  MonotonicTime expiredAt;
};

} // namespace damasklink
