// Limits the requests that an entry host sends to targets with a rate limit and to cold targets.
//
//   TargetRateLimiter limiter(clock, ownHost);
//   if (limiter.MaySend(target)) {
//     limiter.OnSent(target);
//   }
//   limiter.OnAnswer(record, facts.limit, sentAt);   // The limit in an answer of the target.
//   limiter.OnCold(record, record.coldFor);          // The target is cold.
//   limiter.SetShares(shares);                       // From the control host.
//
// The control host assigns each host its share of a limit (RateLimitAllocator). A host that learns
// of a limit or of a cold target before it has a share sends nothing to the target. Not
// thread-safe.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "damasklink/coordination/ServingMessages.h"
#include "damasklink/state/Clock.h"

namespace damasklink {

class TargetRateLimiter
{
public:
  // Time in which a report may be in flight to the control host. Until then, shares that do not
  // contain the reported limit may be older than the report.
  static constexpr Duration kReportInFlight = std::chrono::seconds(1);

  TargetRateLimiter(const Clock& aClock, const HostId& aSelf)
    : clock(aClock)
    , self(aSelf)
  {
  }

  // Returns whether no target is known to have a limit or to be cold.
  bool IsEmpty() const { return this->entries.empty(); }

  bool MaySend(const TargetId& aTarget) const;
  void OnSent(const TargetId& aTarget);

  // Returns the time until this host may send a request to one of the targets; nothing if it has no
  // share of any of them.
  std::optional<Duration> TimeUntilPermit(const std::vector<TargetRecord>& aTargets) const;

  // Processes the limit in an answer of the target, empty if there is none. An answer without a
  // limit lifts a known one only if its request was sent after the limit became known: answers may
  // arrive out of order.
  void OnAnswer(const TargetRecord& aTarget,
                const std::optional<RequestRate>& aLimit,
                MonotonicTime aSentAt);

  // The target is cold for aColdFor from now on, or longer if a later end is known. It accepts only
  // what the shares allow until then.
  void OnCold(const TargetRecord& aTarget, Duration aColdFor);

  // The target has restarted; the limit was that of its earlier incarnation.
  void OnRestart(const TargetId& aTarget) { this->entries.erase(aTarget); }

  // Replaces all limits and shares by those of the control host.
  void SetShares(const std::vector<TargetLimit>& aShares);

  // Makes the next TakeReports() return all known limits, for a new hub.
  void ResendAll();

  // Returns the limits that were set or lifted since the last call.
  std::vector<LimitReport> TakeReports();

private:
  struct Entry
  {
    Incarnation incarnation;
    // Empty if the target has no limit.
    std::optional<RequestRate> limit;
    // When this host learned of the limit.
    MonotonicTime knownSince;
    // When this host last queued a report of a limit that the target named.
    std::optional<MonotonicTime> reportedAt;
    MonotonicTime coldUntil;
    RequestRate share;
    // Requests that may be sent at filledAt. At most one, so that idle hosts cannot send a burst.
    double permits = 0;
    MonotonicTime filledAt;
    // Whether this host has sent a request to the target since the entry was added.
    bool sent = false;
  };

  bool IsCold(const Entry& aEntry) const;
  bool IsLimited(const Entry& aEntry) const;
  double PermitsNow(const Entry& aEntry) const;
  void ApplyShare(const TargetLimit& aShare, Entry& aTo) const;
  std::optional<Duration> TimeUntilPermit(const Entry& aEntry) const;
  void RemoveWarmTargets();
  void Report(const TargetId& aTarget, const Entry& aEntry, bool aLifted);

  const Clock& clock;
  const HostId& self;
  std::map<TargetId, Entry> entries;
  std::map<TargetId, LimitReport> pendingReports;
};

} // namespace damasklink
