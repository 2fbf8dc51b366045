// Holds each team to the limits of its subtree.
#pragma once

#include <map>
#include <optional>
#include <utility>

#include "damasklink/coordination/AdmissionQueue.h"
#include "damasklink/state/ConfigTree.h"

namespace damasklink {

// Counts running requests and requests a second of each team. A limit holds for a zone: each of
// its aHosts hosts enforces an equal part, rounded up. Not thread-safe.
//
//   SubtreeLimiter limiter(clock, 3);
//   if (auto refusal = limiter.Enter(policy, promptTokens)) ...
//   limiter.Leave(policy);   // After an Enter() without refusal.
class SubtreeLimiter
{
public:
  SubtreeLimiter(const Clock& aClock, std::uint64_t aHosts)
    : clock(aClock)
    , hosts(aHosts)
  {
  }

  std::optional<AdmissionRefusal> Enter(const ResolvedPolicy& aPolicy, TokenCount aPromptTokens);
  void Leave(const ResolvedPolicy& aPolicy);

private:
  using TeamKey = std::pair<WorkspaceId, TeamId>;
  struct Team
  {
    std::uint64_t running = 0;
    // Requests that may come now; at most one second's worth.
    double allowance = 0;
    MonotonicTime refilled;
  };

  double Part(std::uint64_t aLimit) const;
  // Takes a request out of the allowance; returns the wait for the next when there is none.
  std::optional<Duration> SpendAllowance(Team& aTeam, std::uint64_t aPerSecond) const;

  const Clock& clock;
  std::uint64_t hosts;
  std::map<TeamKey, Team> teams;
};

} // namespace damasklink
