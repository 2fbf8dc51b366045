// Admission control: which queued request is sent next, and which is refused.
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

// Names a pool: the targets of one model or of one service, which can serve each other's requests.
using PoolId = StringId<struct PoolIdTag>;
// Number of a request in its queue, in the order of Offer().
using AdmissionId = NumberId<struct AdmissionIdTag>;

// A request that asks for admission.
struct AdmissionRequest
{
  WorkspaceId workspace;
  PoolId pool;
  // Weight of the workspace relative to the others, at least 1.
  std::uint64_t share = 1;
  // Orders the requests of one workspace; 0 goes first.
  std::uint64_t priority = 1;
  // Capacity that the request uses, greater than 0, in any unit that is common to all requests.
  double cost = 1;
  // When the complete answer must have arrived.
  MonotonicTime deadline;
};

// Why a request was refused and when to retry. A refused request was not run.
struct AdmissionRefusal
{
  Error error;
  Duration retryAfter{ 0 };
};

// The decision on one request. It is final.
struct AdmissionDecision
{
  AdmissionId id;
  // Empty when the request is admitted.
  std::optional<AdmissionRefusal> refusal;
};

// Shares the capacity of pools between workspaces in proportion to their weights (start-time fair
// queueing), whatever the demand of each; priorities order the requests of one workspace.
//
//   AdmissionQueue queue(clock, 1024);
//   queue.SetCapacity(pool, 32);
//   AdmissionId id = queue.Offer(request);
//   for (const AdmissionDecision& decision : queue.TakeDecisions()) ...
//   queue.Finish(id, true);
//
// Every offered request gets exactly one decision, unless it is cancelled first; every admitted
// request needs a Finish(). The queue is bounded: when it is full, the workspace with the most
// waiting requests for its weight loses its last one. Not thread-safe.
class AdmissionQueue
{
public:
  AdmissionQueue(const Clock& aClock, std::size_t aMaxWaiting);

  AdmissionId Offer(const AdmissionRequest& aRequest);

  // Removes a waiting request. Returns false when it is decided already.
  bool Cancel(AdmissionId aId);

  // Frees the capacity of an admitted request. Only answered requests count in the mean time that
  // predicts whether a deadline can be met.
  void Finish(AdmissionId aId, bool aAnswered);

  // Sets how many requests of the pool may run concurrently.
  void SetCapacity(const PoolId& aPool, std::size_t aCapacity);

  // Counts the cost of requests that the workspace ran on another host of the zone against its
  // share on this host.
  void AddRemoteUse(const WorkspaceId& aWorkspace, double aCost);

  // Returns the decisions since the last call.
  std::vector<AdmissionDecision> TakeDecisions();

  // Returns the cost of the requests that were admitted on this host since the last call.
  std::map<WorkspaceId, double> TakeLocalUse();

  std::size_t Waiting() const { return this->waiting; }

  // Returns how long a request would wait now; zero while the pool has free capacity.
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
    // Moving average of the time from admission to the end of the answer, and of the absolute
    // deviation from it; zero while unknown.
    Duration meanTime{ 0 };
    Duration meanDeviation{ 0 };
    std::map<WorkspaceId, std::deque<Queued>> waiting;
  };
  struct Account
  {
    std::uint64_t share = 1;
    // Virtual finish time of the workspace's last request.
    double finishTime = 0;
    std::size_t waiting = 0;
  };

  // Returns whether a request that is sent after aWait is likely to meet its deadline.
  bool CanMeetDeadline(const Pool& aPool, const AdmissionRequest& aRequest, Duration aWait) const;
  void RefuseAsTooLate(AdmissionId aId, Duration aRetryAfter);
  void Enqueue(Pool& aPool, Queued aQueued);
  // Admits waiting requests in fair order while the pool has free capacity.
  void AdmitWaiting(Pool& aPool);
  void Admit(Pool& aPool, const Queued& aQueued);
  void Refuse(AdmissionId aId, Error aError, Duration aRetryAfter);
  // Refuses the last request of the workspace with the most waiting requests for its weight, unless
  // that is the workspace of aRequest.
  void EvictFor(const AdmissionRequest& aRequest);
  // Returns the queue of the workspace whose next request has the earliest virtual start time.
  std::map<WorkspaceId, std::deque<Queued>>::iterator NextWorkspace(Pool& aPool);
  // Returns the virtual start time of the workspace's next request.
  double StartTimeOf(const WorkspaceId& aWorkspace) const;

  const Clock& clock;
  std::size_t maxWaiting;
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
