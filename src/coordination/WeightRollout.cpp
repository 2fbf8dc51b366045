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
                    const std::map<ModelName, std::uint64_t>& aWished,
                    const std::vector<TargetRecord>& aEngines)
{
  std::vector<RolloutAction> actions;
  const MonotonicTime now = this->clock.MonotonicNow();
  if (!aLeaseHeld) {
    this->leading = false;
    this->works.clear();
    return actions;
  }
  if (!this->leading) {
    this->leading = true;
    this->ledSince = now;
  }
  if (!this->MayOrder()) {
    return actions;
  }
  if (!this->AreUnchanged(aEngines)) {
    this->UpdateEngines(aEngines);
  }
  for (const auto& [model, version] : aWished) {
    std::size_t serving = 0;
    std::vector<const TargetRecord*> behind;
    for (const TargetRecord& engine : aEngines) {
      const std::uint64_t told = VersionOf(engine.models, model);
      serving += told > 0 ? 1 : 0;
      const bool saysOlder = told > 0 && told < version;
      if (saysOlder && this->ReportedVersion(engine.id, model) < version) {
        behind.push_back(&engine);
      } else if (const auto done = this->works.find(engine.id);
                 done != this->works.end() && done->second.model == model) {
        this->works.erase(done);
      }
    }
    const auto atOnce = static_cast<std::size_t>(
      std::ceil(static_cast<double>(serving) * this->options.maxUnavailableShare));
    for (const TargetRecord* engine : behind) {
      const bool open = this->works.contains(engine->id);
      if (!open && (this->works.size() >= atOnce || now < this->nextStart)) {
        continue;
      }
      if (!open) {
        this->nextStart = std::max(this->nextStart + this->options.spread / serving,
                                   now - this->options.spread / serving);
      }
      Work& work = this->works[engine->id];
      if (!open || work.version != version) {
        work.model = model;
        work.version = version;
      }
      if (!open) {
        work.begunAt = now;
        actions.push_back(ReadEngine{ engine->id, engine->endpoint });
      } else if (auto action = this->Advance(*engine, work)) {
        actions.push_back(std::move(*action));
      }
    }
  }
  return actions;
}

// Returns whether these are the engines of the last call, of the same starts; it is asked several
// times a second among thousands, so nothing is copied.
bool
WeightRollout::AreUnchanged(const std::vector<TargetRecord>& aEngines) const
{
  return std::equal(this->starts.begin(),
                    this->starts.end(),
                    aEngines.begin(),
                    aEngines.end(),
                    [](const auto& aStart, const TargetRecord& aEngine) {
                      return aStart.first == aEngine.id && aStart.second == aEngine.incarnation;
                    });
}

// An engine that has started again has taken no orders yet, and what it had reported may not hold.
// Nothing is remembered of one that is not among these.
void
WeightRollout::UpdateEngines(const std::vector<TargetRecord>& aEngines)
{
  std::map<TargetId, Incarnation> listed;
  for (const TargetRecord& engine : aEngines) {
    listed[engine.id] = engine.incarnation;
    const auto known = this->starts.find(engine.id);
    if (known == this->starts.end() || known->second == engine.incarnation) {
      continue;
    }
    this->works.erase(engine.id);
    std::erase_if(this->reported,
                  [&](const auto& aItem) { return aItem.first.first == engine.id; });
  }
  this->starts = std::move(listed);
  const auto isGone = [this](const TargetId& aTarget) { return !this->starts.contains(aTarget); };
  std::erase_if(this->works, [&](const auto& aItem) { return isGone(aItem.first); });
  std::erase_if(this->reported, [&](const auto& aItem) { return isGone(aItem.first.first); });
}

std::optional<RolloutAction>
WeightRollout::Advance(const TargetRecord& aEngine, Work& aWork)
{
  const MonotonicTime now = this->clock.MonotonicNow();
  switch (aWork.stage) {
    case Stage::Reading:
    case Stage::Ordering:
      return std::nullopt;
    case Stage::Read: {
      const bool waits = aWork.report.busy || now - aWork.orderedAt < this->options.orderTimeout ||
                         now - aWork.begunAt < this->options.drain;
      if (!aWork.known || waits) {
        break;
      }
      aWork.stage = Stage::Ordering;
      aWork.orderedAt = now;
      return OrderWeights{
        aEngine.id, aEngine.endpoint, aWork.model, aWork.version, aWork.report.ordersAccepted
      };
    }
    case Stage::Ordered:
      break;
  }
  if (now < aWork.nextRead) {
    return std::nullopt;
  }
  aWork.stage = Stage::Reading;
  aWork.nextRead = now + this->options.reportInterval;
  return ReadEngine{ aEngine.id, aEngine.endpoint };
}

void
WeightRollout::OnReport(const TargetId& aTarget, const std::optional<EngineReport>& aReport)
{
  const auto found = this->works.find(aTarget);
  if (found == this->works.end()) {
    return;
  }
  Work& work = found->second;
  work.stage = Stage::Read;
  const bool ofEarlierStart = aReport && aReport->incarnation < this->starts[aTarget];
  if (ofEarlierStart && aReport->incarnation > Incarnation()) {
    work.known = false;
    return;
  }
  work.nextRead = this->clock.MonotonicNow() + this->options.reportInterval;
  work.known = aReport.has_value();
  if (aReport) {
    work.report = *aReport;
    for (const ServedModel& served : aReport->models) {
      this->reported[{ aTarget, served.model }] = VersionOf(aReport->models, served.model);
    }
  }
}

void
WeightRollout::OnOrdered(const TargetId& aTarget)
{
  const auto found = this->works.find(aTarget);
  if (found != this->works.end() && found->second.stage == Stage::Ordering) {
    found->second.stage = Stage::Ordered;
    found->second.nextRead = this->clock.MonotonicNow() + this->options.reportInterval;
  }
}

std::set<TargetId>
WeightRollout::Paused() const
{
  std::set<TargetId> paused;
  for (const auto& [target, work] : this->works) {
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

bool
WeightRollout::MayOrder() const
{
  return this->leading && this->clock.MonotonicNow() - this->ledSince >= this->options.orderLease;
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
