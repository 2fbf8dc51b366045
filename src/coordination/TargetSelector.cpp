#include "damasklink/coordination/TargetSelector.h"

#include <algorithm>
#include <utility>

namespace damasklink {
namespace {

// Targets whose costs differ by less than this are equal: hosts that know the same would otherwise
// all choose the same one.
constexpr double kTieMilliseconds = 0.5;

// Targets that are compared, drawn at random, beside those that hold all shared parts of the
// prompt. What hosts know of each other is some hundred milliseconds old: if each compared all
// targets, all of them would choose the same one until they heard of it.
constexpr std::size_t kSampleSize = 4;

// Beside these as many of the host's own availability zone, of which among hundreds hardly any is
// drawn otherwise: bytes between zones are paid for, and a zone that is about as full is as good.
constexpr std::size_t kSameZoneSampleSize = 4;

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
                               const ZoneReach& aReach,
                               std::uint64_t aSeed,
                               SelectionCosts aCosts)
  : health(aHealth)
  , reach(aReach)
  , costs(aCosts)
  , random(aSeed)
{
}

const TargetRecord*
TargetSelector::Choose(const SelectionRequest& aQuestion, const std::vector<TargetRecord>& aTargets)
{
  std::vector<const TargetRecord*> fit;
  std::vector<const TargetRecord*> ejected;
  std::vector<const TargetRecord*> outOfReach;
  const auto isNewEnough = [&](const TargetRecord& aTarget) {
    return WeightsOf(aTarget, aQuestion.model) >= aQuestion.minWeights;
  };
  const bool mayChoose = std::any_of(aTargets.begin(), aTargets.end(), isNewEnough);
  for (const TargetRecord& target : aTargets) {
    const bool tooOld = mayChoose && !isNewEnough(target);
    if (tooOld || aQuestion.excluded.contains(target.id) || aQuestion.limited.contains(target.id)) {
      continue;
    }
    if (this->reach.IsOut(target.zone)) {
      outOfReach.push_back(&target);
    } else {
      (this->health.IsOut(target.id) ? ejected : fit).push_back(&target);
    }
  }
  if (fit.size() < ejected.size()) {
    fit.insert(fit.end(), ejected.begin(), ejected.end());
  }
  if (fit.empty()) {
    fit = std::move(outOfReach);
  }
  if (fit.empty()) {
    return nullptr;
  }
  if (aQuestion.promptTokens == TokenCount()) {
    return this->ChooseWithoutPrompt(fit);
  }
  const TargetRecord* best = nullptr;
  double least = 0;
  for (const TargetRecord* target : this->Candidates(aQuestion, fit)) {
    const double cost = this->CostOf(aQuestion, *target);
    if (best == nullptr || cost + kTieMilliseconds < least) {
      best = target;
      least = cost;
    }
  }
  return best;
}

// Returns the targets that are compared for a prompt; the first one is chosen among equals, so each
// drawing begins at random.
std::vector<const TargetRecord*>
TargetSelector::Candidates(const SelectionRequest& aQuestion,
                           const std::vector<const TargetRecord*>& aFit)
{
  std::vector<const TargetRecord*> candidates;
  const std::size_t start = this->random() % aFit.size();
  for (std::size_t step = 0; step < aFit.size(); ++step) {
    const TargetRecord* target = aFit[(start + step) % aFit.size()];
    if (aQuestion.compareAll || step < kSampleSize || this->HoldsAllParts(aQuestion, target->id)) {
      candidates.push_back(target);
    }
  }
  if (aQuestion.compareAll) {
    return candidates;
  }
  const std::size_t nearStart = this->random() % aFit.size();
  std::size_t near = 0;
  for (std::size_t step = 0; step < aFit.size() && near < kSameZoneSampleSize; ++step) {
    const TargetRecord* target = aFit[(nearStart + step) % aFit.size()];
    if (target->zone == aQuestion.zone) {
      candidates.push_back(target);
      ++near;
    }
  }
  return candidates;
}

// Calls without a prompt last some tens of milliseconds, less than what hosts know of each other is
// old: were the least loaded target chosen, all hosts would choose it until they heard of each
// other. So chance decides, unless the target is much fuller than another one drawn at random.
const TargetRecord*
TargetSelector::ChooseWithoutPrompt(const std::vector<const TargetRecord*>& aFit)
{
  const TargetRecord* first = aFit[this->random() % aFit.size()];
  const TargetRecord* other = aFit[this->random() % aFit.size()];
  const auto load = [this](const TargetRecord* aTarget) {
    return static_cast<double>(this->LoadOf(aTarget->id).requests);
  };
  const bool muchFuller =
    load(first) > this->costs.imbalanceFactor * load(other) + this->costs.imbalanceMargin;
  return muchFuller ? other : first;
}

// The first parts of many prompts are the same and held everywhere; the last shared one tells.
bool
TargetSelector::HoldsAllParts(const SelectionRequest& aQuestion, const TargetId& aTarget) const
{
  const std::size_t count = aQuestion.parts.size();
  return count > 0 && this->held.LeadingHeld(aTarget, aQuestion.parts) == count;
}

TokenCount
TargetSelector::UncachedTokens(const SelectionRequest& aQuestion, const TargetId& aTarget) const
{
  std::size_t covered = this->held.LeadingHeld(aTarget, aQuestion.parts);
  while (covered < aQuestion.stored.size() && aQuestion.stored[covered]) {
    ++covered;
  }
  std::uint64_t saved = 0;
  for (std::size_t index = 0; index < covered && index < aQuestion.parts.size(); ++index) {
    saved += aQuestion.parts[index].tokens.Value();
  }
  const std::uint64_t all = aQuestion.promptTokens.Value();
  return TokenCount(all - std::min(all, saved));
}

// This host's own load, and that of the others: the sums less what this host told of itself.
SentLoad
TargetSelector::LoadOf(const TargetId& aTarget) const
{
  SentLoad all = this->told.Of(aTarget);
  if (const auto own = this->ownReported.find(aTarget); own != this->ownReported.end()) {
    all -= own->second;
  }
  if (const auto own = this->loads.find(aTarget); own != this->loads.end()) {
    all += own->second;
  }
  return all;
}

Duration
TargetSelector::ExpectedFirstEvent(const SelectionRequest& aQuestion,
                                   const TargetRecord& aTarget) const
{
  const EngineLatencyModel& pace = this->LatencyModelOf(aQuestion.model);
  const auto uncachedTokens =
    static_cast<double>(this->UncachedTokens(aQuestion, aTarget.id).Value());
  const double own = pace.BaseLatency() +
                     pace.MillisecondsPerToken() * this->costs.prefillInterleaving * uncachedTokens;
  return this->ExpectedWait(aQuestion, aTarget) + Milliseconds(own);
}

Duration
TargetSelector::ExpectedWait(const SelectionRequest& aQuestion, const TargetRecord& aTarget) const
{
  double milliseconds = this->costs.prefillInterleaving * this->QueueDelay(aQuestion, aTarget);
  const double used = this->MemoryShare(aQuestion, aTarget.id);
  milliseconds += this->costs.memoryOverflow * std::max(used - 1, 0.0);
  return Milliseconds(milliseconds);
}

// Returns the milliseconds until what waits at the target has been read and one of its slots is
// free. Those that wait for a slot are not read yet, so the longer of the two contains the other.
double
TargetSelector::QueueDelay(const SelectionRequest& aQuestion, const TargetRecord& aTarget) const
{
  const EngineLatencyModel& pace = this->LatencyModelOf(aQuestion.model);
  const SentLoad load = this->LoadOf(aTarget.id);
  const double reading = pace.MillisecondsPerToken() * static_cast<double>(load.unread);
  const std::uint64_t slots = aTarget.load.slots;
  if (slots == 0 || load.requests < slots) {
    return reading;
  }
  const auto ahead = static_cast<double>(load.requests - slots + 1);
  return std::max(reading, pace.Run() * ahead / static_cast<double>(slots));
}

double
TargetSelector::MemoryShare(const SelectionRequest& aQuestion, const TargetId& aTarget) const
{
  if (aQuestion.cacheTokens == TokenCount()) {
    return 0;
  }
  const std::uint64_t tokens = aQuestion.promptTokens.Value() + this->LoadOf(aTarget).memory;
  return static_cast<double>(tokens) / static_cast<double>(aQuestion.cacheTokens.Value());
}

double
TargetSelector::CostOf(const SelectionRequest& aQuestion, const TargetRecord& aTarget) const
{
  double cost = aTarget.zone == aQuestion.zone ? 0 : this->costs.crossZone;
  const SentLoad load = this->LoadOf(aTarget.id);
  const auto requests = static_cast<double>(load.requests);
  const double perToken = this->LatencyModelOf(aQuestion.model).MillisecondsPerToken();
  const double perOwnToken = perToken * (1 + this->costs.prefillBlocking);
  cost += this->QueueDelay(aQuestion, aTarget);
  cost += this->costs.perRunningRequest * requests * (1 + requests / this->costs.requestsToDouble);
  if (aQuestion.cacheTokens > TokenCount()) {
    const double used = this->MemoryShare(aQuestion, aTarget.id);
    const double over = std::max(used - this->costs.freeMemoryShare, 0.0);
    cost += this->costs.memoryPressure * over / (1 - this->costs.freeMemoryShare);
  }
  if (aQuestion.promptTokens == TokenCount()) {
    return cost;
  }
  if (aQuestion.weights > 0 && WeightsOf(aTarget, aQuestion.model) < aQuestion.weights) {
    // Its shared parts are in its cache or in a store, made by its own version.
    std::uint64_t shared = 0;
    for (const SizedPart& part : aQuestion.parts) {
      shared += part.tokens.Value();
    }
    const std::uint64_t all = aQuestion.promptTokens.Value();
    const auto own = static_cast<double>(all - std::min(all, shared));
    return cost + this->costs.outdatedWeights + perOwnToken * own;
  }
  const std::size_t leading = this->held.LeadingHeld(aTarget.id, aQuestion.parts);
  for (std::size_t index = leading; index < aQuestion.stored.size(); ++index) {
    const std::optional<PartSource>& source = aQuestion.stored[index];
    if (!source) {
      break;
    }
    const bool sameZone = source->zone == aTarget.zone;
    cost += source->fetch * (sameZone ? 1 : this->costs.crossZoneFetch);
  }
  const auto uncachedTokens =
    static_cast<double>(this->UncachedTokens(aQuestion, aTarget.id).Value());
  return cost + perOwnToken * uncachedTokens;
}

void
TargetSelector::OnSent(const TargetId& aTarget,
                       const SelectionRequest& aQuestion,
                       const CallLoad& aWork)
{
  SentLoad& load = this->loads[aTarget];
  ++load.requests;
  load.unread += aWork.uncachedTokens.Value();
  load.memory += aWork.memory.Value();
  this->urgent = this->urgent || aWork.uncachedTokens.Value() >= kLongPrefill;
  std::vector<SizedPart>& parts = this->untold[aTarget];
  if (aQuestion.cacheTokens > TokenCount()) {
    this->held.SetCapacity(aQuestion.cacheTokens);
  }
  if (!aQuestion.parts.empty()) {
    this->held.OnRead(aTarget, aQuestion.parts);
    parts.insert(parts.end(), aQuestion.parts.begin(), aQuestion.parts.end());
  }
}

std::vector<TargetSendsNow>
TargetSelector::TakeSends()
{
  std::vector<TargetSendsNow> sends;
  this->urgent = false;
  for (auto& [target, parts] : std::exchange(this->untold, {})) {
    const auto found = this->loads.find(target);
    const SentLoad load = found == this->loads.end() ? SentLoad() : found->second;
    if (load.IsEmpty()) {
      this->ownReported.erase(target);
    } else {
      this->ownReported[target] = load;
    }
    sends.push_back(StateSends(target, load, std::move(parts)));
  }
  return sends;
}

void
TargetSelector::TellAllAnew()
{
  this->ownReported.clear();
  for (const auto& [target, load] : this->loads) {
    this->untold.try_emplace(target);
  }
}

void
TargetSelector::TakeSum(const SendsNews& aNews, MonotonicTime aNow)
{
  this->told.Take(aNews, aNow);
  for (const TargetSendsNow& sends : aNews.sends) {
    if (!sends.parts.empty()) {
      this->held.OnRead(sends.target, sends.parts);
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
    const bool holds = target.id != aFor.id && !this->health.IsOut(target.id) &&
                       !this->reach.IsOut(target.zone) && this->held.Holds(target.id, aPart.key);
    if (holds && (found == nullptr || target.zone == aFor.zone)) {
      found = &target;
    }
  }
  return found;
}

void
TargetSelector::OnRestart(const TargetRecord& aTarget)
{
  this->starts[aTarget.id] = aTarget.incarnation;
  this->held.Forget(aTarget.id);
  this->loads.erase(aTarget.id);
  // Empty now, which the others must hear.
  this->untold[aTarget.id].clear();
}

bool
TargetSelector::IsOfEarlierIncarnation(const TargetId& aTarget, const CallLoad& aWork) const
{
  const auto found = this->starts.find(aTarget);
  return found != this->starts.end() && aWork.start < found->second;
}

const EngineLatencyModel&
TargetSelector::LatencyModelOf(const ModelName& aModel) const
{
  static const EngineLatencyModel kUnknown;
  const auto found = this->paces.find(aModel);
  return found == this->paces.end() ? kUnknown : found->second;
}

bool
TargetSelector::RecordFirstEvent(const TargetId& aTarget,
                                 const SelectionRequest& aQuestion,
                                 const CallLoad& aWork,
                                 bool aFetched,
                                 Duration aTook)
{
  const std::uint64_t own = aWork.uncachedTokens.Value();
  const std::uint64_t unread = this->LoadOf(aTarget).unread;
  const bool othersRead = aWork.queuedBehindOthers || unread >= own + kLongPrefill;
  if (othersRead) {
    return false;
  }
  EngineLatencyModel& pace = this->paces[aQuestion.model];
  if (own < kLongPrefill) {
    pace.RecordShortPrompt(aTook);
  } else if (!aFetched) {
    pace.RecordPrefill(aWork.uncachedTokens, aTook);
  }
  return true;
}

void
TargetSelector::OnFirstEvent(const TargetId& aTarget, CallLoad& aWork)
{
  if (!aWork.answering && !this->IsOfEarlierIncarnation(aTarget, aWork)) {
    aWork.answering = true;
    SentLoad& load = this->loads[aTarget];
    load.unread -= std::min(load.unread, aWork.uncachedTokens.Value());
    this->untold.try_emplace(aTarget);
  }
}

void
TargetSelector::OnEnd(const TargetId& aTarget, const CallLoad& aWork)
{
  const auto found = this->loads.find(aTarget);
  if (found == this->loads.end() || this->IsOfEarlierIncarnation(aTarget, aWork)) {
    return;
  }
  SentLoad& load = found->second;
  load.requests -= std::min<std::uint64_t>(load.requests, 1);
  load.memory -= std::min(load.memory, aWork.memory.Value());
  if (!aWork.answering) {
    load.unread -= std::min(load.unread, aWork.uncachedTokens.Value());
  }
  if (load.requests == 0) {
    this->loads.erase(found);
  }
  this->untold.try_emplace(aTarget);
}

} // namespace damasklink
