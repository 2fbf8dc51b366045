// The one record of how far a request got, from which every "not run" is derived.
#pragma once

#include <vector>

#include "damasklink/state/Ids.h"
#include "damasklink/state/Outcome.h"

namespace damasklink {

// How far one attempt at one target got.
enum class AttemptStage
{
  Prepared,  // Nothing has left this host.
  Sending,   // A byte may have left.
  Refused,   // The target itself said that it did not run it, or no connection came to be.
  Answering, // The target has begun its answer.
  Finished,  // The whole answer arrived.
  Lost,      // The answer broke off.
};

// Records the attempts of one request. The outcome in refusals and failures is read from here and
// written nowhere else.
//
//   DispatchRecord record;
//   record.Begin(attempt, target);
//   record.Advance(AttemptStage::Sending);   // Before the first byte leaves.
//   record.Outcome();                        // RunOutcome::MayHaveRun
//
// Not thread-safe: one request, one record.
class DispatchRecord
{
public:
  struct Attempt
  {
    AttemptId id;
    TargetId target;
    AttemptStage stage = AttemptStage::Prepared;
  };

  // Opens an attempt in the stage Prepared.
  void Begin(AttemptId aAttempt, TargetId aTarget);

  // Moves the last attempt on. Requires Begin(). A move that would claim less than what is known
  // (Sending back to Prepared, Answering to Refused) is ignored.
  void Advance(AttemptStage aStage);

  // Takes in what the claim ledger says of earlier calls under the same idempotency key.
  void AddEarlierOutcome(RunOutcome aOutcome);

  // Returns what may be said of the request as a whole.
  RunOutcome Outcome() const;

  const std::vector<Attempt>& Attempts() const { return this->attempts; }

private:
  std::vector<Attempt> attempts;
  RunOutcome earlier = RunOutcome::NotRun;
};

} // namespace damasklink
