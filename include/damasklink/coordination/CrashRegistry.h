// Detects requests, and parts of prompts, that crash the targets that run them; used on control
// hosts.
//
//   CrashRegistry registry(clock);
//   registry.Add(reports);                   // From entry hosts and other control hosts.
//   registry.AddSuccessfulRuns(runs);        // Requests that ran without a crash.
//   registry.SetRefused(machine.Refused());  // From the replicated log.
//   registry.Verdicts();                     // For entry hosts.
//
// All requests that run on a target when it crashes are suspects, and at most one of them is the
// cause: the one that crashes each target that runs it and never succeeds. So the registry counts,
// for each request, the target incarnations that crashed while they ran it. A successful run resets
// the count for the same service, and after three crashes the request is refused. Reports are a set
// of (request, target incarnation): they may arrive late, twice and from several hosts.
//
// Requests that are all different may have a part of their prompts in common that crashes targets
// (CrashingPartFinder). It is refused by its fingerprint like a request. Not thread-safe.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "damasklink/coordination/CrashingPartFinder.h"
#include "damasklink/coordination/ServingMessages.h"
#include "damasklink/coordination/ServingStateMachine.h"
#include "damasklink/state/Clock.h"

namespace damasklink {

class CrashRegistry
{
public:
  static constexpr std::size_t kCrashesToRefuse = 3;
  // From this number of crashes on, entry hosts report successful runs of the request.
  static constexpr std::size_t kCrashesToSuspect = 2;
  // Time from the last crash until a request is refused. When several targets crash at once, a
  // request that many callers send was running on all of them, and the reports of its successful
  // runs arrive later.
  static constexpr Duration kSettleTime = std::chrono::milliseconds(500);
  // An entry takes about 200 bytes.
  static constexpr std::size_t kMaxRequests = 4096;
  static constexpr std::size_t kMaxSuspects = 256;
  static constexpr std::size_t kMaxSuspectParts = 256;
  // A refused request is allowed again after this time, in case the fault in the target is fixed.
  static constexpr Duration kRefusalPeriod = std::chrono::hours(24);

  explicit CrashRegistry(const Clock& aClock)
    : clock(aClock)
    , parts(aClock)
  {
  }

  void Add(const std::vector<CrashReport>& aReports);
  // Removes the crashes at the service of each run, and marks refused requests for release.
  void AddSuccessfulRuns(const std::vector<SuccessfulRun>& aRuns);
  // Sets the requests that the replicated log refuses. Those that are missing now were released and
  // are counted from zero again.
  void SetRefused(const RefusedRequests& aRefused);

  // Returns the refused and suspected requests for entry hosts. Requests that only this host finds
  // to crash targets are included as refused, so targets are protected while the group has no
  // leader.
  CrashingRequests Verdicts() const;

  // Return the commands to propose to the replicated log: requests to refuse, and requests to
  // release because they ran successfully or kRefusalPeriod has passed.
  std::vector<RefuseRequest> ToRefuse() const;
  std::vector<ReleaseRequest> ToRelease() const;

  // Returns all reports that count, for a control host that has just connected.
  std::vector<CrashReport> All() const;

  // Returns whether the fingerprint is that of a part.
  bool IsPart(RequestFingerprint aFingerprint) const { return this->parts.WasFound(aFingerprint); }

private:
  using TargetIncarnation = std::pair<TargetId, Incarnation>;

  struct Entry
  {
    WorkspaceId workspace;
    // Crashed target incarnations, at most kCrashesToRefuse, with the service of the request.
    std::map<TargetIncarnation, ServiceName> crashed;
    // When the last of them was reported.
    MonotonicTime lastCrash;
  };

  bool ShouldRefuse(const Entry& aEntry) const;
  void EvictOne();

  const Clock& clock;
  std::map<RequestFingerprint, Entry> entries;
  RefusedRequests refused;
  // Refused requests that have since run successfully.
  std::set<RequestFingerprint> cleared;
  CrashingPartFinder parts;
};

} // namespace damasklink
