#include "damasklink/coordination/TargetPicker.h"

#include <algorithm>
#include <utility>

namespace damasklink {
namespace {

// Targets whose costs differ by less than this are equal: hosts that know the same would otherwise
// all choose the same one.
constexpr double kEqualMilliseconds = 0.5;

// Targets that are compared, drawn at random, beside those that hold all shared parts of the
// prompt. What hosts know of each other is some hundred milliseconds old: if each compared all
// targets, all of them would choose the same one until they heard of it.
constexpr std::size_t kSampled = 4;

// Beside these as many of the host's own availability zone, of which among hundreds hardly any is
// drawn otherwise: bytes between zones are paid for, and a zone that is about as full is as good.
constexpr std::size_t kSampledNear = 4;

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

TargetPicker::TargetPicker(const TargetHealth& aHealth,
                           const ZoneReach& aReach,
                           std::uint64_t aSeed,
                           PickCosts aCosts)
  : health(aHealth)
  , reach(aReach)
  , costs(aCosts)
  , random(aSeed)
{
}

const TargetRecord*
TargetPicker::Choose(const PickQuestion& aQuestion, const std::vector<TargetRecord>& aTargets)
{
  std::vector<const TargetRecord*> fit;
  std::vector<const TargetRecord*> ejected;
  std::vector<const TargetRecord*> outOfReach;
  const auto isNewEnough = [&](const TargetRecord& aTarget) {
    return WeightsOf(aTarget, aQuestion.model) >= aQuestion.leastWeights;
  };
  const bool mayChoose = std::any_of(aTargets.begin(), aTargets.end(), isNewEnough);
  for (const TargetRecord& target : aTargets) {
    const bool tooOld = mayChoose && !isNewEnough(target);
    if (tooOld || aQuestion.excluded.contains(target.id) || aQuestion.limited.contains(target.id)) {
      continue;
    }
    if (this->reach.IsUnreachable(target.zone)) {
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
    return this->ChooseForPlainCall(fit);
  }
  const TargetRecord* best = nullptr;
  double least = 0;
  for (const TargetRecord* target : this->Candidates(aQuestion, fit)) {
    const double cost = this->CostOf(aQuestion, *target);
    if (best == nullptr || cost + kEqualMilliseconds < least) {
      best = target;
      least = cost;
    }
  }
  return best;
}

// Returns the targets that are compared for a prompt; the first one is chosen among equals, so each
// drawing begins at random.
std::vector<const TargetRecord*>
TargetPicker::Candidates(const PickQuestion& aQuestion,
                         const std::vector<const TargetRecord*>& aFit)
{
  std::vector<const TargetRecord*> candidates;
  const std::size_t start = this->random() % aFit.size();
  for (std::size_t step = 0; step < aFit.size(); ++step) {
    const TargetRecord* target = aFit[(start + step) % aFit.size()];
    if (aQuestion.amongAll || step < kSampled || this->HoldsAll(aQuestion, target->id)) {
      candidates.push_back(target);
    }
  }
  if (aQuestion.amongAll) {
    return candidates;
  }
  const std::size_t nearStart = this->random() % aFit.size();
  std::size_t near = 0;
  for (std::size_t step = 0; step < aFit.size() && near < kSampledNear; ++step) {
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
TargetPicker::ChooseForPlainCall(const std::vector<const TargetRecord*>& aFit)
{
  const TargetRecord* first = aFit[this->random() % aFit.size()];
  const TargetRecord* other = aFit[this->random() % aFit.size()];
  const auto load = [this](const TargetRecord* aTarget) {
    return static_cast<double>(this->LoadOf(aTarget->id).requests);
  };
  const bool muchFuller =
    load(first) > this->costs.fullerByFactor * load(other) + this->costs.fullerBy;
  return muchFuller ? other : first;
}

// The first parts of many prompts are the same and held everywhere; the last shared one tells.
bool
TargetPicker::HoldsAll(const PickQuestion& aQuestion, const TargetId& aTarget) const
{
  const std::size_t count = aQuestion.parts.size();
  return count > 0 && this->held.LeadingCached(aTarget, aQuestion.parts) == count;
}

TokenCount
TargetPicker::ToRead(const PickQuestion& aQuestion, const TargetId& aTarget) const
{
  std::size_t covered = this->held.LeadingCached(aTarget, aQuestion.parts);
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
LoadCounts
TargetPicker::LoadOf(const TargetId& aTarget) const
{
  LoadCounts all = this->told.Of(aTarget);
  if (const auto own = this->ownTold.find(aTarget); own != this->ownTold.end()) {
    all -= own->second;
  }
  if (const auto own = this->loads.find(aTarget); own != this->loads.end()) {
    all += own->second;
  }
  return all;
}

Duration
TargetPicker::ExpectedFirstEvent(const PickQuestion& aQuestion, const TargetRecord& aTarget) const
{
  const EnginePace& pace = this->PaceOf(aQuestion.model);
  const auto toRead = static_cast<double>(this->ToRead(aQuestion, aTarget.id).Value());
  const double own = pace.FirstStep() + pace.PerToken() * this->costs.readingInQueue * toRead;
  return this->ExpectedWait(aQuestion, aTarget) + Milliseconds(own);
}

Duration
TargetPicker::ExpectedWait(const PickQuestion& aQuestion, const TargetRecord& aTarget) const
{
  double milliseconds = this->costs.readingInQueue * this->QueueAt(aQuestion, aTarget);
  const double used = this->MemoryShare(aQuestion, aTarget.id);
  milliseconds += this->costs.missingMemory * std::max(used - 1, 0.0);
  return Milliseconds(milliseconds);
}

// Returns the milliseconds until what waits at the target has been read and one of its slots is
// free. Those that wait for a slot are not read yet, so the longer of the two contains the other.
double
TargetPicker::QueueAt(const PickQuestion& aQuestion, const TargetRecord& aTarget) const
{
  const EnginePace& pace = this->PaceOf(aQuestion.model);
  const LoadCounts load = this->LoadOf(aTarget.id);
  const double reading = pace.PerToken() * static_cast<double>(load.unread);
  const std::uint64_t slots = aTarget.load.slots;
  if (slots == 0 || load.requests < slots) {
    return reading;
  }
  const auto ahead = static_cast<double>(load.requests - slots + 1);
  return std::max(reading, pace.Run() * ahead / static_cast<double>(slots));
}

double
TargetPicker::MemoryShare(const PickQuestion& aQuestion, const TargetId& aTarget) const
{
  if (aQuestion.cacheTokens == TokenCount()) {
    return 0;
  }
  const std::uint64_t tokens = aQuestion.promptTokens.Value() + this->LoadOf(aTarget).memory;
  return static_cast<double>(tokens) / static_cast<double>(aQuestion.cacheTokens.Value());
}

double
TargetPicker::CostOf(const PickQuestion& aQuestion, const TargetRecord& aTarget) const
{
  double cost = aTarget.zone == aQuestion.zone ? 0 : this->costs.otherZone;
  const LoadCounts load = this->LoadOf(aTarget.id);
  const auto requests = static_cast<double>(load.requests);
  const double perToken = this->PaceOf(aQuestion.model).PerToken();
  const double perOwnToken = perToken * (1 + this->costs.readingHoldsUp);
  cost += this->QueueAt(aQuestion, aTarget);
  cost += this->costs.perRequest * requests * (1 + requests / this->costs.usualRequests);
  if (aQuestion.cacheTokens > TokenCount()) {
    const double used = this->MemoryShare(aQuestion, aTarget.id);
    const double over = std::max(used - this->costs.freeMemoryShare, 0.0);
    cost += this->costs.fullMemory * over / (1 - this->costs.freeMemoryShare);
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
    return cost + this->costs.olderWeights + perOwnToken * own;
  }
  const std::size_t leading = this->held.LeadingCached(aTarget.id, aQuestion.parts);
  for (std::size_t index = leading; index < aQuestion.stored.size(); ++index) {
    const std::optional<PartSource>& source = aQuestion.stored[index];
    if (!source) {
      break;
    }
    const bool sameZone = source->zone == aTarget.zone;
    cost += source->fetch * (sameZone ? 1 : this->costs.fetchFromOtherZone);
  }
  const auto toRead = static_cast<double>(this->ToRead(aQuestion, aTarget.id).Value());
  return cost + perOwnToken * toRead;
}

void
TargetPicker::OnSent(const TargetId& aTarget,
                     const PickQuestion& aQuestion,
                     const PickedWork& aWork)
{
  LoadCounts& load = this->loads[aTarget];
  ++load.requests;
  load.unread += aWork.toRead.Value();
  load.memory += aWork.memory.Value();
  this->urgent = this->urgent || aWork.toRead.Value() >= kLongReading;
  std::vector<SizedPart>& parts = this->untold[aTarget];
  if (aQuestion.cacheTokens > TokenCount()) {
    this->held.SetCapacity(aQuestion.cacheTokens);
  }
  if (!aQuestion.parts.empty()) {
    this->held.OnSent(aTarget, aQuestion.parts);
    parts.insert(parts.end(), aQuestion.parts.begin(), aQuestion.parts.end());
  }
}

std::vector<InFlightLoad>
TargetPicker::TakeSends()
{
  std::vector<InFlightLoad> sends;
  this->urgent = false;
  for (auto& [target, parts] : std::exchange(this->untold, {})) {
    const auto found = this->loads.find(target);
    const LoadCounts load = found == this->loads.end() ? LoadCounts() : found->second;
    if (load.IsEmpty()) {
      this->ownTold.erase(target);
    } else {
      this->ownTold[target] = load;
    }
    sends.push_back(ToInFlightLoad(target, load, std::move(parts)));
  }
  return sends;
}

void
TargetPicker::TellAllAnew()
{
  this->ownTold.clear();
  for (const auto& [target, load] : this->loads) {
    this->untold.try_emplace(target);
  }
}

void
TargetPicker::TakeSum(const LoadReport& aNews, MonotonicTime aNow)
{
  this->told.Update(aNews, aNow);
  for (const InFlightLoad& sends : aNews.sends) {
    if (!sends.parts.empty()) {
      this->held.OnSent(sends.target, sends.parts);
    }
  }
}

const TargetRecord*
TargetPicker::HolderOf(const SizedPart& aPart,
                       const std::vector<TargetRecord>& aTargets,
                       const TargetRecord& aFor) const
{
  const TargetRecord* found = nullptr;
  for (const TargetRecord& target : aTargets) {
    const bool holds = target.id != aFor.id && !this->health.IsOut(target.id) &&
                       !this->reach.IsUnreachable(target.zone) &&
                       this->held.Holds(target.id, aPart.key);
    if (holds && (found == nullptr || target.zone == aFor.zone)) {
      found = &target;
    }
  }
  return found;
}

void
TargetPicker::OnRestart(const TargetRecord& aTarget)
{
  this->starts[aTarget.id] = aTarget.incarnation;
  this->held.Forget(aTarget.id);
  this->loads.erase(aTarget.id);
  // Empty now, which the others must hear.
  this->untold[aTarget.id].clear();
}

bool
TargetPicker::IsOfEarlierStart(const TargetId& aTarget, const PickedWork& aWork) const
{
  const auto found = this->starts.find(aTarget);
  return found != this->starts.end() && aWork.start < found->second;
}

const EnginePace&
TargetPicker::PaceOf(const ModelName& aModel) const
{
  static const EnginePace kUnknown;
  const auto found = this->paces.find(aModel);
  return found == this->paces.end() ? kUnknown : found->second;
}

bool
TargetPicker::NotePace(const TargetId& aTarget,
                       const PickQuestion& aQuestion,
                       const PickedWork& aWork,
                       bool aFetched,
                       Duration aTook)
{
  const std::uint64_t own = aWork.toRead.Value();
  const std::uint64_t unread = this->LoadOf(aTarget).unread;
  const bool othersRead = aWork.behindOthers || unread >= own + kLongReading;
  if (othersRead) {
    return false;
  }
  EnginePace& pace = this->paces[aQuestion.model];
  if (own < kLongReading) {
    pace.NoteShort(aTook);
  } else if (!aFetched) {
    pace.NoteReading(aWork.toRead, aTook);
  }
  return true;
}

void
TargetPicker::OnFirstEvent(const TargetId& aTarget, PickedWork& aWork)
{
  if (!aWork.answering && !this->IsOfEarlierStart(aTarget, aWork)) {
    aWork.answering = true;
    LoadCounts& load = this->loads[aTarget];
    load.unread -= std::min(load.unread, aWork.toRead.Value());
    this->untold.try_emplace(aTarget);
  }
}

void
TargetPicker::OnEnd(const TargetId& aTarget, const PickedWork& aWork)
{
  const auto found = this->loads.find(aTarget);
  if (found == this->loads.end() || this->IsOfEarlierStart(aTarget, aWork)) {
    return;
  }
  LoadCounts& load = found->second;
  load.requests -= std::min<std::uint64_t>(load.requests, 1);
  load.memory -= std::min(load.memory, aWork.memory.Value());
  if (!aWork.answering) {
    load.unread -= std::min(load.unread, aWork.toRead.Value());
  }
  if (load.requests == 0) {
    this->loads.erase(found);
  }
  this->untold.try_emplace(aTarget);
}

} // namespace damasklink
