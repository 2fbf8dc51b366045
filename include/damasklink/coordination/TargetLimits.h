// What an entry host may send to targets that name a limit or are cold.
//
//   TargetLimits limits(clock, ownHost);
//   if (limits.MaySend(target)) {
//     limits.OnSent(target);
//   }
//   limits.OnAnswer(record, facts.limit, sentAt);   // Hears of limits.
//   limits.OnCold(record, record.coldFor);          // Hears that a target is cold.
//   limits.Take(told);                              // Shares, from the control host.
//
// The share of a limit that a host has comes from the control host (LimitBook). A host that hears
// of a limit, or of a cold target, before it has a share sends nothing there. Not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "damasklink/coordination/ServingMessages.h"
#include "damasklink/state/Clock.h"

namespace damasklink {

class TargetLimits
{
public:
  // A report is on its way to the control host for so long: until then a word of the control host
  // that does not contain it is older than the report.
  static constexpr Duration kReportUnderWay = std::chrono::seconds(1);

  TargetLimits(const Clock& aClock, const HostId& aSelf)
    : clock(aClock)
    , self(aSelf)
  {
  }

  // Returns whether no target is known to name a limit or to be cold.
  bool IsEmpty() const { return this->entries.empty(); }

  bool MaySend(const TargetId& aTarget) const;
  void OnSent(const TargetId& aTarget);

  // Returns how long until one of the targets may be sent a request by this host; nothing when it
  // has a share of none.
  std::optional<Duration> UntilPermit(const std::vector<TargetRecord>& aTargets) const;

  // Takes what an answer to a request says, nothing where it names no limit. Only an answer to a
  // request that was sent after the limit was known can lift it: an earlier one may be overtaken.
  void OnAnswer(const TargetRecord& aTarget,
                const std::optional<RequestRate>& aLimit,
                MonotonicTime aSentAt);

  // The target bears what the shares allow for so long from now on, or for longer if that is known.
  void OnCold(const TargetRecord& aTarget, Duration aColdFor);

  // The target has started again: the limit was that of its earlier start.
  void OnRestart(const TargetId& aTarget) { this->entries.erase(aTarget); }

  // Takes all limits and shares from the control host.
  void Take(const std::vector<TargetLimit>& aTold);

  // The next TakeReports() returns all limits that are known: another control host is told.
  void TellAllAnew();

  std::vector<LimitReport> TakeReports();

private:
  struct Entry
  {
    Incarnation incarnation;
    // Nothing where the target names none.
    std::optional<RequestRate> limit;
    // When this host heard of the limit, and when from the target itself.
    MonotonicTime knownSince;
    std::optional<MonotonicTime> reportedAt;
    MonotonicTime coldUntil;
    // Requests that may be sent now, one at most: idle hosts must not save up.
    RequestRate share;
    double permits = 0;
    MonotonicTime filledAt;
    // This host has sent something there since it knows of the entry.
    bool sent = false;
  };

  bool IsCold(const Entry& aEntry) const;
  bool IsLimited(const Entry& aEntry) const;
  double PermitsNow(const Entry& aEntry) const;
  void TakeShare(const TargetLimit& aTold, Entry& aTo) const;
  std::optional<Duration> UntilPermit(const Entry& aEntry) const;
  void ForgetWarm();
  void Report(const TargetId& aTarget, const Entry& aEntry, bool aLifted);

  const Clock& clock;
  const HostId& self;
  std::map<TargetId, Entry> entries;
  std::map<TargetId, LimitReport> untold;
};

} // namespace damasklink
