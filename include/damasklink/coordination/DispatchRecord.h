// Progress of the attempts of one request, from which its RunOutcome is derived.
#pragma once

#include <vector>

#include "damasklink/state/Ids.h"
#include "damasklink/state/Outcome.h"

namespace damasklink {

// Progress of one attempt at one target.
enum class AttemptStage
{
  Prepared,  // Nothing was sent.
  Sending,   // A byte may have been sent.
  Refused,   // The target said that it did not run the request, or no connection was made.
  Answering, // The answer has started.
  Finished,  // The complete answer arrived.
  Lost,      // The answer broke off.
};

// Records the attempts of one request. It is the only source of the outcome in refusals and errors.
//
//   DispatchRecord record;
//   record.Begin(attempt, target);
//   record.Advance(AttemptStage::Sending);   // Before the first byte is sent.
//   record.Outcome();                        // RunOutcome::MayHaveRun
//
// Not thread-safe.
class DispatchRecord
{
public:
  struct Attempt
  {
    AttemptId id;
    TargetId target;
    AttemptStage stage = AttemptStage::Prepared;
  };

  // Starts an attempt in the stage Prepared. Returns its index.
  std::size_t Begin(AttemptId aAttempt, TargetId aTarget);

  // Sets the stage of the last attempt. Requires Begin(). A transition that contradicts what is
  // known (Sending back to Prepared, Answering to Refused) is ignored.
  void Advance(AttemptStage aStage);

  // The same for any attempt, since two may be in progress.
  void Advance(std::size_t aIndex, AttemptStage aStage);

  // Adds the outcome of earlier calls with the same idempotency key, from the ClaimRegistry.
  void AddEarlierOutcome(RunOutcome aOutcome);

  // Returns the outcome of the request over all attempts and earlier calls.
  RunOutcome Outcome() const;

  const std::vector<Attempt>& Attempts() const { return this->attempts; }

private:
  std::vector<Attempt> attempts;
  RunOutcome earlier = RunOutcome::NotRun;
};

} // namespace damasklink
