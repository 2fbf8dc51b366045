#include "damasklink/coordination/SendsHub.h"

#include <utility>

namespace damasklink {

void
SendsHub::Take(const SendsNews& aNews, MonotonicTime aNow)
{
  if (aNews.last) {
    this->Forget(aNews.host);
    return;
  }
  this->tellers.insert(aNews.host);
  this->sum.Take(aNews, aNow);
  for (const TargetSendsNow& sends : aNews.sends) {
    std::vector<SizedPart>& parts = this->untold[sends.target];
    parts.insert(parts.end(), sends.parts.begin(), sends.parts.end());
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
SendsHub::Forget(const HostId& aHost)
{
  if (this->tellers.erase(aHost) == 0) {
    return;
  }
  for (const TargetId& target : this->sum.Forget(aHost)) {
    this->untold.try_emplace(target);
  }
}

SendsNews
SendsHub::TakeChanges(const HostId& aSelf)
{
  SendsNews news;
  news.host = aSelf;
  for (auto& [target, parts] : std::exchange(this->untold, {})) {
    news.sends.push_back(StateSends(target, this->sum.Of(target), std::move(parts)));
  }
  for (auto& [store, excess] : std::exchange(this->excesses, {})) {
    news.excesses.push_back(std::move(excess));
  }
  for (const auto& [target, found] : std::exchange(this->findings, {})) {
    news.findings.push_back(found);
  }
  return news;
}

} // namespace damasklink
