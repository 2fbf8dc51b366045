#include "damasklink/coordination/SendsHub.h"

#include <utility>

namespace damasklink {

void
SendsHub::Untold::Add(const LoadReport& aNews)
{
  for (const InFlightLoad& told : aNews.sends) {
    std::vector<SizedPart>& parts = this->sends[told.target];
    parts.insert(parts.end(), told.parts.begin(), told.parts.end());
  }
  for (const StoreFetchDelay& told : aNews.excesses) {
    StoreFetchDelay& excess = this->excesses[told.store];
    excess.store = told.store;
    excess.count += told.count;
    excess.total += told.total;
  }
  for (const TargetReachabilityReport& told : aNews.findings) {
    TargetReachabilityReport& found = this->findings[told.target];
    found.target = told.target;
    found.gone += told.gone;
    found.back += told.back;
  }
}

void
SendsHub::Untold::MoveFindings(LoadReport& aTo)
{
  for (auto& [store, excess] : std::exchange(this->excesses, {})) {
    aTo.excesses.push_back(std::move(excess));
  }
  for (const auto& [target, found] : std::exchange(this->findings, {})) {
    aTo.findings.push_back(found);
  }
}

void
SendsHub::Take(const LoadReport& aNews, MonotonicTime aNow)
{
  if (aNews.last) {
    this->Forget(aNews.host);
    return;
  }
  this->tellers.insert(aNews.host);
  this->sum.Take(aNews, aNow);
  this->changes.Add(aNews);
  this->totals.Add(aNews);
}

void
SendsHub::TakeSum(const LoadReport& aNews, MonotonicTime aNow)
{
  this->sumsOfOthers.Take(aNews, aNow);
  this->totals.Add(aNews);
}

void
SendsHub::Forget(const HostId& aHost)
{
  if (this->tellers.erase(aHost) == 0) {
    return;
  }
  const std::vector<TargetId> targets = this->sum.Forget(aHost);
  for (const TargetId& target : targets) {
    this->changes.sends.try_emplace(target);
  }
  this->MarkTotals(targets);
}

void
SendsHub::ForgetSumsBefore(MonotonicTime aTime)
{
  this->MarkTotals(this->sumsOfOthers.ForgetBefore(aTime));
}

void
SendsHub::MarkTotals(const std::vector<TargetId>& aTargets)
{
  for (const TargetId& target : aTargets) {
    this->totals.sends.try_emplace(target);
  }
}

SentLoad
SendsHub::TotalOf(const TargetId& aTarget) const
{
  SentLoad total = this->sum.Of(aTarget);
  total += this->sumsOfOthers.Of(aTarget);
  return total;
}

namespace {

// Moves what was not told yet into news in the name of aSelf; aLoadOf gives a target's figures now.
template<typename Untold, typename LoadOf>
LoadReport
TellAll(Untold& aUntold, const HostId& aSelf, LoadOf aLoadOf)
{
  LoadReport news;
  news.host = aSelf;
  for (auto& [target, parts] : std::exchange(aUntold.sends, {})) {
    news.sends.push_back(StateSends(target, aLoadOf(target), std::move(parts)));
  }
  aUntold.MoveFindings(news);
  return news;
}

} // namespace

LoadReport
SendsHub::TakeChanges(const HostId& aSelf)
{
  return TellAll(
    this->changes, aSelf, [this](const TargetId& aTarget) { return this->sum.Of(aTarget); });
}

LoadReport
SendsHub::TakeTotals(const HostId& aSelf)
{
  return TellAll(
    this->totals, aSelf, [this](const TargetId& aTarget) { return this->TotalOf(aTarget); });
}

LoadReport
SendsHub::AllTotals(const HostId& aSelf) const
{
  std::set<TargetId> targets;
  this->sum.AddTargets(targets);
  this->sumsOfOthers.AddTargets(targets);
  LoadReport news;
  news.host = aSelf;
  for (const TargetId& target : targets) {
    news.sends.push_back(StateSends(target, this->TotalOf(target), {}));
  }
  return news;
}

} // namespace damasklink
