#include "damasklink/coordination/TargetPicker.h"

#include <algorithm>

namespace damasklink {
namespace {

// Targets whose costs differ by less than this are equal: hosts that know the same would otherwise
// all choose the same one.
constexpr double kEqualMilliseconds = 0.5;

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

TargetPicker::TargetPicker(const TargetHealth& aHealth, std::uint64_t aSeed, PickCosts aCosts)
  : health(aHealth)
  , costs(aCosts)
  , random(aSeed)
{
}

const TargetRecord*
TargetPicker::Choose(const PickQuestion& aQuestion, const std::vector<TargetRecord>& aTargets)
{
  std::vector<const TargetRecord*> fit;
  std::vector<const TargetRecord*> ejected;
  for (const TargetRecord& target : aTargets) {
    if (!aQuestion.excluded.contains(target.id)) {
      (this->health.IsOut(target.id) ? ejected : fit).push_back(&target);
    }
  }
  if (fit.size() * 2 < aTargets.size() - std::min(aTargets.size(), aQuestion.excluded.size())) {
    fit.insert(fit.end(), ejected.begin(), ejected.end());
  }
  if (fit.empty()) {
    return nullptr;
  }
  const TargetRecord* best = nullptr;
  double least = 0;
  // A random start, so that equal targets are chosen in turn.
  const std::size_t start = this->random() % fit.size();
  for (std::size_t step = 0; step < fit.size(); ++step) {
    const TargetRecord* target = fit[(start + step) % fit.size()];
    const double cost = this->CostOf(aQuestion, *target);
    if (best == nullptr || cost + kEqualMilliseconds < least) {
      best = target;
      least = cost;
    }
  }
  return best;
}

TokenCount
TargetPicker::ToRead(const PickQuestion& aQuestion, const TargetId& aTarget) const
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

double
TargetPicker::CostOf(const PickQuestion& aQuestion, const TargetRecord& aTarget) const
{
  double cost = aTarget.zone == aQuestion.zone ? 0 : this->costs.otherZone;
  const auto load = this->loads.find(aTarget.id);
  if (load != this->loads.end()) {
    cost += this->costs.perRequest * static_cast<double>(load->second.requests);
    cost += this->costs.perToken * static_cast<double>(load->second.unread);
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
    return cost + this->costs.olderWeights + this->costs.perToken * own;
  }
  const std::size_t leading = this->held.LeadingHeld(aTarget.id, aQuestion.parts);
  for (std::size_t index = leading; index < aQuestion.stored.size(); ++index) {
    if (!aQuestion.stored[index]) {
      break;
    }
    const auto tokens = static_cast<double>(aQuestion.parts[index].tokens.Value());
    cost += this->costs.perFetchedToken * tokens;
  }
  const auto toRead = static_cast<double>(this->ToRead(aQuestion, aTarget.id).Value());
  return cost + this->costs.perToken * toRead;
}

void
TargetPicker::OnSent(const TargetId& aTarget,
                     const PickQuestion& aQuestion,
                     const PickedWork& aWork)
{
  Load& load = this->loads[aTarget];
  ++load.requests;
  load.unread += aWork.toRead.Value();
  if (!aQuestion.parts.empty()) {
    this->held.OnRead(aTarget, aQuestion.parts);
  }
}

void
TargetPicker::OnFirstEvent(const TargetId& aTarget, PickedWork& aWork)
{
  if (!aWork.answering) {
    aWork.answering = true;
    Load& load = this->loads[aTarget];
    load.unread -= std::min(load.unread, aWork.toRead.Value());
  }
}

void
TargetPicker::OnEnd(const TargetId& aTarget, const PickedWork& aWork)
{
  const auto found = this->loads.find(aTarget);
  if (found == this->loads.end()) {
    return;
  }
  Load& load = found->second;
  load.requests -= std::min<std::uint64_t>(load.requests, 1);
  if (!aWork.answering) {
    load.unread -= std::min(load.unread, aWork.toRead.Value());
  }
  if (load.requests == 0) {
    this->loads.erase(found);
  }
}

} // namespace damasklink
