// Routing by the least expected cost: time to first token, recomputation and use of links.
#pragma once

#include <deque>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "damasklink/coordination/EligibilityCache.h"
#include "damasklink/coordination/PrefixCacheIndex.h"
#include "damasklink/coordination/Router.h"

namespace damasklink {

// What a host has sent to one target since it last reported this to its peers.
struct TargetSendsDelta
{
  TargetId target;
  std::uint64_t requests = 0;
  TokenCount prefill;

  bool operator==(const TargetSendsDelta&) const = default;
};

struct CostRouterOptions
{
  // Rate of targets that declare none, in prompt tokens a second.
  double defaultPrefillRate = 8000;
  // The age of a load report when it arrives.
  Duration reportLag = std::chrono::milliseconds(150);
  // Number of first tokens from a target after which its learnt rate replaces the declared one.
  std::uint64_t minRateSamples = 8;
  // Targets count as equal when their costs differ by no more than this share of the time to first
  // token plus this many seconds.
  double tieShare = 0.25;
  double tieSeconds = 0.004;
  // Limits the blocks that are remembered for each target.
  std::uint64_t maxBlocksPerTarget = 20'000;
  // Each switch turns off one mechanism of the policy, so that the benchmark can measure its
  // effect.
  bool countOwnSends = true;
  bool countPeerSends = true;
  bool learnRates = true;
  bool breakTiesByAffinity = true;
  bool useCaches = true;
  bool useStores = true;
};

// Sends a prompt to the target with the least expected cost. For each eligible target:
//
//   first token = wait + prefill of the blocks that are not cached, or
//                 max(wait, import at the link's free share) + prefill of the rest
//   cost        = objective.time * first token [s] + objective.recompute * prefill [1,000 tokens]
//                 + objective.link * import [MiB]
//
// The wait is computed from the reported load, which lags, corrected by what this host and its
// peers have sent since. Prefill rates are the declared ones until enough first tokens were
// measured, then learnt ones.
//
// Among targets of equal cost a hash of the prompt decides: hosts that see the same reports send
// different prompts to different targets, and the same prompt to the same target. A prefix that is
// used often is therefore computed on another target as soon as waiting at its holder costs more
// than that; one that is used rarely stays where it is.
//
//   CostRouter router(clock, CostRouterOptions());
//   auto decision = router.Choose(request, targets);
//   router.OnSent(request, decision.value());
//   for (const TargetSendsDelta& sends : router.TakeSends()) ...   // Reported to peers every tick.
//
// Not thread-safe, like every Router.
class CostRouter final : public Router
{
public:
  CostRouter(const Clock& aClock, CostRouterOptions aOptions);

  Result<RouteDecision> Choose(const RouteRequest& aRequest,
                               const std::vector<TargetRecord>& aTargets) override;
  void OnSent(const RouteRequest& aRequest, const RouteDecision& aDecision) override;
  void OnFirstToken(const RouteRequest& aRequest,
                    const RouteDecision& aDecision,
                    Duration aElapsed,
                    TokenCount aReused) override;
  void OnDone(const RouteRequest& aRequest, const RouteDecision& aDecision, bool aWhole) override;

  // Returns what this host has sent since the last call.
  std::vector<TargetSendsDelta> TakeSends();

  // Takes what a peer has sent since its previous report.
  void OnPeerSends(const std::vector<TargetSendsDelta>& aSends);

  // Returns the model of the targets' caches, which takes cache events.
  PrefixCacheIndex& Caches() { return this->caches; }

  // Returns the prefill rate that decisions use for the target, in tokens a second, or 0 when the
  // target is unknown.
  double PrefillRate(const TargetId& aTarget) const;

private:
  using StateIndex = std::uint32_t;

  // Work that was sent to a target in one message.
  struct Send
  {
    MonotonicTime at;
    std::uint64_t requests = 0;
    double prefill = 0;
  };

  // What the policy knows about a target; rates in tokens a second.
  struct TargetState
  {
    TargetId id;
    // Hash of the id, equal on all hosts.
    std::uint64_t idHash = 0;
    PrefixCacheIndex::TargetNumber cache = 0;
    Incarnation incarnation;
    Sequence sequence;
    TargetLoad load;
    double declaredRate = 0;
    double learntRate = 0;
    std::uint64_t learntFrom = 0;
    // Estimated time at which the load was as reported.
    MonotonicTime loadAt;
    // Sent after loadAt by this host and its peers, and the sums.
    std::deque<Send> sends;
    double sentPrefill = 0;
    std::uint64_t sentRequests = 0;
    // Sent by this host and still without a first token, in tokens.
    double ownPrefill = 0;
    // Sent by this host since the last TakeSends().
    TargetSendsDelta unreported;
    // Average time from the first token to the end of a request.
    double decodeSeconds = 0;
  };

  // The expected cost of sending a request to a target; times in seconds, prefill in tokens.
  struct Estimate
  {
    double cost = 0;
    double firstToken = 0;
    double wait = 0;
    double prefill = 0;
    std::uint64_t held = 0;
    // The prefix to import; null for none.
    const StoredPrefix* from = nullptr;
  };

  struct Candidate
  {
    std::size_t position = 0;
    StateIndex state = 0;
    const WeightVersion* version = nullptr;
    Estimate estimate;
  };

  // A request in flight.
  struct Outstanding
  {
    TargetId target;
    double prefill = 0;
    double wait = 0;
    bool imports = false;
    bool answered = false;
    MonotonicTime answeredAt;
  };

  // Returns the state of a target, updated from its record.
  TargetState& StateOf(std::size_t aPosition, const TargetRecord& aTarget);
  void TakeReport(TargetState& aState, const TargetRecord& aTarget);
  void DropRemoved(const std::vector<TargetRecord>& aTargets);
  // Returns the expected seconds until the target starts the prefill of a new prompt.
  double Wait(const TargetState& aState) const;
  // Returns the expected seconds until one of the target's slots is free.
  double SlotWait(const TargetState& aState) const;
  double RateOf(const TargetState& aState) const;
  Estimate EstimateFor(const RouteRequest& aRequest,
                       const TargetState& aState,
                       const WeightVersion& aVersion) const;
  void FindCandidates(const RouteRequest& aRequest, const std::vector<TargetRecord>& aTargets);
  const Candidate* Best(const RouteRequest& aRequest) const;
  void MarkAnswered(Outstanding& aSent, TargetState* aState);
  void LearnRate(TargetState& aState, const Outstanding& aSent, Duration aElapsed) const;
  void AddSend(TargetState& aState, const Send& aSend);
  TargetState* Find(const TargetId& aTarget);

  const Clock& clock;
  CostRouterOptions options;
  MonotonicTime now;
  PrefixCacheIndex caches;
  std::vector<TargetState> states;
  absl::flat_hash_map<TargetId, StateIndex> indexes;
  // The index of the state for each position in the list of targets, which seldom changes.
  std::vector<StateIndex> positions;
  EligibilityCache eligibility;
  std::vector<Candidate> candidates;
  std::uint64_t lastTicket = 0;
  absl::flat_hash_map<std::uint64_t, Outstanding> outstanding;
};

} // namespace damasklink
