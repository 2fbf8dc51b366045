#include "damasklink/coordination/WeightRollout.h"

#include <algorithm>
#include <cmath>

namespace damasklink {

WeightRollout::WeightRollout(const Clock& aClock, RolloutOptions aOptions)
  : clock(aClock)
  , options(aOptions)
{
}

std::vector<RolloutAction>
WeightRollout::Plan(bool aLeaseHeld,
                    const std::map<ModelName, std::uint64_t>& aDesired,
                    const std::vector<TargetRecord>& aEngines)
{
  std::vector<RolloutAction> actions;
  const MonotonicTime now = this->clock.MonotonicNow();
  if (!aLeaseHeld) {
    this->leading = false;
    this->updates.clear();
    return actions;
  }
  if (!this->leading) {
    this->leading = true;
    this->leadingSince = now;
  }
  if (!this->MayOrder()) {
    return actions;
  }
  if (!this->AreUnchanged(aEngines)) {
    this->UpdateEngines(aEngines);
  }
  for (const auto& [model, version] : aDesired) {
    std::size_t serving = 0;
    std::vector<const TargetRecord*> outdated;
    for (const TargetRecord& engine : aEngines) {
      const std::uint64_t announced = VersionOf(engine.models, model);
      serving += announced > 0 ? 1 : 0;
      if (announced > 0 && this->KnownVersion(engine, model) < version) {
        outdated.push_back(&engine);
      } else if (const auto done = this->updates.find(engine.id);
                 done != this->updates.end() && done->second.model == model) {
        this->updates.erase(done);
      }
    }
    this->SortByVersion(model, outdated);
    const auto maxUnavailable = static_cast<std::size_t>(
      std::ceil(static_cast<double>(serving) * this->options.maxUnavailableShare));
    for (const TargetRecord* engine : outdated) {
      const bool inProgress = this->updates.contains(engine->id);
      if (!inProgress && (this->updates.size() >= maxUnavailable || now < this->nextStart)) {
        continue;
      }
      if (!inProgress) {
        this->nextStart = std::max(this->nextStart + this->options.rolloutDuration / serving,
                                   now - this->options.rolloutDuration / serving);
      }
      EngineUpdate& update = this->updates[engine->id];
      if (!inProgress || update.version != version) {
        update.model = model;
        update.version = version;
      }
      if (!inProgress) {
        update.startedAt = now;
        actions.push_back(ReadEngine{ engine->id, engine->incarnation, engine->endpoint });
      } else if (auto action = this->Advance(*engine, update)) {
        actions.push_back(std::move(*action));
      }
    }
  }
  return actions;
}

// Returns whether the engines and their incarnations are those of the last call. Called several
// times a second with thousands of engines, so it copies nothing.
bool
WeightRollout::AreUnchanged(const std::vector<TargetRecord>& aEngines) const
{
  return std::equal(this->incarnations.begin(),
                    this->incarnations.end(),
                    aEngines.begin(),
                    aEngines.end(),
                    [](const auto& aEntry, const TargetRecord& aEngine) {
                      return aEntry.first == aEngine.id && aEntry.second == aEngine.incarnation;
                    });
}

// Drops the state of engines that have restarted, since their order count and reported versions may
// no longer hold, and of engines that are not listed.
void
WeightRollout::UpdateEngines(const std::vector<TargetRecord>& aEngines)
{
  std::map<TargetId, Incarnation> listed;
  for (const TargetRecord& engine : aEngines) {
    listed[engine.id] = engine.incarnation;
    const auto known = this->incarnations.find(engine.id);
    if (known == this->incarnations.end() || known->second == engine.incarnation) {
      continue;
    }
    this->updates.erase(engine.id);
    std::erase_if(this->reported,
                  [&](const auto& aItem) { return aItem.first.first == engine.id; });
  }
  this->incarnations = std::move(listed);
  const auto isRemoved = [this](const TargetId& aTarget) {
    return !this->incarnations.contains(aTarget);
  };
  std::erase_if(this->updates, [&](const auto& aItem) { return isRemoved(aItem.first); });
  std::erase_if(this->reported, [&](const auto& aItem) { return isRemoved(aItem.first.first); });
}

std::optional<RolloutAction>
WeightRollout::Advance(const TargetRecord& aEngine, EngineUpdate& aUpdate)
{
  const MonotonicTime now = this->clock.MonotonicNow();
  switch (aUpdate.stage) {
    case Stage::Reading:
    case Stage::Ordering:
      return std::nullopt;
    case Stage::Read: {
      const bool mustWait = aUpdate.report.busy ||
                            now - aUpdate.orderedAt < this->options.orderTimeout ||
                            now - aUpdate.startedAt < this->options.drain;
      if (!aUpdate.hasReport || mustWait) {
        break;
      }
      aUpdate.stage = Stage::Ordering;
      aUpdate.orderedAt = now;
      return OrderWeights{ aEngine.id,    aEngine.incarnation, aEngine.endpoint,
                           aUpdate.model, aUpdate.version,     aUpdate.report.ordersAccepted };
    }
    case Stage::Ordered:
      break;
  }
  if (now < aUpdate.nextRead) {
    return std::nullopt;
  }
  aUpdate.stage = Stage::Reading;
  aUpdate.nextRead = now + this->options.reportInterval;
  return ReadEngine{ aEngine.id, aEngine.incarnation, aEngine.endpoint };
}

void
WeightRollout::OnReport(const TargetId& aTarget, const std::optional<EngineReport>& aReport)
{
  const auto found = this->updates.find(aTarget);
  if (found == this->updates.end()) {
    return;
  }
  EngineUpdate& update = found->second;
  update.stage = Stage::Read;
  const bool ofEarlierIncarnation = aReport && aReport->incarnation < this->incarnations[aTarget];
  if (ofEarlierIncarnation && aReport->incarnation > Incarnation()) {
    update.hasReport = false;
    return;
  }
  update.nextRead = this->clock.MonotonicNow() + this->options.reportInterval;
  update.hasReport = aReport.has_value();
  if (aReport) {
    update.report = *aReport;
    for (const ServedModel& served : aReport->models) {
      this->reported[{ aTarget, served.model }] = VersionOf(aReport->models, served.model);
    }
  }
}

void
WeightRollout::OnOrdered(const TargetId& aTarget)
{
  const auto found = this->updates.find(aTarget);
  if (found != this->updates.end() && found->second.stage == Stage::Ordering) {
    found->second.stage = Stage::Ordered;
    found->second.nextRead = this->clock.MonotonicNow() + this->options.reportInterval;
  }
}

std::set<TargetId>
WeightRollout::Paused() const
{
  std::set<TargetId> paused;
  for (const auto& [target, update] : this->updates) {
    paused.insert(target);
  }
  return paused;
}

std::uint64_t
WeightRollout::ReportedVersion(const TargetId& aTarget, const ModelName& aModel) const
{
  const auto found = this->reported.find({ aTarget, aModel });
  return found == this->reported.end() ? 0 : found->second;
}

// Engines with the oldest weights go first: while versions come faster than all engines load one,
// those that were just updated are outdated again.
void
WeightRollout::SortByVersion(const ModelName& aModel,
                             std::vector<const TargetRecord*>& aEngines) const
{
  std::stable_sort(aEngines.begin(), aEngines.end(), [&](const auto* aLeft, const auto* aRight) {
    return this->KnownVersion(*aLeft, aModel) < this->KnownVersion(*aRight, aModel);
  });
}

std::uint64_t
WeightRollout::KnownVersion(const TargetRecord& aEngine, const ModelName& aModel) const
{
  return std::max(VersionOf(aEngine.models, aModel), this->ReportedVersion(aEngine.id, aModel));
}

bool
WeightRollout::MayOrder() const
{
  return this->leading &&
         this->clock.MonotonicNow() - this->leadingSince >= this->options.orderLease;
}

std::uint64_t
WeightRollout::VersionOf(const std::vector<ServedModel>& aModels, const ModelName& aModel)
{
  for (const ServedModel& served : aModels) {
    if (served.model == aModel) {
      return WeightNumber(served.version);
    }
  }
  return 0;
}

} // namespace damasklink
