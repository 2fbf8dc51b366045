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
    if (explained || report.request == RequestFingerprint()) {
      continue;
    }
    if (!this->entries.contains(report.request) && this->entries.size() >= kMaxRequests) {
      this->EvictOne();
    }
    Entry& entry = this->entries[report.request];
    entry.workspace = report.workspace;
    const bool counts = entry.crashed.size() < kCrashesToRefuse;
    const TargetIncarnation incarnation{ report.target, report.incarnation };
    if (counts && entry.crashed.emplace(incarnation, report.service).second) {
      entry.lastCrash = this->clock.MonotonicNow();
    }
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
  return aEntry.crashed.size() >= kCrashesToRefuse &&
         this->clock.MonotonicNow() - aEntry.lastCrash >= kSettleTime;
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
    } else if (entry.crashed.size() >= kCrashesToSuspect &&
               verdicts.suspected.size() < kMaxSuspects) {
      verdicts.suspected.insert(request);
    }
  }
  verdicts.refused.merge(this->parts.Crashing());
  for (const RequestFingerprint part : this->parts.Suspects(kMaxSuspectParts)) {
    verdicts.suspected.insert(part);
  }
  return verdicts;
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
