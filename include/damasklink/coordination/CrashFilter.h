// Filters out requests that crash targets, as a whole or by a part of their prompts; used on entry
// hosts.
//
//   CrashFilter filter(clock);
//   if (filter.IsActive() && filter.IsRefused(fingerprint)) { ... }
//   filter.OnCrash(report);                  // A target crashed while it ran a request.
//   filter.OnSuccessfulRun(run);             // A request ran without a crash.
//   filter.SetVerdicts(host, verdicts);      // Control hosts decide what is refused.
//
// While nothing crashes, IsActive() is false and requests need no fingerprints. Not thread-safe.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "damasklink/coordination/ServingMessages.h"
#include "damasklink/state/Clock.h"

namespace damasklink {

class CrashFilter
{
public:
  // Reports are sent again to each new hub for this long, in case the previous hub failed before it
  // passed them on.
  static constexpr Duration kReportLifetime = std::chrono::seconds(10);
  static constexpr std::size_t kMaxReports = 1024;

  explicit CrashFilter(const Clock& aClock)
    : clock(aClock)
  {
  }

  // Returns whether this host knows of a request that has recently crashed a target.
  bool IsActive() const { return !this->reports.empty() || !this->watched.empty(); }

  bool IsRefused(RequestFingerprint aRequest) const { return this->refused.contains(aRequest); }

  // A target crashed while it ran a request.
  void OnCrash(CrashReport aReport);
  // A request ran without a crash. This clears its reports of the same service.
  void OnSuccessfulRun(const SuccessfulRun& aRun);
  // A request with this part of a prompt ran without a crash.
  void OnSuccessfulPart(const SuccessfulRun& aRun);

  // Replaces the verdicts of a control host.
  void SetVerdicts(const HostId& aFrom, const CrashingRequests& aVerdicts);

  // The connection to a control host is lost. Its verdicts are dropped if another control host is
  // connected; otherwise they apply until the next SetVerdicts().
  void OnLost(const HostId& aHost);

  // Makes the next TakeReports() return all reports up to kReportLifetime old, for a new hub.
  void ResendAll();

  // Return the reports and successful runs to send to the hub, each once.
  std::vector<CrashReport> TakeReports();
  std::vector<SuccessfulRun> TakeSuccessfulRuns();

private:
  struct Verdicts
  {
    CrashingRequests requests;
    bool connected = true;
  };

  struct PendingReport
  {
    CrashReport report;
    MonotonicTime reportedAt;
    bool sent = false;
  };

  void MergeVerdicts();

  const Clock& clock;
  std::map<HostId, Verdicts> verdicts;
  // Union of the verdicts of all control hosts. `watched` contains refused and suspected requests.
  std::set<RequestFingerprint> refused;
  std::set<RequestFingerprint> watched;
  // Oldest first.
  std::vector<PendingReport> reports;
  std::set<SuccessfulRun> successfulRuns;
};

} // namespace damasklink
