#include "damasklink/coordination/TargetSelector.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace damasklink {
namespace {

// Targets whose costs differ by less than this count as equal; otherwise all hosts with the same
// information would choose the same target.
constexpr double kTieMilliseconds = 0.5;

// Number of random targets that are compared beside those that have all shared parts of the prompt.
// Hosts learn of each other's sends some hundred milliseconds late: if each compared all targets,
// all would choose the same one until then.
constexpr std::size_t kSampleSize = 4;

// Number of targets of this host's zone that are compared in addition; a random sample of hundreds
// contains hardly any. Traffic between zones is paid for, so an equally loaded target of the own
// zone is the better choice.
constexpr std::size_t kSameZoneSampleSize = 4;

// Least number of targets of this host's zone that are compared without those of other zones. Fewer
// targets could not absorb what the hosts of the zone send before they learn of each other's sends.
constexpr std::size_t kMinLocalTargets = kSampleSize + kSameZoneSampleSize;

// A target of which less is taken has plenty of room: enough for what other hosts send there until
// this one knows of it.
constexpr double kRoomyShare = 0.6;

std::vector<const TargetRecord*>
InZone(const ZoneId& aZone, const std::vector<const TargetRecord*>& aTargets)
{
  std::vector<const TargetRecord*> inZone;
  std::copy_if(aTargets.begin(),
               aTargets.end(),
               std::back_inserter(inZone),
               [&](const TargetRecord* aTarget) { return aTarget->zone == aZone; });
  return inZone;
}

Duration
Milliseconds(double aCount)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(aCount));
}

} // namespace

std::uint64_t
WeightsOf(const TargetRecord& aTarget, const ModelName& aModel)
{
  for (const ServedModel& served : aTarget.models) {
    if (served.model == aModel) {
      return WeightNumber(served.version);
    }
  }
  return 0;
}

TargetSelector::TargetSelector(const TargetHealth& aHealth,
                               const ZoneReachability& aReach,
                               const TargetRestPeriods& aRests,
                               std::uint64_t aSeed,
                               SelectionCosts aCosts)
  : health(aHealth)
  , reach(aReach)
  , rests(aRests)
  , costs(aCosts)
  , random(aSeed)
{
}

std::vector<const TargetRecord*>
TargetSelector::Eligible(const SelectionRequest& aRequest,
                         const std::vector<TargetRecord>& aTargets) const
{
  std::vector<const TargetRecord*> eligible;
  std::vector<const TargetRecord*> ejected;
  std::vector<const TargetRecord*> inUnreachableZone;
  const auto isNewEnough = [&](const TargetRecord& aTarget) {
    return WeightsOf(aTarget, aRequest.model) >= aRequest.minWeights;
  };
  const bool excludesOlder =
    aRequest.neverBelowMinWeights || std::any_of(aTargets.begin(), aTargets.end(), isNewEnough);
  for (const TargetRecord& target : aTargets) {
    const bool tooOld = excludesOlder && !isNewEnough(target);
    if (tooOld || aRequest.excluded.contains(target.id) ||
        aRequest.rateLimited.contains(target.id) ||
        this->rests.IsResting(target.id, target.incarnation)) {
      continue;
    }
    if (this->reach.IsUnreachable(target.zone)) {
      inUnreachableZone.push_back(&target);
    } else {
      (this->health.IsEjected(target.id) ? ejected : eligible).push_back(&target);
    }
  }
  if (eligible.size() < ejected.size()) {
    eligible.insert(eligible.end(), ejected.begin(), ejected.end());
  }
  return eligible.empty() ? inUnreachableZone : eligible;
}

const TargetRecord*
TargetSelector::Choose(const SelectionRequest& aRequest, const std::vector<TargetRecord>& aTargets)
{
  const std::vector<const TargetRecord*> eligible = this->Eligible(aRequest, aTargets);
  if (eligible.empty()) {
    return nullptr;
  }
  if (aRequest.promptTokens == TokenCount()) {
    return this->ChooseWithoutPrompt(aRequest, eligible);
  }
  const TargetRecord* best = nullptr;
  double least = 0;
  for (const TargetRecord* target : this->Candidates(aRequest, eligible)) {
    const double cost = this->CostOf(aRequest, *target);
    if (best == nullptr || cost + kTieMilliseconds < least) {
      best = target;
      least = cost;
    }
  }
  return best;
}

const TargetRecord*
TargetSelector::ChooseFitting(const SelectionRequest& aRequest,
                              const std::vector<TargetRecord>& aTargets,
                              const std::function<bool(const TargetRecord&)>& aFits) const
{
  const std::vector<const TargetRecord*> eligible = this->Eligible(aRequest, aTargets);
  for (const bool local : { true, false }) {
    const TargetRecord* best = nullptr;
    double least = 0;
    for (const TargetRecord* target : eligible) {
      if ((target->zone == aRequest.zone) != local || !aFits(*target)) {
        continue;
      }
      const double cost = this->CostOf(aRequest, *target);
      if (best == nullptr || cost < least) {
        best = target;
        least = cost;
      }
    }
    if (best != nullptr) {
      return best;
    }
  }
  return nullptr;
}

bool
TargetSelector::IsCrowded(const std::vector<TargetRecord>& aTargets, TokenCount aCacheTokens) const
{
  std::size_t taking = 0;
  std::size_t roomy = 0;
  for (const TargetRecord& target : aTargets) {
    if (this->health.IsEjected(target.id) || this->reach.IsUnreachable(target.zone)) {
      continue;
    }
    ++taking;
    const LoadCounts load = this->LoadOf(target.id);
    // Targets that declare no slots are not limited by them.
    const bool hasSlots =
      target.load.slots == 0 ||
      static_cast<double>(load.requests) <= kRoomyShare * static_cast<double>(target.load.slots);
    const bool hasMemory =
      static_cast<double>(load.memory) <= kRoomyShare * static_cast<double>(aCacheTokens.Value());
    roomy += hasSlots && hasMemory ? 1U : 0U;
  }
  return roomy * 2 < taking;
}

// Returns the targets to compare for a prompt. Among equals the first one is chosen, so each sample
// starts at a random position.
std::vector<const TargetRecord*>
TargetSelector::Candidates(const SelectionRequest& aRequest,
                           const std::vector<const TargetRecord*>& aEligible)
{
  std::vector<const TargetRecord*> candidates = this->LocalCandidates(aRequest, aEligible);
  if (!candidates.empty()) {
    return candidates;
  }
  const std::size_t start = this->random() % aEligible.size();
  for (std::size_t step = 0; step < aEligible.size(); ++step) {
    const TargetRecord* target = aEligible[(start + step) % aEligible.size()];
    if (aRequest.compareAll || step < kSampleSize || this->HoldsAllParts(aRequest, target->id)) {
      candidates.push_back(target);
    }
  }
  if (aRequest.compareAll) {
    return candidates;
  }
  const std::size_t sameZoneStart = this->random() % aEligible.size();
  std::size_t sameZone = 0;
  for (std::size_t step = 0; step < aEligible.size() && sameZone < kSameZoneSampleSize; ++step) {
    const TargetRecord* target = aEligible[(sameZoneStart + step) % aEligible.size()];
    if (target->zone == aRequest.zone) {
      candidates.push_back(target);
      ++sameZone;
    }
  }
  return candidates;
}

// Returns the targets to compare if this host's zone has a lightly loaded one: a sample of the
// zone, one of its targets that have the first shared part, and the targets that have all shared
// parts of the prompt. Otherwise returns none. A call that stays in its zone does not end when the
// link between zones is lost, and causes no traffic there. Without the second sample, calls spread
// over all idle targets, each of which then has to get the parts that most prompts begin with.
std::vector<const TargetRecord*>
TargetSelector::LocalCandidates(const SelectionRequest& aRequest,
                                const std::vector<const TargetRecord*>& aEligible)
{
  const std::vector<const TargetRecord*> local = InZone(aRequest.zone, aEligible);
  if (aRequest.compareAll || local.size() < kMinLocalTargets) {
    return {};
  }
  std::vector<const TargetRecord*> candidates;
  const std::size_t start = this->random() % local.size();
  for (std::size_t step = 0; step < kSameZoneSampleSize; ++step) {
    candidates.push_back(local[(start + step) % local.size()]);
  }
  for (std::size_t step = kSameZoneSampleSize;
       step < local.size() && candidates.size() < kMinLocalTargets;
       ++step) {
    const TargetRecord* target = local[(start + step) % local.size()];
    if (this->held.LeadingCached(target->id, aRequest.parts) > 0) {
      candidates.push_back(target);
    }
  }
  const bool anyIsLight =
    std::any_of(candidates.begin(), candidates.end(), [this](const TargetRecord* aTarget) {
      return this->IsLightlyLoaded(*aTarget);
    });
  if (!anyIsLight) {
    return {};
  }
  std::copy_if(
    aEligible.begin(),
    aEligible.end(),
    std::back_inserter(candidates),
    [&](const TargetRecord* aTarget) { return this->HoldsAllParts(aRequest, aTarget->id); });
  return candidates;
}

// Returns whether the target has free slots for more calls than other hosts may have sent
// meanwhile, and no prompt waits there.
bool
TargetSelector::IsLightlyLoaded(const TargetRecord& aTarget) const
{
  const LoadCounts load = this->LoadOf(aTarget.id);
  return load.unread == 0 && load.requests * 2 < aTarget.load.slots;
}

// Calls without a prompt take some tens of milliseconds, less than the delay with which hosts learn
// of each other's sends: if each host chose the least loaded target, all would choose the same one.
// The choice is therefore random, unless the target is much more loaded than a second random one.
const TargetRecord*
TargetSelector::ChooseOfTwo(const std::vector<const TargetRecord*>& aEligible)
{
  const TargetRecord* first = aEligible[this->random() % aEligible.size()];
  const TargetRecord* other = aEligible[this->random() % aEligible.size()];
  const auto load = [this](const TargetRecord* aTarget) {
    return static_cast<double>(this->LoadOf(aTarget->id).requests);
  };
  const bool muchFuller =
    load(first) > this->costs.imbalanceFactor * load(other) + this->costs.imbalanceMargin;
  return muchFuller ? other : first;
}

// Stays in this host's zone as LocalCandidates() does.
const TargetRecord*
TargetSelector::ChooseWithoutPrompt(const SelectionRequest& aRequest,
                                    const std::vector<const TargetRecord*>& aEligible)
{
  const std::vector<const TargetRecord*> local = InZone(aRequest.zone, aEligible);
  if (local.size() >= kMinLocalTargets) {
    const TargetRecord* chosen = this->ChooseOfTwo(local);
    if (this->IsLightlyLoaded(*chosen)) {
      return chosen;
    }
  }
  return this->ChooseOfTwo(aEligible);
}

// Tests for all parts: the first parts of many prompts are the same and cached on all targets, so
// only the last shared one distinguishes them.
bool
TargetSelector::HoldsAllParts(const SelectionRequest& aRequest, const TargetId& aTarget) const
{
  const std::size_t count = aRequest.parts.size();
  return count > 0 && this->held.LeadingCached(aTarget, aRequest.parts) == count;
}

TokenCount
TargetSelector::UncachedTokens(const SelectionRequest& aRequest, const TargetId& aTarget) const
{
  std::size_t covered = this->held.LeadingCached(aTarget, aRequest.parts);
  while (covered < aRequest.stored.size() && aRequest.stored[covered]) {
    ++covered;
  }
  std::uint64_t saved = 0;
  for (std::size_t index = 0; index < covered && index < aRequest.parts.size(); ++index) {
    saved += aRequest.parts[index].tokens.Value();
  }
  const std::uint64_t all = aRequest.promptTokens.Value();
  return TokenCount(all - std::min(all, saved));
}

// This host's own load plus that of the others: the sums of control hosts less what this host has
// reported to them.
LoadCounts
TargetSelector::LoadOf(const TargetId& aTarget) const
{
  LoadCounts all = this->sums.Of(aTarget);
  if (const auto own = this->ownReported.find(aTarget); own != this->ownReported.end()) {
    all -= own->second;
  }
  if (const auto own = this->ownLoads.find(aTarget); own != this->ownLoads.end()) {
    all += own->second;
  }
  return all;
}

Duration
TargetSelector::ExpectedFirstEvent(const SelectionRequest& aRequest,
                                   const TargetRecord& aTarget) const
{
  const EngineLatencyModel& pace = this->LatencyModelOf(aRequest.model);
  const auto uncachedTokens =
    static_cast<double>(this->UncachedTokens(aRequest, aTarget.id).Value());
  const double own = pace.BaseLatency() +
                     pace.MillisecondsPerToken() * this->costs.prefillInterleaving * uncachedTokens;
  return this->ExpectedWait(aRequest, aTarget) + Milliseconds(own);
}

Duration
TargetSelector::ExpectedWait(const SelectionRequest& aRequest,
                             const TargetRecord& aTarget,
                             const LoadCounts& aUnseen) const
{
  double milliseconds =
    this->costs.prefillInterleaving * this->QueueDelay(aRequest, aTarget, aUnseen);
  const double used = this->MemoryShare(aRequest, aTarget.id, aUnseen);
  milliseconds += this->costs.memoryOverflow * std::max(used - 1, 0.0);
  return Milliseconds(milliseconds);
}

// Returns the milliseconds until the prefill queue of the target is empty and one of its slots is
// free. Requests that wait for a slot have not been prefilled either, so the longer of the two
// times includes the other.
double
TargetSelector::QueueDelay(const SelectionRequest& aRequest,
                           const TargetRecord& aTarget,
                           const LoadCounts& aUnseen) const
{
  const EngineLatencyModel& pace = this->LatencyModelOf(aRequest.model);
  LoadCounts load = this->LoadOf(aTarget.id);
  load += aUnseen;
  const double prefill = pace.MillisecondsPerToken() * static_cast<double>(load.unread);
  const std::uint64_t slots = aTarget.load.slots;
  if (slots == 0 || load.requests < slots) {
    return prefill;
  }
  const auto ahead = static_cast<double>(load.requests - slots + 1);
  return std::max(prefill, pace.RunTime() * ahead / static_cast<double>(slots));
}

double
TargetSelector::MemoryShare(const SelectionRequest& aRequest,
                            const TargetId& aTarget,
                            const LoadCounts& aUnseen) const
{
  if (aRequest.cacheTokens == TokenCount()) {
    return 0;
  }
  const std::uint64_t tokens =
    aRequest.promptTokens.Value() + this->LoadOf(aTarget).memory + aUnseen.memory;
  return static_cast<double>(tokens) / static_cast<double>(aRequest.cacheTokens.Value());
}

double
TargetSelector::CostOf(const SelectionRequest& aRequest, const TargetRecord& aTarget) const
{
  double cost = aTarget.zone == aRequest.zone ? 0 : this->costs.crossZone;
  const LoadCounts load = this->LoadOf(aTarget.id);
  const auto requests = static_cast<double>(load.requests);
  const double perToken = this->LatencyModelOf(aRequest.model).MillisecondsPerToken();
  const double costPerUncachedToken = perToken * (1 + this->costs.prefillBlocking);
  cost += this->QueueDelay(aRequest, aTarget);
  cost += this->costs.perRunningRequest * requests * (1 + requests / this->costs.requestsToDouble);
  if (aRequest.cacheTokens > TokenCount()) {
    const double used = this->MemoryShare(aRequest, aTarget.id);
    const double over = std::max(used - this->costs.freeMemoryShare, 0.0);
    cost += this->costs.memoryPressure * over / (1 - this->costs.freeMemoryShare);
  }
  if (aRequest.promptTokens == TokenCount()) {
    return cost;
  }
  if (aRequest.weights > 0 && WeightsOf(aTarget, aRequest.model) < aRequest.weights) {
    // The shared parts need no prefill: they are in the target's cache or in a store, computed with
    // its own version of the weights.
    std::uint64_t shared = 0;
    for (const SizedPart& part : aRequest.parts) {
      shared += part.tokens.Value();
    }
    const std::uint64_t all = aRequest.promptTokens.Value();
    const auto own = static_cast<double>(all - std::min(all, shared));
    return cost + this->costs.outdatedWeights + costPerUncachedToken * own;
  }
  const std::size_t leading = this->held.LeadingCached(aTarget.id, aRequest.parts);
  for (std::size_t index = leading; index < aRequest.stored.size(); ++index) {
    const std::optional<PartSource>& source = aRequest.stored[index];
    if (!source) {
      break;
    }
    const bool sameZone = source->zone == aTarget.zone;
    cost += source->fetch * (sameZone ? 1 : this->costs.crossZoneFetch);
  }
  const auto uncachedTokens =
    static_cast<double>(this->UncachedTokens(aRequest, aTarget.id).Value());
  return cost + costPerUncachedToken * uncachedTokens;
}

void
TargetSelector::OnSent(const TargetId& aTarget,
                       const SelectionRequest& aRequest,
                       const CallLoad& aLoad)
{
  LoadCounts& load = this->ownLoads[aTarget];
  ++load.requests;
  load.unread += aLoad.uncachedTokens.Value();
  load.memory += aLoad.memory.Value();
  this->hasUrgent = this->hasUrgent || aLoad.uncachedTokens.Value() >= kLongPrefill;
  std::vector<SizedPart>& parts = this->unreportedParts[aTarget];
  if (aRequest.cacheTokens > TokenCount()) {
    this->held.SetCapacity(aRequest.cacheTokens);
  }
  if (!aRequest.parts.empty()) {
    this->held.OnSent(aTarget, aRequest.parts);
    parts.insert(parts.end(), aRequest.parts.begin(), aRequest.parts.end());
  }
}

std::vector<InFlightLoad>
TargetSelector::TakeSends()
{
  std::vector<InFlightLoad> sends;
  this->hasUrgent = false;
  for (auto& [target, parts] : std::exchange(this->unreportedParts, {})) {
    const auto found = this->ownLoads.find(target);
    const LoadCounts load = found == this->ownLoads.end() ? LoadCounts() : found->second;
    if (load.IsEmpty()) {
      this->ownReported.erase(target);
    } else {
      this->ownReported[target] = load;
    }
    sends.push_back(ToInFlightLoad(target, load, std::move(parts)));
  }
  return sends;
}

void
TargetSelector::ResendAll()
{
  this->ownReported.clear();
  for (const auto& [target, load] : this->ownLoads) {
    this->unreportedParts.try_emplace(target);
  }
}

void
TargetSelector::ApplySum(const LoadReport& aNews, MonotonicTime aNow)
{
  this->sums.Update(aNews, aNow);
  for (const InFlightLoad& sends : aNews.sends) {
    if (!sends.parts.empty()) {
      this->held.OnSent(sends.target, sends.parts);
    }
  }
}

const TargetRecord*
TargetSelector::FindHolder(const SizedPart& aPart,
                           const std::vector<TargetRecord>& aTargets,
                           const TargetRecord& aFor) const
{
  const TargetRecord* found = nullptr;
  for (const TargetRecord& target : aTargets) {
    const bool holds = target.id != aFor.id && !this->health.IsEjected(target.id) &&
                       !this->reach.IsUnreachable(target.zone) &&
                       this->held.Holds(target.id, aPart.key);
    if (holds && (found == nullptr || target.zone == aFor.zone)) {
      found = &target;
    }
  }
  return found;
}

void
TargetSelector::OnRestart(const TargetRecord& aTarget)
{
  this->incarnations[aTarget.id] = aTarget.incarnation;
  this->held.Forget(aTarget.id);
  this->ownLoads.erase(aTarget.id);
  // The load is empty now, which must be reported.
  this->unreportedParts[aTarget.id].clear();
}

bool
TargetSelector::IsOfEarlierIncarnation(const TargetId& aTarget, const CallLoad& aLoad) const
{
  const auto found = this->incarnations.find(aTarget);
  return found != this->incarnations.end() && aLoad.incarnation < found->second;
}

const EngineLatencyModel&
TargetSelector::LatencyModelOf(const ModelName& aModel) const
{
  static const EngineLatencyModel kDefault;
  const auto found = this->paces.find(aModel);
  return found == this->paces.end() ? kDefault : found->second;
}

bool
TargetSelector::RecordFirstEvent(const TargetId& aTarget,
                                 const SelectionRequest& aRequest,
                                 const CallLoad& aLoad,
                                 bool aFetched,
                                 Duration aTook)
{
  const std::uint64_t own = aLoad.uncachedTokens.Value();
  const std::uint64_t unread = this->LoadOf(aTarget).unread;
  const bool waitedForOthers = aLoad.queuedBehindOthers || unread >= own + kLongPrefill;
  if (waitedForOthers) {
    return false;
  }
  EngineLatencyModel& pace = this->paces[aRequest.model];
  if (own < kLongPrefill) {
    pace.RecordShortPrompt(aTook);
  } else if (!aFetched) {
    pace.RecordPrefill(aLoad.uncachedTokens, aTook);
  }
  return true;
}

void
TargetSelector::OnFirstEvent(const TargetId& aTarget, CallLoad& aLoad)
{
  if (!aLoad.firstEventSeen && !this->IsOfEarlierIncarnation(aTarget, aLoad)) {
    aLoad.firstEventSeen = true;
    LoadCounts& load = this->ownLoads[aTarget];
    load.unread -= std::min(load.unread, aLoad.uncachedTokens.Value());
    this->unreportedParts.try_emplace(aTarget);
  }
}

void
TargetSelector::OnEnd(const TargetId& aTarget, const CallLoad& aLoad)
{
  const auto found = this->ownLoads.find(aTarget);
  if (found == this->ownLoads.end() || this->IsOfEarlierIncarnation(aTarget, aLoad)) {
    return;
  }
  LoadCounts& load = found->second;
  load.requests -= std::min<std::uint64_t>(load.requests, 1);
  load.memory -= std::min(load.memory, aLoad.memory.Value());
  if (!aLoad.firstEventSeen) {
    load.unread -= std::min(load.unread, aLoad.uncachedTokens.Value());
  }
  if (load.requests == 0) {
    this->ownLoads.erase(found);
  }
  this->unreportedParts.try_emplace(aTarget);
}

} // namespace damasklink
