// The use of one store's link: what may be moved now, and what an import may expect.
#pragma once

#include <deque>

#include "damasklink/state/Clock.h"
#include "damasklink/state/ConfigTree.h"
#include "damasklink/state/Ids.h"

namespace damasklink {

// Which way bytes move: from the store to an engine, or from an engine to the store.
enum class Transfer
{
  Import,
  Export,
};

// Grants the bytes of a link. Over any one second the sum of what was granted stays within the
// budget; exports get nothing while an import waits.
//
//   LinkBudget budget(clock, ByteCount(125'000'000));
//   if (budget.TryAcquire(Transfer::Import, bytes)) { ... budget.OnMoved(bytes, elapsed); }
//   budget.RateFor(bytes);   // What an import begun now may expect, in bytes a second.
//
// A link that turns out slower than its budget is noticed through OnMoved(). Not thread-safe.
class LinkBudget
{
public:
  LinkBudget(const Clock& aClock, ByteCount aBytesPerSecond);

  // Grants a transfer, or returns false and then counts an import as waiting for a short while.
  // More than a second's budget at once is never granted.
  bool TryAcquire(Transfer aKind, ByteCount aBytes);

  // Tells that granted bytes have arrived, aElapsed after the grant.
  void OnMoved(ByteCount aBytes, Duration aElapsed);

  // Tells that granted bytes did not arrive, because the link or an end of it failed.
  void OnFailed(ByteCount aBytes);

  // Tells that granted bytes were not needed. They stay counted as granted for their second.
  void OnUnused(ByteCount aBytes) { this->RemoveInFlight(aBytes); }

  // Returns the bytes a second that an import of so many bytes may expect, behind what is granted
  // and still under way.
  double RateFor(ByteCount aBytes) const;

  ByteCount Budget() const { return this->budget; }

  // Returns the bytes granted and not yet moved.
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
  // Measured while it is lower than the budget.
  double rate;
  std::deque<Grant> grants;
  std::uint64_t grantedBytes = 0;
  ByteCount inFlight;
  MonotonicTime importWaitsUntil;
};

// What is left of an import, and what computing it would take instead.
struct RemainingImport
{
  ByteCount bytes;
  TokenCount tokens;
  // What the link is expected to move, in bytes a second.
  double bytesPerSecond = 0;
  // What the target is expected to compute, in tokens a second.
  double tokensPerSecond = 0;
};

// Returns how long the rest of an import may take before computing it is cheaper by the weights of
// the request's subtree. Zero when nothing moves or nothing is gained.
Duration
ImportTimeLimit(const RemainingImport& aImport, const ObjectiveWeights& aWeights);

// Returns whether computing is by now expected to be cheaper than importing the rest.
bool
ShouldAbandonImport(const RemainingImport& aImport, const ObjectiveWeights& aWeights);

} // namespace damasklink
