#include "damasklink/coordination/CostRouter.h"

#include <algorithm>
#include <cmath>

#include "damasklink/coordination/BlockNames.h"
#include "damasklink/state/Text.h"
#include "damasklink/state/Units.h"

namespace damasklink {
namespace {

// States of removed targets are dropped when there are more states than twice the targets plus this
// number.
constexpr std::size_t kMaxSpareStates = 64;
// Weight of a new observation in the exponential moving averages.
constexpr double kLearnWeight = 0.1;
constexpr double kTokensPerRecomputeUnit = 1000;

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

Duration
FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(aSeconds));
}

bool
IsExcluded(const RouteRequest& aRequest, const TargetId& aTarget)
{
  const auto& excluded = aRequest.excluded;
  return std::find(excluded.begin(), excluded.end(), aTarget) != excluded.end();
}

// Returns the FNV-1a hash of the text, which is the same on every host.
std::uint64_t
HashOf(const std::string& aText)
{
  constexpr std::uint64_t kBasis = 0xCBF29CE484222325ULL;
  constexpr std::uint64_t kPrime = 0x100000001B3ULL;
  std::uint64_t mixed = kBasis;
  for (const char letter : aText) {
    mixed = (mixed ^ static_cast<unsigned char>(letter)) * kPrime;
  }
  return mixed;
}

// Rendezvous hashing: among equal targets, a prompt goes to the one with the highest value.
std::uint64_t
Affinity(std::uint64_t aPrompt, std::uint64_t aTarget)
{
  constexpr std::uint64_t kMixer = 0x9E3779B97F4A7C15ULL;
  const std::uint64_t mixed = (aPrompt ^ aTarget) * kMixer;
  return (mixed ^ (mixed >> 29U)) * kMixer;
}

} // namespace

CostRouter::CostRouter(const Clock& aClock, CostRouterOptions aOptions)
  : clock(aClock)
  , options(aOptions)
  , caches(aOptions.maxBlocksPerTarget)
{
}

Result<RouteDecision>
CostRouter::Choose(const RouteRequest& aRequest, const std::vector<TargetRecord>& aTargets)
{
  this->now = this->clock.MonotonicNow();
  this->DropRemoved(aTargets);
  this->FindCandidates(aRequest, aTargets);
  const Candidate* best = this->Best(aRequest);
  if (best == nullptr) {
    return Fail(ErrorKind::Unavailable,
                Concat("no target serves model '", aRequest.model.Value(), "' now"),
                "try again shortly, or ask the operator which targets are announced");
  }
  const TargetRecord& target = aTargets[best->position];
  const Estimate& estimate = best->estimate;
  RouteDecision decision;
  decision.target = target.id;
  decision.endpoint = target.endpoint;
  decision.version = *best->version;
  decision.expectedFirstToken = FromSeconds(estimate.firstToken);
  decision.expectedPrefill = TokenCount(static_cast<std::uint64_t>(estimate.prefill));
  decision.heldBlocks = estimate.held;
  if (estimate.from != nullptr) {
    decision.importFrom = estimate.from->store;
    decision.importBlocks = estimate.from->blocks;
  }
  decision.ticket = ++this->lastTicket;
  return decision;
}

void
CostRouter::FindCandidates(const RouteRequest& aRequest, const std::vector<TargetRecord>& aTargets)
{
  this->caches.Match(aRequest.blocks);
  this->candidates.clear();
  this->eligibility.Select(aRequest, aTargets.size());
  for (std::size_t position = 0; position < aTargets.size(); ++position) {
    const TargetRecord& target = aTargets[position];
    const TargetState& state = this->StateOf(position, target);
    const StateIndex index = this->positions[position];
    const WeightVersion& version = this->eligibility.VersionOf(aRequest, position, target);
    if (!version.Empty() && !IsExcluded(aRequest, target.id)) {
      this->candidates.push_back(
        { position, index, &version, this->EstimateFor(aRequest, state, version) });
    }
  }
}

const CostRouter::Candidate*
CostRouter::Best(const RouteRequest& aRequest) const
{
  const auto cheaper = [](const Candidate& aLeft, const Candidate& aRight) {
    return aLeft.estimate.cost < aRight.estimate.cost;
  };
  const auto least = std::min_element(this->candidates.begin(), this->candidates.end(), cheaper);
  if (least == this->candidates.end() || !this->options.breakTiesByAffinity) {
    return least == this->candidates.end() ? nullptr : &*least;
  }
  const double tolerance =
    (this->options.tieShare * least->estimate.firstToken) + this->options.tieSeconds;
  const double limit = least->estimate.cost + (aRequest.objective.time * tolerance);
  const std::uint64_t prompt = aRequest.blocks.empty() ? 0 : BlockHint(aRequest.blocks.back());
  const Candidate* best = nullptr;
  std::uint64_t bestAffinity = 0;
  for (const Candidate& candidate : this->candidates) {
    if (candidate.estimate.cost > limit) {
      continue;
    }
    const std::uint64_t affinity = Affinity(prompt, this->states[candidate.state].idHash);
    if (best == nullptr || affinity > bestAffinity) {
      best = &candidate;
      bestAffinity = affinity;
    }
  }
  return best;
}

CostRouter::TargetState&
CostRouter::StateOf(std::size_t aPosition, const TargetRecord& aTarget)
{
  if (aPosition >= this->positions.size()) {
    this->positions.resize(aPosition + 1, 0);
  }
  StateIndex index = this->positions[aPosition];
  if (index >= this->states.size() || this->states[index].id != aTarget.id) {
    const auto found = this->indexes.find(aTarget.id);
    if (found == this->indexes.end()) {
      index = static_cast<StateIndex>(this->states.size());
      TargetState& added = this->states.emplace_back();
      added.id = aTarget.id;
      added.idHash = HashOf(aTarget.id.Value());
      added.unreported.target = aTarget.id;
      added.cache = this->caches.NumberOf(aTarget.id);
      this->indexes.emplace(aTarget.id, index);
    } else {
      index = found->second;
    }
    this->positions[aPosition] = index;
  }
  TargetState& state = this->states[index];
  const bool known = state.sequence == aTarget.sequence && state.incarnation == aTarget.incarnation;
  if (!known || state.loadAt == MonotonicTime()) {
    this->TakeReport(state, aTarget);
  }
  return state;
}

void
CostRouter::TakeReport(TargetState& aState, const TargetRecord& aTarget)
{
  if (aState.incarnation != aTarget.incarnation) {
    aState.learntFrom = 0;
    aState.ownPrefill = 0;
  }
  aState.incarnation = aTarget.incarnation;
  aState.sequence = aTarget.sequence;
  aState.load = aTarget.load;
  aState.loadAt = this->now - this->options.reportLag;
  aState.declaredRate = aTarget.rates.prefillTokensPerSecond;
  // The report includes what had been sent by then.
  while (!aState.sends.empty() && aState.sends.front().at <= aState.loadAt) {
    aState.sentPrefill -= aState.sends.front().prefill;
    aState.sentRequests -= aState.sends.front().requests;
    aState.sends.pop_front();
  }
}

void
CostRouter::DropRemoved(const std::vector<TargetRecord>& aTargets)
{
  if (this->states.size() <= (2 * aTargets.size()) + kMaxSpareStates) {
    return;
  }
  absl::flat_hash_map<TargetId, TargetState> kept;
  for (const TargetRecord& target : aTargets) {
    if (TargetState* state = this->Find(target.id)) {
      kept.emplace(target.id, std::move(*state));
    }
  }
  for (const auto& [id, index] : this->indexes) {
    if (!kept.contains(id)) {
      this->caches.Forget(id);
    }
  }
  this->states.clear();
  this->indexes.clear();
  this->positions.clear();
  for (auto& [id, state] : kept) {
    this->indexes.emplace(id, static_cast<StateIndex>(this->states.size()));
    this->states.push_back(std::move(state));
  }
}

double
CostRouter::RateOf(const TargetState& aState) const
{
  if (this->options.learnRates && aState.learntFrom >= this->options.minRateSamples) {
    return aState.learntRate;
  }
  return aState.declaredRate > 0 ? aState.declaredRate : this->options.defaultPrefillRate;
}

double
CostRouter::Wait(const TargetState& aState) const
{
  const double rate = this->RateOf(aState);
  const double drained = Seconds(this->now - aState.loadAt) * rate;
  const auto reported = static_cast<double>(aState.load.queuedPrefill.Value());
  double waiting = std::max(0.0, reported + aState.sentPrefill - drained);
  if (this->options.countOwnSends) {
    // Own requests without a first token are still there, however old the report is.
    waiting = std::max(waiting, aState.ownPrefill);
  }
  return (waiting / rate) + this->SlotWait(aState);
}

double
CostRouter::SlotWait(const TargetState& aState) const
{
  if (aState.load.slots == 0) {
    return 0;
  }
  const std::uint64_t needed =
    aState.load.runningRequests + aState.load.queuedRequests + aState.sentRequests + 1;
  if (needed <= aState.load.slots) {
    return 0;
  }
  const auto ahead = static_cast<double>(needed - aState.load.slots);
  return ahead * aState.decodeSeconds / static_cast<double>(aState.load.slots);
}

CostRouter::Estimate
CostRouter::EstimateFor(const RouteRequest& aRequest,
                        const TargetState& aState,
                        const WeightVersion& aVersion) const
{
  const bool blocksApply = aVersion == aRequest.blocksVersion;
  const auto prompt = static_cast<double>(aRequest.promptTokens.Value());
  const std::uint64_t depth =
    blocksApply && this->options.useCaches ? this->caches.Depth(aState.cache) : 0;
  const double rate = this->RateOf(aState);
  const double wait = this->Wait(aState);
  const ObjectiveWeights& weights = aRequest.objective;
  const auto work = [&](double aTokens) {
    return weights.recompute * aTokens / kTokensPerRecomputeUnit;
  };
  const double uncached = std::max(0.0, prompt - static_cast<double>(depth * kBlockTokens));
  const auto cost = [&](double aFirstToken, double aPrefill, double aImport) {
    return (weights.time * aFirstToken) + work(aPrefill) +
           (weights.link * aImport / static_cast<double>(kMebibyte));
  };
  Estimate best;
  best.wait = wait;
  best.held = depth;
  best.prefill = uncached;
  best.firstToken = wait + (best.prefill / rate);
  best.cost = cost(best.firstToken, best.prefill, 0);
  if (!blocksApply || !this->options.useStores) {
    return best;
  }
  for (const StoredPrefix& stored : aRequest.stored) {
    if (stored.blocks <= depth || stored.freeBytesPerSecond <= 0) {
      continue;
    }
    const double missing =
      static_cast<double>(stored.blocks - depth) / static_cast<double>(stored.blocks);
    const double bytes = static_cast<double>(stored.bytes.Value()) * missing;
    Estimate import;
    import.wait = wait;
    import.held = depth;
    import.prefill = std::max(0.0, prompt - static_cast<double>(stored.tokens.Value()));
    import.firstToken = std::max(wait, bytes / stored.freeBytesPerSecond) + (import.prefill / rate);
    import.cost = cost(import.firstToken, import.prefill, bytes);
    import.from = &stored;
    if (import.cost < best.cost) {
      best = import;
    }
  }
  return best;
}

void
CostRouter::AddSend(TargetState& aState, const Send& aSend)
{
  aState.sends.push_back(aSend);
  aState.sentPrefill += aSend.prefill;
  aState.sentRequests += aSend.requests;
}

CostRouter::TargetState*
CostRouter::Find(const TargetId& aTarget)
{
  const auto found = this->indexes.find(aTarget);
  return found == this->indexes.end() ? nullptr : &this->states[found->second];
}

void
CostRouter::OnSent(const RouteRequest& aRequest, const RouteDecision& aDecision)
{
  if (this->options.useCaches && aDecision.version == aRequest.blocksVersion) {
    this->caches.OnSent(aDecision.target, aRequest.blocks);
  }
  TargetState* state = this->Find(aDecision.target);
  if (state == nullptr) {
    return;
  }
  Outstanding sent;
  sent.target = aDecision.target;
  sent.prefill = static_cast<double>(aDecision.expectedPrefill.Value());
  sent.wait = Seconds(aDecision.expectedFirstToken) - (sent.prefill / this->RateOf(*state));
  sent.imports = !aDecision.importFrom.Empty();
  state->ownPrefill += sent.prefill;
  if (this->options.countOwnSends) {
    this->AddSend(*state, { this->clock.MonotonicNow(), 1, sent.prefill });
  }
  ++state->unreported.requests;
  state->unreported.prefill =
    TokenCount(state->unreported.prefill.Value() + aDecision.expectedPrefill.Value());
  this->outstanding[aDecision.ticket] = std::move(sent);
}

void
CostRouter::MarkAnswered(Outstanding& aSent, TargetState* aState)
{
  if (aSent.answered) {
    return;
  }
  aSent.answered = true;
  aSent.answeredAt = this->clock.MonotonicNow();
  if (aState != nullptr) {
    aState->ownPrefill = std::max(0.0, aState->ownPrefill - aSent.prefill);
  }
}

void
CostRouter::OnFirstToken(const RouteRequest& /*aRequest*/,
                         const RouteDecision& aDecision,
                         Duration aElapsed,
                         TokenCount /*aReused*/)
{
  const auto found = this->outstanding.find(aDecision.ticket);
  if (found == this->outstanding.end()) {
    return;
  }
  TargetState* state = this->Find(aDecision.target);
  this->MarkAnswered(found->second, state);
  if (state != nullptr) {
    this->LearnRate(*state, found->second, aElapsed);
  }
}

void
CostRouter::LearnRate(TargetState& aState, const Outstanding& aSent, Duration aElapsed) const
{
  // Prompts that are short, waited long or were imported in part say little about the rate.
  constexpr double kLeastPrefill = 128;
  constexpr double kMostWaitShare = 0.25;
  const double elapsed = Seconds(aElapsed);
  const double computing = elapsed - aSent.wait;
  if (aSent.imports || aSent.prefill < kLeastPrefill || aSent.wait > kMostWaitShare * elapsed ||
      computing <= 0) {
    return;
  }
  constexpr double kMostStep = 2.0;
  const double base = aState.learntFrom == 0 ? this->RateOf(aState) : aState.learntRate;
  const double factor = std::clamp(aSent.prefill / computing / base, 1 / kMostStep, kMostStep);
  aState.learntRate = base * std::pow(factor, kLearnWeight);
  ++aState.learntFrom;
}

void
CostRouter::OnDone(const RouteRequest& /*aRequest*/,
                   const RouteDecision& aDecision,
                   bool /*aWhole*/)
{
  const auto found = this->outstanding.find(aDecision.ticket);
  if (found == this->outstanding.end()) {
    return;
  }
  Outstanding sent = std::move(found->second);
  this->outstanding.erase(found);
  TargetState* state = this->Find(sent.target);
  if (state == nullptr) {
    return;
  }
  if (sent.answered) {
    const double decoded = Seconds(this->clock.MonotonicNow() - sent.answeredAt);
    state->decodeSeconds += kLearnWeight * (decoded - state->decodeSeconds);
  }
  this->MarkAnswered(sent, state);
}

std::vector<TargetSendsDelta>
CostRouter::TakeSends()
{
  std::vector<TargetSendsDelta> sends;
  for (TargetState& state : this->states) {
    if (state.unreported.requests > 0) {
      sends.push_back(state.unreported);
      state.unreported.requests = 0;
      state.unreported.prefill = TokenCount();
    }
  }
  return sends;
}

void
CostRouter::OnPeerSends(const std::vector<TargetSendsDelta>& aSends)
{
  if (!this->options.countPeerSends) {
    return;
  }
  const MonotonicTime at = this->clock.MonotonicNow();
  for (const TargetSendsDelta& sends : aSends) {
    if (TargetState* state = this->Find(sends.target)) {
      this->AddSend(*state, { at, sends.requests, static_cast<double>(sends.prefill.Value()) });
    }
  }
}

double
CostRouter::PrefillRate(const TargetId& aTarget) const
{
  const auto found = this->indexes.find(aTarget);
  return found == this->indexes.end() ? 0 : this->RateOf(this->states[found->second]);
}

} // namespace damasklink
