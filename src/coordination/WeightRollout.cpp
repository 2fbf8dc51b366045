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
                    const std::map<ModelName, DesiredWeights>& aDesired,
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
  for (const auto& [model, desired] : aDesired) {
    this->EndUpdates(model, desired, aEngines);
    this->NoteIdle(model, desired, aEngines);
    const auto all = static_cast<std::size_t>(std::count_if(
      aEngines.begin(), aEngines.end(), [&wanted = model](const TargetRecord& aEngine) {
        return VersionOf(aEngine.models, wanted) > 0;
      }));
    bool someWait = false;
    for (const TargetRecord* engine : this->Outdated(model, desired.version, aEngines)) {
      if (const auto found = this->updates.find(engine->id); found != this->updates.end()) {
        if (auto action = this->Advance(*engine, desired.version, found->second)) {
          actions.push_back(std::move(*action));
        }
      } else if (!this->HasPlace(*engine, all)) {
        someWait = true;
      } else if (this->MayStart(*engine)) {
        actions.push_back(this->Start(model, *engine, all));
      }
    }
    if (someWait) {
      this->GiveUpStuck();
    }
  }
  return actions;
}

// Ends the updates of engines that have loaded what they were ordered.
void
WeightRollout::EndUpdates(const ModelName& aModel,
                          const DesiredWeights& aDesired,
                          const std::vector<TargetRecord>& aEngines)
{
  for (const TargetRecord& engine : aEngines) {
    const auto found = this->updates.find(engine.id);
    if (found == this->updates.end() || found->second.model != aModel) {
      continue;
    }
    const std::uint64_t ordered = found->second.ordered;
    const std::uint64_t known = this->KnownVersion(engine, aModel);
    if (known >= aDesired.version || (ordered > 0 && known >= ordered)) {
      this->updates.erase(found);
    }
  }
}

// Keeps since when engines have served nobody, as their weights are too old.
void
WeightRollout::NoteIdle(const ModelName& aModel,
                        const DesiredWeights& aDesired,
                        const std::vector<TargetRecord>& aEngines)
{
  for (const TargetRecord& engine : aEngines) {
    if (VersionOf(engine.models, aModel) == 0) {
      continue;
    }
    if (this->KnownVersion(engine, aModel) < aDesired.least) {
      this->idleSince.try_emplace(engine.id, this->clock.MonotonicNow());
    } else {
      this->idleSince.erase(engine.id);
    }
  }
}

// Returns the engines that lack this version, the oldest weights first: while versions come faster
// than all engines load one, those that were just updated are outdated again.
std::vector<const TargetRecord*>
WeightRollout::Outdated(const ModelName& aModel,
                        std::uint64_t aVersion,
                        const std::vector<TargetRecord>& aEngines) const
{
  std::vector<const TargetRecord*> outdated;
  for (const TargetRecord& engine : aEngines) {
    if (VersionOf(engine.models, aModel) > 0 && this->KnownVersion(engine, aModel) < aVersion) {
      outdated.push_back(&engine);
    }
  }
  std::stable_sort(outdated.begin(), outdated.end(), [&](const auto* aLeft, const auto* aRight) {
    return this->KnownVersion(*aLeft, aModel) < this->KnownVersion(*aRight, aModel);
  });
  return outdated;
}

// Returns whether the engine may be updated beside those that are. aEngines is the number of all
// engines of the model.
bool
WeightRollout::HasPlace(const TargetRecord& aEngine, std::size_t aEngines) const
{
  const bool idle = this->idleSince.contains(aEngine.id);
  const double share = idle ? this->options.maxUpdatingShare : this->options.maxUnavailableShare;
  return this->updates.size() <
         static_cast<std::size_t>(std::ceil(static_cast<double>(aEngines) * share));
}

// Returns whether it is time to start the update. Those of engines that serve are spread.
bool
WeightRollout::MayStart(const TargetRecord& aEngine) const
{
  const MonotonicTime now = this->clock.MonotonicNow();
  const auto retry = this->retryAt.find(aEngine.id);
  const bool failedLately = retry != this->retryAt.end() && now < retry->second;
  return !failedLately && (this->idleSince.contains(aEngine.id) || now >= this->nextStart);
}

RolloutAction
WeightRollout::Start(const ModelName& aModel, const TargetRecord& aEngine, std::size_t aEngines)
{
  const MonotonicTime now = this->clock.MonotonicNow();
  EngineUpdate update;
  update.model = aModel;
  update.startedAt = now;
  const auto idle = this->idleSince.find(aEngine.id);
  if (idle == this->idleSince.end()) {
    const Duration interval = this->options.rolloutDuration / aEngines;
    this->nextStart = std::max(this->nextStart + interval, now - interval);
    update.drainedAt = now + this->options.drain;
  } else {
    update.drainedAt = idle->second + this->options.drain;
  }
  this->updates[aEngine.id] = update;
  return ReadEngine{ aEngine.id, aEngine.incarnation, aEngine.endpoint };
}

// Ends updates that take too long. An engine may be paused without end, and orders may be lost.
void
WeightRollout::GiveUpStuck()
{
  const MonotonicTime now = this->clock.MonotonicNow();
  std::erase_if(this->updates, [&](const auto& aItem) {
    const bool stuck = now - aItem.second.startedAt >= this->options.updateTimeout;
    if (stuck) {
      this->retryAt[aItem.first] = now + this->options.updateTimeout;
    }
    return stuck;
  });
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
    this->retryAt.erase(engine.id);
    this->idleSince.erase(engine.id);
    std::erase_if(this->reported,
                  [&](const auto& aItem) { return aItem.first.first == engine.id; });
  }
  this->incarnations = std::move(listed);
  const auto isRemoved = [this](const TargetId& aTarget) {
    return !this->incarnations.contains(aTarget);
  };
  const auto isItemRemoved = [&](const auto& aItem) { return isRemoved(aItem.first); };
  std::erase_if(this->updates, isItemRemoved);
  std::erase_if(this->retryAt, isItemRemoved);
  std::erase_if(this->idleSince, isItemRemoved);
  std::erase_if(this->reported, [&](const auto& aItem) { return isRemoved(aItem.first.first); });
}

std::optional<RolloutAction>
WeightRollout::Advance(const TargetRecord& aEngine, std::uint64_t aVersion, EngineUpdate& aUpdate)
{
  const MonotonicTime now = this->clock.MonotonicNow();
  switch (aUpdate.stage) {
    case Stage::Reading:
    case Stage::Ordering:
      return std::nullopt;
    case Stage::Read: {
      const bool mustWait = aUpdate.report.busy ||
                            now - aUpdate.orderedAt < this->options.orderTimeout ||
                            now < aUpdate.drainedAt;
      if (!aUpdate.hasReport || mustWait) {
        break;
      }
      aUpdate.stage = Stage::Ordering;
      aUpdate.orderedAt = now;
      aUpdate.ordered = aVersion;
      return OrderWeights{ aEngine.id,       aEngine.incarnation,
                           aEngine.endpoint, aUpdate.model,
                           aVersion,         aUpdate.report.ordersAccepted };
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
