// Adds up load reports on a control host: the in-flight load at targets, the delays of fetches from
// stores, which targets were found unreachable or back, and which services are brittle. The sum
// over its own entry hosts goes to the other control hosts, and the total over all entry hosts to
// its own ones.
//
//   LoadReportAggregator aggregator;
//   aggregator.Update(report, clock.MonotonicNow());      // From an entry host.
//   aggregator.UpdatePeerSum(sum, clock.MonotonicNow());  // From another control host.
//   LoadReport sum = aggregator.TakeChanges(ownHost);      // For the other control hosts.
//   LoadReport total = aggregator.TakeTotals(ownHost);     // For its own entry hosts.
//
// TakeTotals() is called after TakeChanges().
//
// Because entry hosts get totals, their traffic grows only with the number of targets: neither with
// the number of entry hosts, each of which changes most sums within a second, nor with that of
// control hosts. Not thread-safe.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "damasklink/coordination/InFlightLoadSum.h"

namespace damasklink {

class LoadReportAggregator
{
public:
  // Processes the report of an entry host, which becomes one of Publishers(). A report with `last`
  // set removes the host.
  void Update(const LoadReport& aReport, MonotonicTime aNow);

  // Processes the sums of another control host.
  void UpdatePeerSum(const LoadReport& aReport, MonotonicTime aNow);

  // Removes an entry host that has disconnected or reports to another control host.
  void Remove(const HostId& aHost);

  // Removes the sums of control hosts that have not reported since aTime.
  void RemovePeersSilentSince(MonotonicTime aTime);

  // Returns the entry hosts that report to this host.
  const std::set<HostId>& Publishers() const { return this->publishers; }

  // Returns the sums over this host's entry hosts that have changed since the last call, with the
  // parts that were sent since. The sender is aSelf.
  LoadReport TakeChanges(const HostId& aSelf);

  // Returns the totals over all entry hosts that have changed since the last call, with the parts
  // that were sent since. The sender is aSelf.
  LoadReport TakeTotals(const HostId& aSelf);

  // Returns all totals, for an entry host that has just started to report to this host.
  LoadReport AllTotals(const HostId& aSelf) const;

private:
  // Changes that were received and not sent yet.
  struct PendingUpdate
  {
    void Add(const LoadReport& aReport);
    // Moves everything but the sends into aTo.
    void MoveObservations(LoadReport& aTo);

    // Targets whose load has changed, with the parts that were sent there since.
    std::map<TargetId, std::vector<SizedPart>> sends;
    std::map<std::string, StoreFetchDelay> excesses;
    std::map<TargetId, TargetReachabilityReport> findings;
    std::map<ServiceName, BrittleService> brittle;
  };

  LoadCounts TotalOf(const TargetId& aTarget) const;
  void MarkTotalsChanged(const std::vector<TargetId>& aTargets);

  InFlightLoadSum sum;
  // The sums of the other control hosts.
  InFlightLoadSum peerSums;
  std::set<HostId> publishers;
  PendingUpdate changes;
  PendingUpdate totals;
};

} // namespace damasklink
