#include "damasklink/coordination/LoadReportAggregator.h"

#include <utility>

namespace damasklink {

void
LoadReportAggregator::PendingUpdate::Add(const SendsNews& aNews)
{
  for (const TargetSendsNow& told : aNews.sends) {
    std::vector<SizedPart>& parts = this->sends[told.target];
    parts.insert(parts.end(), told.parts.begin(), told.parts.end());
  }
  for (const StoreExcess& told : aNews.excesses) {
    StoreExcess& excess = this->excesses[told.store];
    excess.store = told.store;
    excess.count += told.count;
    excess.total += told.total;
  }
  for (const TargetFindings& told : aNews.findings) {
    TargetFindings& found = this->findings[told.target];
    found.target = told.target;
    found.gone += told.gone;
    found.back += told.back;
  }
}

void
LoadReportAggregator::PendingUpdate::MoveExcessesAndFindings(SendsNews& aTo)
{
  for (auto& [store, excess] : std::exchange(this->excesses, {})) {
    aTo.excesses.push_back(std::move(excess));
  }
  for (const auto& [target, found] : std::exchange(this->findings, {})) {
    aTo.findings.push_back(found);
  }
}

void
LoadReportAggregator::Take(const SendsNews& aNews, MonotonicTime aNow)
{
  if (aNews.last) {
    this->Forget(aNews.host);
    return;
  }
  this->publishers.insert(aNews.host);
  this->sum.Take(aNews, aNow);
  this->changes.Add(aNews);
  this->totals.Add(aNews);
}

void
LoadReportAggregator::TakePeerSum(const SendsNews& aNews, MonotonicTime aNow)
{
  this->peerSums.Take(aNews, aNow);
  this->totals.Add(aNews);
}

void
LoadReportAggregator::Forget(const HostId& aHost)
{
  if (this->publishers.erase(aHost) == 0) {
    return;
  }
  const std::vector<TargetId> targets = this->sum.Forget(aHost);
  for (const TargetId& target : targets) {
    this->changes.sends.try_emplace(target);
  }
  this->MarkTotals(targets);
}

void
LoadReportAggregator::RemovePeersSilentSince(MonotonicTime aTime)
{
  this->MarkTotals(this->peerSums.ForgetBefore(aTime));
}

void
LoadReportAggregator::MarkTotals(const std::vector<TargetId>& aTargets)
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

// Moves what was not told yet into news in the name of aSelf; aLoadOf gives a target's figures now.
template<typename PendingUpdate, typename LoadOf>
SendsNews
TellAll(PendingUpdate& aUntold, const HostId& aSelf, LoadOf aLoadOf)
{
  SendsNews news;
  news.host = aSelf;
  for (auto& [target, parts] : std::exchange(aUntold.sends, {})) {
    news.sends.push_back(ToInFlightLoad(target, aLoadOf(target), std::move(parts)));
  }
  aUntold.MoveExcessesAndFindings(news);
  return news;
}

} // namespace

SendsNews
LoadReportAggregator::TakeChanges(const HostId& aSelf)
{
  return TellAll(
    this->changes, aSelf, [this](const TargetId& aTarget) { return this->sum.Of(aTarget); });
}

SendsNews
LoadReportAggregator::TakeTotals(const HostId& aSelf)
{
  return TellAll(
    this->totals, aSelf, [this](const TargetId& aTarget) { return this->TotalOf(aTarget); });
}

SendsNews
LoadReportAggregator::AllTotals(const HostId& aSelf) const
{
  std::set<TargetId> targets;
  this->sum.AddTargets(targets);
  this->peerSums.AddTargets(targets);
  SendsNews news;
  news.host = aSelf;
  for (const TargetId& target : targets) {
    news.sends.push_back(ToInFlightLoad(target, this->TotalOf(target), {}));
  }
  return news;
}

} // namespace damasklink
