// Decides which calls wait at their host until a target has room, in which order they get it, and
// which are refused instead.
//
//   AdmissionWaitQueue queue(clock);
//   auto ticket = queue.Add(AdmissionRequest{ rank, tokens, beginBy, leavesAt });
//   if (!ticket) ...                                  // Refuse at once.
//   for (ticket : queue.TakeDisplaced()) ...          // Refuse these: more urgent calls came.
//   for (ticket : queue.TakeExpired()) ...            // Refuse these: they can't begin in time.
//   for (ticket : queue.InOrder()) ...                // Offer room in this order.
//   queue.OnBegun(ticket);
//
// Waiting at the host rather than at a target keeps the order of calls, and leaves the choice of
// the target until one has room. Calls of a more urgent rank come first. Within a rank, those that
// can still meet their objective come before those that are late already, then the one that must
// begin first.
//
// A call is not added if it is not expected to begin before its caller leaves, at the rate at which
// waiting calls began lately: its caller had better know at once. Not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "damasklink/coordination/CallRank.h"
#include "damasklink/state/Clock.h"
#include "damasklink/state/Units.h"

namespace damasklink {

using AdmissionTicket = NumberId<struct AdmissionTicketTag>;

struct AdmissionRequest
{
  CallRank rank;
  // Room that the call needs at a target.
  TokenCount tokens;
  // The latest time to begin at which the call meets its objective.
  MonotonicTime beginBy;
  // The latest time to begin at which the caller still takes the answer.
  MonotonicTime leavesAt;
};

class AdmissionWaitQueue
{
public:
  // Each waiting call is offered room many times a second.
  static constexpr std::size_t kMostWaiting = 64;
  // How often calls that come later may begin before one that finds no room, for example because it
  // needs more of it.
  static constexpr int kMostPasses = 16;
  // Until so many waiting calls have begun, the rate is not known.
  static constexpr double kMinObserved = 3;

  explicit AdmissionWaitQueue(const Clock& aClock)
    : clock(aClock)
  {
  }

  std::optional<AdmissionTicket> Add(const AdmissionRequest& aRequest);

  // Returns the calls that had to leave for more urgent ones; they no longer wait.
  std::vector<AdmissionTicket> TakeDisplaced();

  // Returns the calls whose callers would leave before the answer; they no longer wait.
  std::vector<AdmissionTicket> TakeExpired();

  // Returns the waiting calls in the order in which they are to get room. Ends with one that may
  // not be passed any more.
  std::vector<AdmissionTicket> InOrder() const;

  // Requires that the call waits.
  const AdmissionRequest& RequestOf(AdmissionTicket aTicket) const
  {
    return this->waiting.at(aTicket);
  }

  // Sets the rank of a waiting call, after a change of the configuration.
  void SetRank(AdmissionTicket aTicket, const CallRank& aRank);

  // The call has got room.
  void OnBegun(AdmissionTicket aTicket);

  // The call no longer waits, for another reason.
  void Remove(AdmissionTicket aTicket);

  std::size_t Size() const { return this->waiting.size(); }

private:
  std::vector<AdmissionTicket> Sorted() const;
  // Returns whether the first call gets room before the second one.
  bool Precedes(AdmissionTicket aFirst, AdmissionTicket aSecond) const;
  bool IsExpectedToBegin(AdmissionTicket aTicket) const;
  void Decay();

  const Clock& clock;
  AdmissionTicket last;
  std::map<AdmissionTicket, AdmissionRequest> waiting;
  // How often waiting calls were passed.
  std::map<AdmissionTicket, int> passes;
  std::vector<AdmissionTicket> displaced;
  // Waiting calls that began, decayed over the last second or two, as of decayedAt.
  double begun = 0;
  MonotonicTime decayedAt;
};

} // namespace damasklink
