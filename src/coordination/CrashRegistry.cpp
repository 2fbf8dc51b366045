#include "damasklink/coordination/CrashRegistry.h"

#include <algorithm>
#include <tuple>

namespace damasklink {

void
CrashRegistry::Add(const std::vector<CrashReport>& aReports)
{
  for (const CrashReport& report : aReports) {
    this->parts.Add(report);
    // A part that crashes targets explains the crashes of all requests with it.
    const bool explained =
      std::any_of(report.parts.begin(), report.parts.end(), [this](RequestFingerprint aPart) {
        return this->parts.WasFound(aPart);
      });
    if (!explained && report.request != RequestFingerprint() && !this->IsVoid(report)) {
      this->AddRequest(report);
    }
  }
}

void
CrashRegistry::AddRequest(const CrashReport& aReport)
{
  if (!this->entries.contains(aReport.request) && this->entries.size() >= kMaxRequests) {
    this->EvictOne();
  }
  Entry& entry = this->entries[aReport.request];
  entry.workspace = aReport.workspace;
  const bool counts = entry.crashed.size() < kCrashesToRefuse;
  const TargetIncarnation incarnation{ aReport.target, aReport.incarnation };
  if (counts && entry.crashed.emplace(incarnation, aReport.service).second) {
    entry.lastCrash = this->clock.MonotonicNow();
    entry.late = entry.late || aReport.brokenAgo >= kLateReport;
  }
}

// Returns whether the request ran successfully since the crash.
bool
CrashRegistry::IsVoid(const CrashReport& aReport) const
{
  const auto found = this->successfulRuns.find(SuccessfulRun{ aReport.request, aReport.service });
  return found != this->successfulRuns.end() &&
         this->clock.MonotonicNow() - aReport.brokenAgo < found->second;
}

void
CrashRegistry::RememberRun(const SuccessfulRun& aRun)
{
  const MonotonicTime now = this->clock.MonotonicNow();
  if (this->successfulRuns.size() >= kMaxRequests) {
    std::erase_if(this->successfulRuns,
                  [&](const auto& aItem) { return now - aItem.second >= kMaxReportAge; });
  }
  if (this->successfulRuns.size() < kMaxRequests || this->successfulRuns.contains(aRun)) {
    this->successfulRuns[aRun] = now;
  }
}

// Evicts the request with the fewest crashes, and the oldest among these: requests that are sent
// once must not evict those that are repeated.
void
CrashRegistry::EvictOne()
{
  const auto least = std::min_element(
    this->entries.begin(), this->entries.end(), [](const auto& aLeft, const auto& aRight) {
      return std::tuple(aLeft.second.crashed.size(), aLeft.second.lastCrash) <
             std::tuple(aRight.second.crashed.size(), aRight.second.lastCrash);
    });
  this->entries.erase(least);
}

void
CrashRegistry::AddSuccessfulRuns(const std::vector<SuccessfulRun>& aRuns)
{
  for (const SuccessfulRun& run : aRuns) {
    this->parts.AddSuccessfulRun(run);
    this->RememberRun(run);
    const auto found = this->entries.find(run.request);
    if (found != this->entries.end()) {
      std::erase_if(found->second.crashed,
                    [&](const auto& aItem) { return aItem.second == run.service; });
      if (!found->second.crashed.empty()) {
        continue;
      }
      this->entries.erase(found);
    }
    if (this->refused.contains(run.request)) {
      this->cleared.insert(run.request);
    }
  }
}

void
CrashRegistry::SetRefused(const RefusedRequests& aRefused)
{
  for (const auto& [request, facts] : this->refused) {
    if (!aRefused.contains(request)) {
      // Released: the count starts again from zero.
      this->entries.erase(request);
      this->parts.Forget(request);
      this->cleared.erase(request);
    }
  }
  this->refused = aRefused;
}

bool
CrashRegistry::ShouldRefuse(const Entry& aEntry) const
{
  const Duration settleTime = aEntry.late ? kLateSettleTime : kSettleTime;
  return aEntry.crashed.size() >= kCrashesToRefuse &&
         this->clock.MonotonicNow() - aEntry.lastCrash >= settleTime;
}

CrashingRequests
CrashRegistry::Verdicts() const
{
  CrashingRequests verdicts;
  for (const auto& [request, facts] : this->refused) {
    if (!this->cleared.contains(request)) {
      verdicts.refused.insert(request);
    }
  }
  for (const auto& [request, entry] : this->entries) {
    if (this->ShouldRefuse(entry)) {
      verdicts.refused.insert(request);
    }
  }
  this->AddSuspects(verdicts);
  verdicts.refused.merge(this->parts.Crashing());
  for (const RequestFingerprint part : this->parts.Suspects(kMaxSuspectParts)) {
    verdicts.suspected.insert(part);
  }
  return verdicts;
}

// Those with more crashes come first, in case there are too many.
void
CrashRegistry::AddSuspects(CrashingRequests& aVerdicts) const
{
  for (std::size_t crashes = kCrashesToRefuse; crashes > 0; --crashes) {
    for (const auto& [request, entry] : this->entries) {
      const bool suspected = entry.late || crashes >= kCrashesToSuspect;
      if (entry.crashed.size() == crashes && suspected && !this->ShouldRefuse(entry) &&
          aVerdicts.suspected.size() < kMaxSuspects) {
        aVerdicts.suspected.insert(request);
      }
    }
  }
}

std::vector<RefuseRequest>
CrashRegistry::ToRefuse() const
{
  std::vector<RefuseRequest> requests;
  for (const auto& [request, entry] : this->entries) {
    if (this->ShouldRefuse(entry) && !this->refused.contains(request)) {
      requests.push_back(RefuseRequest{ request, { entry.workspace, this->clock.WallNow() } });
    }
  }
  for (const RequestFingerprint part : this->parts.Crashing()) {
    if (!this->refused.contains(part)) {
      requests.push_back(
        RefuseRequest{ part, { this->parts.WorkspaceOf(part), this->clock.WallNow() } });
    }
  }
  return requests;
}

std::vector<ReleaseRequest>
CrashRegistry::ToRelease() const
{
  std::vector<ReleaseRequest> requests;
  for (const auto& [request, facts] : this->refused) {
    const bool over = this->clock.WallNow() - facts.since >= kRefusalPeriod;
    const bool explained = !this->parts.WasFound(request) && this->parts.IsExplained(request);
    if (over || explained || this->cleared.contains(request)) {
      requests.push_back(ReleaseRequest{ request });
    }
  }
  return requests;
}

std::vector<CrashReport>
CrashRegistry::All() const
{
  std::vector<CrashReport> reports = this->parts.All();
  for (const auto& [request, entry] : this->entries) {
    for (const auto& [incarnation, service] : entry.crashed) {
      reports.push_back(
        CrashReport{ request, entry.workspace, service, incarnation.first, incarnation.second });
    }
  }
  return reports;
}

} // namespace damasklink
