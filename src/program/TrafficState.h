// What the traffic threads of one host share about running requests.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "damasklink/coordination/RetryBudget.h"
#include "damasklink/state/Clock.h"

namespace damasklink {

// Counts running requests, holds the retry budget and tells when all must end. Safe from any
// thread.
class TrafficState
{
public:
  // Takes a new request in. Returns false, and does not count it, once Close() was called.
  bool Begin();
  void End();

  // Returns whether a retry is within the budget, and pays for it.
  bool TryTakeRetry();

  // Lets no new request begin.
  void Close();

  // Tells running requests to end with explicit errors now.
  void StopNow();
  bool MustStop() const;

  // Waits until nothing runs or StopNow() is called, at most aPatience. Returns whether nothing
  // runs.
  bool WaitUntilIdle(Duration aPatience);
  // Waits until nothing runs, at most aPatience, whatever was called.
  bool WaitUntilEnded(Duration aPatience);

private:
  mutable absl::Mutex mutex;
  RetryBudget retries ABSL_GUARDED_BY(mutex);
  std::size_t running ABSL_GUARDED_BY(mutex) = 0;
  bool closed ABSL_GUARDED_BY(mutex) = false;
  bool stopNow ABSL_GUARDED_BY(mutex) = false;
};

// One request's place among the running ones.
class RunningRequest
{
public:
  explicit RunningRequest(TrafficState& aState)
    : state(aState)
    , begun(aState.Begin())
  {
  }
  ~RunningRequest()
  {
    if (this->begun) {
      this->state.End();
    }
  }
  RunningRequest(const RunningRequest&) = delete;
  RunningRequest& operator=(const RunningRequest&) = delete;

  // Whether the host still takes new work.
  bool Begun() const { return this->begun; }

private:
  TrafficState& state;
  bool begun;
};

} // namespace damasklink
