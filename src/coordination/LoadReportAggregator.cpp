#include "damasklink/coordination/LoadReportAggregator.h"

#include <utility>

namespace damasklink {

void
LoadReportAggregator::PendingUpdate::Add(const LoadReport& aReport)
{
  for (const InFlightLoad& entry : aReport.sends) {
    std::vector<SizedPart>& parts = this->sends[entry.target];
    parts.insert(parts.end(), entry.parts.begin(), entry.parts.end());
  }
  for (const StoreFetchDelay& entry : aReport.excesses) {
    StoreFetchDelay& excess = this->excesses[entry.store];
    excess.store = entry.store;
    excess.count += entry.count;
    excess.total += entry.total;
  }
  for (const TargetReachabilityReport& entry : aReport.findings) {
    TargetReachabilityReport& finding = this->findings[entry.target];
    finding.target = entry.target;
    finding.gone += entry.gone;
    finding.back += entry.back;
  }
  for (const BrittleService& entry : aReport.brittle) {
    BrittleService& brittle = this->brittle[entry.service];
    const Duration known = brittle.runTime;
    brittle = entry;
    if (entry.runTime == Duration::zero()) {
      brittle.runTime = known;
    }
  }
}

void
LoadReportAggregator::PendingUpdate::MoveObservations(LoadReport& aTo)
{
  for (auto& [store, excess] : std::exchange(this->excesses, {})) {
    aTo.excesses.push_back(std::move(excess));
  }
  for (const auto& [target, finding] : std::exchange(this->findings, {})) {
    aTo.findings.push_back(finding);
  }
  for (const auto& [service, brittle] : std::exchange(this->brittle, {})) {
    aTo.brittle.push_back(brittle);
  }
}

void
LoadReportAggregator::Update(const LoadReport& aReport, MonotonicTime aNow)
{
  if (aReport.last) {
    this->Remove(aReport.host);
    return;
  }
  this->publishers.insert(aReport.host);
  this->sum.Update(aReport, aNow);
  this->changes.Add(aReport);
  this->totals.Add(aReport);
}

void
LoadReportAggregator::UpdatePeerSum(const LoadReport& aReport, MonotonicTime aNow)
{
  this->peerSums.Update(aReport, aNow);
  this->totals.Add(aReport);
}

void
LoadReportAggregator::Remove(const HostId& aHost)
{
  if (this->publishers.erase(aHost) == 0) {
    return;
  }
  const std::vector<TargetId> targets = this->sum.Remove(aHost);
  for (const TargetId& target : targets) {
    this->changes.sends.try_emplace(target);
  }
  this->MarkTotalsChanged(targets);
}

void
LoadReportAggregator::RemovePeersSilentSince(MonotonicTime aTime)
{
  this->MarkTotalsChanged(this->peerSums.RemoveSilentSince(aTime));
}

void
LoadReportAggregator::MarkTotalsChanged(const std::vector<TargetId>& aTargets)
{
  for (const TargetId& target : aTargets) {
    this->totals.sends.try_emplace(target);
  }
}

LoadCounts
LoadReportAggregator::TotalOf(const TargetId& aTarget) const
{
  LoadCounts total = this->sum.Of(aTarget);
  total += this->peerSums.Of(aTarget);
  return total;
}

namespace {

// Moves the pending changes into a report from aSelf; aLoadOf returns the current load of a target.
template<typename PendingUpdate, typename LoadOf>
LoadReport
DrainPending(PendingUpdate& aPending, const HostId& aSelf, LoadOf aLoadOf)
{
  LoadReport report;
  report.host = aSelf;
  for (auto& [target, parts] : std::exchange(aPending.sends, {})) {
    report.sends.push_back(ToInFlightLoad(target, aLoadOf(target), std::move(parts)));
  }
  aPending.MoveObservations(report);
  return report;
}

} // namespace

LoadReport
LoadReportAggregator::TakeChanges(const HostId& aSelf)
{
  return DrainPending(
    this->changes, aSelf, [this](const TargetId& aTarget) { return this->sum.Of(aTarget); });
}

LoadReport
LoadReportAggregator::TakeTotals(const HostId& aSelf)
{
  return DrainPending(
    this->totals, aSelf, [this](const TargetId& aTarget) { return this->TotalOf(aTarget); });
}

LoadReport
LoadReportAggregator::AllTotals(const HostId& aSelf) const
{
  std::set<TargetId> targets;
  this->sum.AddTargets(targets);
  this->peerSums.AddTargets(targets);
  LoadReport report;
  report.host = aSelf;
  for (const TargetId& target : targets) {
    report.sends.push_back(ToInFlightLoad(target, this->TotalOf(target), {}));
  }
  return report;
}

} // namespace damasklink
