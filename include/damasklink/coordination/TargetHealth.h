// Outlier ejection: excludes targets that keep failing for a while.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <vector>

#include "damasklink/coordination/ServingMessages.h"
#include "damasklink/coordination/Target.h"
#include "damasklink/state/Clock.h"

namespace damasklink {

// What the end of an attempt says about the health of its target.
enum class HealthSignal
{
  Good,       // It answered, even if only that it is overloaded.
  Bad,        // The answer broke off, or none came.
  Endless,    // The answer went on beyond all bounds of size or time.
  NotReached, // No connection, or the data sent was not acknowledged (TCP).
  None,       // No evidence: the caller left, or this host was stopping.
};

// Ejects a target after several consecutive failures, or at once when it cannot be reached. Each
// ejection lasts longer than the one before. After it the target is half-open: it gets one request
// at a time until one succeeds.
//
//   TargetHealth health(clock, seed);
//   health.OnStart(target);                        // A request was sent.
//   health.OnEnd(target, HealthSignal::Bad);
//   std::vector<TargetRecord> healthy = health.Filter(targets);
//
// Answers without end count apart: a target may answer other calls well meanwhile, so these don't
// make up for them. It stays half-open until it has sent none for kEndlessMemory.
//
// Hosts report unreachable targets to each other. Otherwise each of 72 hosts would lose a request
// of its own to each unreachable target, and another one at each probe. A target that several hosts
// have reported is ejected on all of them; the ejections end at different times, so that one host
// probes on behalf of all.
//
// Filter() never excludes more than half of the targets: when most of them fail, the cause is
// likely elsewhere, and an empty pool would refuse every call. Not thread-safe.
class TargetHealth
{
public:
  static constexpr int kConsecutiveFailures = 3;
  static constexpr Duration kFirstEjection = std::chrono::seconds(2);
  static constexpr Duration kMaxEjection = std::chrono::seconds(60);
  static constexpr Duration kEndlessMemory = std::chrono::seconds(60);
  // Number of hosts that must report a target unreachable within kReportWindow before the other
  // hosts eject it. On a lossy link one or two hosts fail to connect by chance.
  static constexpr std::uint64_t kReportsToEject = 3;
  static constexpr Duration kReportWindow = std::chrono::seconds(1);
  // Ejections because of reports end at random times within this period. It is long compared with
  // the 0.3 s that the report of a failed probe takes to arrive at the other hosts.
  static constexpr Duration kProbeSpread = std::chrono::seconds(5);
  // Limits the reports that are kept until TakeReachabilityReports() is called; it may never be
  // called on some hosts.
  static constexpr std::size_t kMaxPendingReports = 1000;
  static constexpr Duration kReportRetention = std::chrono::seconds(1);

  TargetHealth(const Clock& aClock, std::uint64_t aSeed)
    : clock(aClock)
    , random(aSeed)
  {
  }

  // Records that a request was sent to the target.
  void OnStart(const TargetId& aTarget);
  // Records how an attempt at the target ended.
  void OnEnd(const TargetId& aTarget, HealthSignal aSign);

  // Clears the state of a target that has restarted: failures of its earlier incarnation no longer
  // count.
  void OnRestart(const TargetId& aTarget);

  // Clears what was learnt of a target while this host reached none: that was the host's fault, but
  // for answers without end.
  void OnPathRestored(const TargetId& aTarget);

  // Returns whether this host reached other targets after the given one failed at the given time.
  using ConfirmFunction = std::function<bool(const TargetId&, MonotonicTime)>;

  // Returns the targets that this host found unreachable, or reachable again, since the last call,
  // to be reported to the other hosts. Where aIsConfirmed returns false, the fault may be this
  // host's: the report is kept for a later call, for kReportRetention at most.
  std::vector<TargetReachabilityReport> TakeReachabilityReports(
    const ConfirmFunction& aIsConfirmed = nullptr);

  // Applies the reports of other hosts, which may include those of this host.
  void Take(const std::vector<TargetReachabilityReport>& aReports);

  // Returns the targets that may be sent a request now: those that are not ejected, and ejected
  // ones as far as they are needed to make up half of the list.
  std::vector<TargetRecord> Filter(const std::vector<TargetRecord>& aTargets) const;

  // Returns whether the target is ejected, or half-open with its one request in flight. For callers
  // that enforce a minimum pool size themselves.
  bool IsEjected(const TargetId& aTarget) const;

  // Returns whether the target has sent several answers without end lately.
  bool SendsWithoutEnd(const TargetId& aTarget) const;

private:
  struct Entry
  {
    int failures = 0;
    int ejections = 0;
    // Answers without end, and when the last one was given up.
    int endless = 0;
    MonotonicTime lastEndless;
    MonotonicTime ejectedUntil;
    bool probing = false;
    // Reports of hosts that could not reach it, and when the first of them arrived.
    std::uint64_t reports = 0;
    MonotonicTime reportsSince;
    // Enough hosts reported it; from then on, one report ejects it again.
    bool reportedUnreachable = false;
  };

  struct PendingReport
  {
    TargetReachabilityReport report;
    MonotonicTime since;
  };

  PendingReport& PendingReportOf(const TargetId& aTarget);
  void OnGood(const TargetId& aTarget);
  // Clears all but answers without end.
  void Clear(const TargetId& aTarget);
  bool HasEndless(const Entry& aEntry) const;
  void CountEndless(Entry& aEntry) const;
  void Eject(Entry& aEntry);
  void TakeUnreachable(const TargetReachabilityReport& aReport);

  const Clock& clock;
  std::minstd_rand random;
  // Targets with a failure, or an unreachable report, since their last success.
  std::map<TargetId, Entry> entries;
  // Reports of this host that TakeReachabilityReports() has not returned yet.
  std::map<TargetId, PendingReport> pendingReports;
};

} // namespace damasklink
