// Enforces the limits of each team's subtree of the configuration.
#pragma once

#include <map>
#include <optional>
#include <utility>

#include "damasklink/coordination/AdmissionQueue.h"
#include "damasklink/state/ConfigTree.h"

namespace damasklink {

// Limits the prompt length, the concurrent requests and the requests per second of each team. The
// last two apply to a zone: each of its aHosts hosts enforces an equal part, rounded up. Not
// thread-safe.
//
//   SubtreeLimiter limiter(clock, 3);
//   if (auto refusal = limiter.Enter(policy, promptTokens)) ...
//   limiter.Leave(policy);   // When the request ends, if Enter() did not refuse it.
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
    // Requests that are allowed at refilledAt; at most those of one second.
    double allowance = 0;
    MonotonicTime refilledAt;
  };

  // Returns this host's part of a limit.
  double HostPart(std::uint64_t aLimit) const;
  // Deducts one request from the allowance; returns the time to wait if it is used up.
  std::optional<Duration> SpendAllowance(Team& aTeam, std::uint64_t aPerSecond) const;

  const Clock& clock;
  std::uint64_t hosts;
  std::map<TeamKey, Team> teams;
};

} // namespace damasklink
