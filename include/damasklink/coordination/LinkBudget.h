// Bandwidth budget of one store's link, and the decision between importing and recomputing.
#pragma once

#include <deque>

#include "damasklink/state/Clock.h"
#include "damasklink/state/ConfigTree.h"
#include "damasklink/state/Ids.h"

namespace damasklink {

// Direction of a transfer: from the store to an engine (import) or the other way (export).
enum class Transfer
{
  Import,
  Export,
};

// Rate limiter for a link. The bytes granted within any one second never exceed the budget. Exports
// are refused while an import waits.
//
//   LinkBudget budget(clock, ByteCount(125'000'000));
//   if (budget.TryAcquire(Transfer::Import, bytes)) { ... budget.OnMoved(bytes, elapsed); }
//   budget.RateFor(bytes);   // Expected rate of an import that begins now, in bytes per second.
//
// A link that is slower than its budget is measured through OnMoved(). Not thread-safe.
class LinkBudget
{
public:
  LinkBudget(const Clock& aClock, ByteCount aBytesPerSecond);

  // Grants a transfer, or returns false; a refused import then counts as waiting for a short time.
  // More than one second's budget is never granted at once.
  bool TryAcquire(Transfer aKind, ByteCount aBytes);

  // Records that granted bytes have arrived, aElapsed after the grant.
  void OnMoved(ByteCount aBytes, Duration aElapsed);

  // Records that granted bytes did not arrive, because the link or one end of it failed. Lowers the
  // measured rate.
  void OnFailed(ByteCount aBytes);

  // Records that granted bytes were not needed. They still count against the budget of their
  // second.
  void OnUnused(ByteCount aBytes) { this->RemoveInFlight(aBytes); }

  // Returns the rate in bytes per second that an import of aBytes can expect, given the transfers
  // in flight.
  double RateFor(ByteCount aBytes) const;

  ByteCount Budget() const { return this->budget; }

  // Returns the bytes that are granted and have not arrived yet.
  ByteCount InFlight() const { return this->inFlight; }

private:
  struct Grant
  {
    MonotonicTime at;
    std::uint64_t bytes = 0;
  };

  void DropExpiredGrants(MonotonicTime aNow);
  void RemoveInFlight(ByteCount aBytes);

  const Clock& clock;
  ByteCount budget;
  // Measured bytes per second, at most the budget.
  double rate;
  std::deque<Grant> grants;
  std::uint64_t grantedBytes = 0;
  ByteCount inFlight;
  MonotonicTime importWaitsUntil;
};

// The remaining part of an import, and the alternative of computing it.
struct RemainingImport
{
  ByteCount bytes;
  TokenCount tokens;
  // Expected rate of the link.
  double bytesPerSecond = 0;
  // Expected prefill rate of the target.
  double tokensPerSecond = 0;
};

// Returns how long the remaining import may take before computing it is cheaper by the weights of
// the request's subtree: between zero, when importing gains nothing, and ten seconds. Returns ten
// seconds when the prefill rate is unknown or time has no weight.
Duration
ImportTimeLimit(const RemainingImport& aImport, const ObjectiveWeights& aWeights);

// Returns whether computing is expected to be cheaper than importing what remains. A link that
// moves nothing is always abandoned.
bool
ShouldAbandonImport(const RemainingImport& aImport, const ObjectiveWeights& aWeights);

} // namespace damasklink
