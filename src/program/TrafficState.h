// State of the running requests of one host, shared by its traffic threads.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "damasklink/coordination/RetryBudget.h"
#include "damasklink/state/Clock.h"

namespace damasklink {

// Counts running requests, holds the retry budget and the flags for draining and stopping.
// Thread-safe. Requests are counted through RunningRequest.
class TrafficState
{
public:
  // Counts a new request as running. Returns false, and does not count it, after Close().
  bool Begin();
  void End();

  // Takes a retry from the budget. Returns false when the budget is exhausted.
  bool TryTakeRetry();

  // Refuses new requests from now on.
  void Close();

  // Makes running requests end with explicit errors; they check MustStop().
  void StopNow();
  bool MustStop() const;

  // Waits until no request runs or StopNow() is called, for at most aTimeout. Returns whether no
  // request runs.
  bool WaitUntilIdle(Duration aTimeout);
  // Waits until no request runs, for at most aTimeout, even after StopNow(). Returns whether none
  // runs.
  bool WaitUntilEnded(Duration aTimeout);

private:
  mutable absl::Mutex mutex;
  RetryBudget retries ABSL_GUARDED_BY(mutex);
  std::size_t running ABSL_GUARDED_BY(mutex) = 0;
  bool closed ABSL_GUARDED_BY(mutex) = false;
  bool stopNow ABSL_GUARDED_BY(mutex) = false;
};

// Counts one request as running for as long as it lives.
class RunningRequest
{
public:
  explicit RunningRequest(TrafficState& aState)
    : state(aState)
    , accepted(aState.Begin())
  {
  }
  ~RunningRequest()
  {
    if (this->accepted) {
      this->state.End();
    }
  }
  RunningRequest(const RunningRequest&) = delete;
  RunningRequest& operator=(const RunningRequest&) = delete;

  // Whether the host accepted the request.
  bool Accepted() const { return this->accepted; }

private:
  TrafficState& state;
  bool accepted;
};

} // namespace damasklink
