// Routing by the least expected cost: time to first token, work computed again, link use.
#pragma once

#include <deque>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "damasklink/coordination/EligibilityCache.h"
#include "damasklink/coordination/PrefixView.h"
#include "damasklink/coordination/Router.h"

namespace damasklink {

// What a host sent to one target since it last told its peers.
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
  // How old a report is when it arrives.
  Duration reportLag = std::chrono::milliseconds(150);
  // First tokens seen at a target before its learnt rate replaces the declared one.
  std::uint64_t minRateSamples = 8;
  // Targets whose costs differ by no more than this share of the first token's time, and as many
  // seconds, count as equal.
  double tieShare = 0.25;
  double tieSeconds = 0.004;
  // Blocks believed of each target at most.
  std::uint64_t maxBlocksPerTarget = 20'000;
  // Each switch turns one idea of the policy off, for the bench that measures what it is worth.
  bool countOwnSends = true;
  bool countPeerSends = true;
  bool learnRates = true;
  bool breakTiesByAffinity = true;
  bool useCaches = true;
  bool useStores = true;
};

// Sends a prompt where its expected cost is least. For each target that may serve it:
//
//   first token = wait + prefill of what the target must compute, or
//                 max(wait, import at the link's free share) + prefill of the rest
//   cost        = objective.time * first token [s] + objective.recompute * prefill [1,000 tokens]
//                 + objective.link * import [MiB]
//
// The wait is the reported load, which lags, corrected by what was sent since by this host and its
// peers. Rates are the declared ones until enough first tokens were seen, then learnt. Among
// targets that cost the same the prompt's own name chooses: hosts that see the same reports send
// different prompts to different targets, and the same prompt to the same one. A prefix in demand
// thus spreads as soon as waiting at its holder costs more than computing it elsewhere, and one
// that is not stays where it is.
//
//   CostRouter router(clock, CostRouterOptions());
//   auto decision = router.Choose(request, targets);
//   router.OnSent(request, decision.value());
//   for (const TargetSendsDelta& sends : router.TakeSends()) ...   // For the peers, every tick.
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

  // Returns what this host sent since the last call.
  std::vector<TargetSendsDelta> TakeSends();

  // Takes what a peer sent since it last told.
  void OnPeerSends(const std::vector<TargetSendsDelta>& aSends);

  // Where cache events go.
  PrefixView& Caches() { return this->caches; }

  // Returns the prefill rate that decisions use for the target, in tokens a second; 0 when the
  // target is not known.
  double PrefillRate(const TargetId& aTarget) const;

private:
  using StateIndex = std::uint32_t;

  // One batch of work sent to a target.
  struct Send
  {
    MonotonicTime at;
    std::uint64_t requests = 0;
    double prefill = 0;
  };

  struct TargetState
  {
    TargetId id;
    // Well-spread number of the id.
    std::uint64_t spread = 0;
    PrefixView::Index cache = 0;
    Incarnation incarnation;
    Sequence sequence;
    TargetLoad load;
    double declaredRate = 0;
    double learntRate = 0;
    std::uint64_t learntFrom = 0;
    // When the load was as reported, as far as can be told.
    MonotonicTime loadAt;
    // Sent after that, by this host and its peers.
    std::deque<Send> sends;
    double sentPrefill = 0;
    std::uint64_t sentRequests = 0;
    // Sent by this host and still without a first token.
    double ownPrefill = 0;
    // Sent by this host since it last told its peers.
    TargetSendsDelta untold;
    // Seconds between a first token and the end of the request.
    double decodeSeconds = 0;
  };

  // What sending a request to a target is expected to cost.
  struct Estimate
  {
    double cost = 0;
    double firstToken = 0;
    double wait = 0;
    double prefill = 0;
    std::uint64_t held = 0;
    const StoredPrefix* from = nullptr;
  };

  struct Candidate
  {
    std::size_t position = 0;
    StateIndex state = 0;
    const WeightVersion* version = nullptr;
    Estimate estimate;
  };

  // A request that was sent and is not over.
  struct Outstanding
  {
    TargetId target;
    double prefill = 0;
    double wait = 0;
    bool imports = false;
    bool answered = false;
    MonotonicTime answeredAt;
  };

  TargetState& StateOf(std::size_t aPosition, const TargetRecord& aTarget);
  void TakeReport(TargetState& aState, const TargetRecord& aTarget);
  void DropRemoved(const std::vector<TargetRecord>& aTargets);
  double Wait(const TargetState& aState) const;
  double SlotWait(const TargetState& aState) const;
  double RateOf(const TargetState& aState) const;
  Estimate EstimateFor(const RouteRequest& aRequest,
                       const TargetState& aState,
                       const WeightVersion& aVersion) const;
  void FindCandidates(const RouteRequest& aRequest, const std::vector<TargetRecord>& aTargets);
  const Candidate* Best(const RouteRequest& aRequest) const;
  void Answered(Outstanding& aSent, TargetState* aState);
  void LearnRate(TargetState& aState, const Outstanding& aSent, Duration aElapsed) const;
  void AddSend(TargetState& aState, const Send& aSend);
  TargetState* Find(const TargetId& aTarget);

  const Clock& clock;
  CostRouterOptions options;
  MonotonicTime now;
  PrefixView caches;
  std::vector<TargetState> states;
  absl::flat_hash_map<TargetId, StateIndex> indexes;
  // The state of each position in the list of targets, which seldom changes.
  std::vector<StateIndex> positions;
  EligibilityCache eligibility;
  std::vector<Candidate> candidates;
  std::uint64_t lastTicket = 0;
  absl::flat_hash_map<std::uint64_t, Outstanding> outstanding;
};

} // namespace damasklink
