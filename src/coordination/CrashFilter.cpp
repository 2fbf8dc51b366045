#include "damasklink/coordination/CrashFilter.h"

#include <algorithm>
#include <utility>

namespace damasklink {

void
CrashFilter::OnCrash(CrashReport aReport)
{
  if (this->reports.size() >= kMaxReports) {
    this->reports.erase(this->reports.begin());
  }
  this->reports.push_back(PendingReport{ std::move(aReport), this->clock.MonotonicNow(), false });
}

void
CrashFilter::OnSuccessfulRun(const SuccessfulRun& aRun)
{
  const auto isSameRequest = [&](const PendingReport& aPending) {
    return aPending.report.request == aRun.request && aPending.report.service == aRun.service;
  };
  const bool wasReported = std::erase_if(this->reports, isSameRequest) > 0;
  if (wasReported || this->watched.contains(aRun.request)) {
    this->successfulRuns.insert(aRun);
  }
}

void
CrashFilter::OnSuccessfulPart(const SuccessfulRun& aRun)
{
  const auto hasPart = [&](const PendingReport& aPending) {
    const std::vector<RequestFingerprint>& parts = aPending.report.parts;
    return aPending.report.service == aRun.service &&
           std::find(parts.begin(), parts.end(), aRun.request) != parts.end();
  };
  if (this->watched.contains(aRun.request) ||
      std::any_of(this->reports.begin(), this->reports.end(), hasPart)) {
    this->successfulRuns.insert(aRun);
  }
}

void
CrashFilter::SetVerdicts(const HostId& aFrom, const CrashingRequests& aVerdicts)
{
  std::erase_if(this->verdicts, [](const auto& aItem) { return !aItem.second.connected; });
  this->verdicts[aFrom] = Verdicts{ aVerdicts, true };
  this->MergeVerdicts();
}

void
CrashFilter::OnLost(const HostId& aHost)
{
  const auto found = this->verdicts.find(aHost);
  if (found == this->verdicts.end()) {
    return;
  }
  found->second.connected = false;
  const bool othersConnected =
    std::any_of(this->verdicts.begin(), this->verdicts.end(), [](const auto& aItem) {
      return aItem.second.connected;
    });
  if (othersConnected) {
    this->verdicts.erase(found);
    this->MergeVerdicts();
  }
}

void
CrashFilter::MergeVerdicts()
{
  this->refused.clear();
  this->watched.clear();
  for (const auto& [host, hostVerdicts] : this->verdicts) {
    this->refused.insert(hostVerdicts.requests.refused.begin(),
                         hostVerdicts.requests.refused.end());
    this->watched.insert(hostVerdicts.requests.suspected.begin(),
                         hostVerdicts.requests.suspected.end());
  }
  this->watched.insert(this->refused.begin(), this->refused.end());
}

void
CrashFilter::ResendAll()
{
  for (PendingReport& pending : this->reports) {
    pending.sent = false;
  }
}

std::vector<CrashReport>
CrashFilter::TakeReports()
{
  const MonotonicTime now = this->clock.MonotonicNow();
  std::erase_if(this->reports, [&](const PendingReport& aPending) {
    return now - aPending.reportedAt >= kReportLifetime;
  });
  std::vector<CrashReport> unsent;
  for (PendingReport& pending : this->reports) {
    if (!std::exchange(pending.sent, true)) {
      unsent.push_back(pending.report.Aged(now - pending.reportedAt));
    }
  }
  return unsent;
}

std::vector<SuccessfulRun>
CrashFilter::TakeSuccessfulRuns()
{
  const std::set<SuccessfulRun> taken = std::exchange(this->successfulRuns, {});
  return std::vector<SuccessfulRun>(taken.begin(), taken.end());
}

} // namespace damasklink
