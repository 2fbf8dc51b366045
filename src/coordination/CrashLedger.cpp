#include "damasklink/coordination/CrashLedger.h"

#include <algorithm>
#include <tuple>

namespace damasklink {

void
CrashLedger::Take(const std::vector<CrashReport>& aReports)
{
  for (const CrashReport& report : aReports) {
    if (!this->entries.contains(report.request) && this->entries.size() >= kMostRequests) {
      this->MakeRoom();
    }
    Entry& entry = this->entries[report.request];
    entry.workspace = report.workspace;
    const bool counts = entry.ended.size() < kCrashesToRefuse;
    const TargetStart start{ report.target, report.incarnation };
    if (counts && entry.ended.emplace(start, report.service).second) {
      entry.lastCrash = this->clock.MonotonicNow();
    }
  }
}

// Forgets the request with the fewest crashes, the oldest of these: one that is sent once only must
// not push out those that come again.
void
CrashLedger::MakeRoom()
{
  const auto least = std::min_element(
    this->entries.begin(), this->entries.end(), [](const auto& aLeft, const auto& aRight) {
      return std::tuple(aLeft.second.ended.size(), aLeft.second.lastCrash) <
             std::tuple(aRight.second.ended.size(), aRight.second.lastCrash);
    });
  this->entries.erase(least);
}

void
CrashLedger::TakeSound(const std::vector<SuccessfulRun>& aRuns)
{
  for (const SuccessfulRun& run : aRuns) {
    const auto found = this->entries.find(run.request);
    if (found != this->entries.end()) {
      std::erase_if(found->second.ended,
                    [&](const auto& aItem) { return aItem.second == run.service; });
      if (!found->second.ended.empty()) {
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
CrashLedger::SetRefused(const RefusedRequests& aRefused)
{
  for (const auto& [request, facts] : this->refused) {
    if (!aRefused.contains(request)) {
      // Released: it has to crash as many targets again.
      this->entries.erase(request);
      this->cleared.erase(request);
    }
  }
  this->refused = aRefused;
}

bool
CrashLedger::IsConvicted(const Entry& aEntry) const
{
  return aEntry.ended.size() >= kCrashesToRefuse &&
         this->clock.MonotonicNow() - aEntry.lastCrash >= kSettling;
}

CrashingRequests
CrashLedger::Told() const
{
  CrashingRequests told;
  for (const auto& [request, facts] : this->refused) {
    if (!this->cleared.contains(request)) {
      told.refused.insert(request);
    }
  }
  for (const auto& [request, entry] : this->entries) {
    if (this->IsConvicted(entry)) {
      told.refused.insert(request);
    } else if (entry.ended.size() >= kCrashesToSuspect && told.suspected.size() < kMostSuspects) {
      told.suspected.insert(request);
    }
  }
  return told;
}

std::vector<RefuseRequest>
CrashLedger::ToRefuse() const
{
  std::vector<RefuseRequest> requests;
  for (const auto& [request, entry] : this->entries) {
    if (this->IsConvicted(entry) && !this->refused.contains(request)) {
      requests.push_back(RefuseRequest{ request, { entry.workspace, this->clock.WallNow() } });
    }
  }
  return requests;
}

std::vector<ReleaseRequest>
CrashLedger::ToRelease() const
{
  std::vector<ReleaseRequest> requests;
  for (const auto& [request, facts] : this->refused) {
    const bool over = this->clock.WallNow() - facts.since >= kRefusedFor;
    if (over || this->cleared.contains(request)) {
      requests.push_back(ReleaseRequest{ request });
    }
  }
  return requests;
}

std::vector<CrashReport>
CrashLedger::All() const
{
  std::vector<CrashReport> reports;
  for (const auto& [request, entry] : this->entries) {
    for (const auto& [start, service] : entry.ended) {
      reports.push_back(
        CrashReport{ request, entry.workspace, service, start.first, start.second });
    }
  }
  return reports;
}

} // namespace damasklink
