// Which waiting request goes next, and which is refused at once.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "damasklink/state/Clock.h"
#include "damasklink/state/Error.h"
#include "damasklink/state/Ids.h"

namespace damasklink {

// Targets that can take each other's requests: those of one model, or of one service.
using PoolId = StringId<struct PoolIdTag>;
// Counts the requests that were offered to one queue.
using AdmissionId = NumberId<struct AdmissionIdTag>;

// A request that asks to be sent.
struct AdmissionRequest
{
  WorkspaceId workspace;
  PoolId pool;
  // The workspace's weight against the others; at least 1.
  std::uint64_t share = 1;
  // Within the workspace; 0 goes first.
  std::uint64_t priority = 1;
  // What it takes of the pool, in any unit that all requests share; more than 0.
  double cost = 1;
  // When its whole answer is of no use any more.
  MonotonicTime deadline;
};

// Why a request was refused, and when it may come back. Surely not run.
struct AdmissionRefusal
{
  Error error;
  Duration retryAfter{ 0 };
};

// The final word on one request.
struct AdmissionDecision
{
  AdmissionId id;
  // Empty when it is admitted.
  std::optional<AdmissionRefusal> refusal;
};

// Shares the capacity of pools between workspaces in proportion to their weights (start-time fair
// queueing), whatever each of them asks for; priorities order the requests of one workspace.
//
//   AdmissionQueue queue(clock, 1024);
//   queue.SetCapacity(pool, 32);
//   AdmissionId id = queue.Offer(request);
//   for (const AdmissionDecision& decision : queue.TakeDecisions()) ...
//   queue.Finish(id, true);
//
// Every request that was offered is decided exactly once, unless Cancel() came first; every one
// that was admitted needs Finish(). Bounded: when the queue is full, the workspace that waits with
// the most for its weight loses its last request. Not thread-safe.
class AdmissionQueue
{
public:
  AdmissionQueue(const Clock& aClock, std::size_t aMostWaiting);

  AdmissionId Offer(const AdmissionRequest& aRequest);

  // Withdraws a waiting request. Returns false when it was decided already.
  bool Cancel(AdmissionId aId);

  // Frees the place of an admitted request. Only one that was answered tells how long they take.
  void Finish(AdmissionId aId, bool aAnswered);

  // Sets how many requests of the pool may run at once.
  void SetCapacity(const PoolId& aPool, std::size_t aCapacity);

  // Counts what the workspace got on another host of the zone against its share here.
  void AddRemoteUse(const WorkspaceId& aWorkspace, double aCost);

  // Returns the decisions since the last call.
  std::vector<AdmissionDecision> TakeDecisions();

  // Returns what each workspace got here since the last call.
  std::map<WorkspaceId, double> TakeLocalUse();

  std::size_t Waiting() const { return this->waiting; }

  // Returns how long a request would wait now, or zero while the pool has room.
  Duration ExpectedWait(const AdmissionRequest& aRequest) const;

private:
  struct Queued
  {
    AdmissionId id;
    AdmissionRequest request;
  };
  struct Running
  {
    PoolId pool;
    MonotonicTime since;
  };
  struct Pool
  {
    std::size_t capacity = 0;
    std::size_t running = 0;
    // Mean time from admission to the end of an answer, and mean distance from it; zero while
    // unknown.
    Duration meanTime{ 0 };
    Duration meanDeviation{ 0 };
    std::map<WorkspaceId, std::deque<Queued>> waiting;
  };
  struct Account
  {
    std::uint64_t share = 1;
    // Virtual time at which what the workspace got so far is paid for.
    double paidUntil = 0;
    std::size_t waiting = 0;
  };

  // Whether a request that is sent after aWait will most likely be answered in time.
  bool CanMeetDeadline(const Pool& aPool, const AdmissionRequest& aRequest, Duration aWait) const;
  void RefuseAsTooLate(AdmissionId aId, Duration aRetryAfter);
  void Enqueue(Pool& aPool, Queued aQueued);
  // Admits waiting requests, in the order of shares, while the pool has room.
  void AdmitWaiting(Pool& aPool);
  void Admit(Pool& aPool, const Queued& aQueued);
  void Refuse(AdmissionId aId, Error aError, Duration aRetryAfter);
  // Refuses a waiting request of a workspace that waits with more for its weight, if there is one.
  void EvictFor(const AdmissionRequest& aRequest);
  // Returns the next request of the workspace that is furthest behind its share.
  std::map<WorkspaceId, std::deque<Queued>>::iterator NextWorkspace(Pool& aPool);
  // Returns the virtual time at which the workspace's next request is due.
  double StartOf(const WorkspaceId& aWorkspace) const;

  const Clock& clock;
  std::size_t mostWaiting;
  std::size_t waiting = 0;
  AdmissionId lastId;
  double virtualTime = 0;
  std::map<PoolId, Pool> pools;
  std::map<WorkspaceId, Account> accounts;
  std::map<AdmissionId, Running> running;
  std::map<WorkspaceId, double> localUse;
  std::vector<AdmissionDecision> decisions;
};

} // namespace damasklink
