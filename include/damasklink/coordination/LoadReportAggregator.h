// What entry hosts have at targets, how long their fetches from stores took, and which targets they
// found gone, added up by a control host: for the others what its own entry hosts tell, and for its
// entry hosts what all of them do.
//
//   LoadReportAggregator hub;
//   hub.Take(news, clock.MonotonicNow());        // From an entry host.
//   hub.TakePeerSum(sum, clock.MonotonicNow());      // From another control host.
//   SendsNews sum = hub.TakeChanges(ownHost);    // For the other control hosts.
//   SendsNews total = hub.TakeTotals(ownHost);   // For its entry hosts, after TakeChanges().
//
// With one total, what an entry host hears grows with the number of targets alone: neither with
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
  // Takes what an entry host has at targets; from now on it is one of those that tell this host.
  void Take(const SendsNews& aNews, MonotonicTime aNow);

  // Takes the sums of another control host.
  void TakePeerSum(const SendsNews& aNews, MonotonicTime aNow);

  // An entry host is not connected any more, or tells another control host.
  void Forget(const HostId& aHost);

  // Forgets the sums of control hosts that have told nothing since a time.
  void RemovePeersSilentSince(MonotonicTime aTime);

  const std::set<HostId>& Publishers() const { return this->publishers; }

  // Returns the sums of its entry hosts that have changed since the last call, with the parts that
  // were sent since, in the name of aSelf.
  SendsNews TakeChanges(const HostId& aSelf);

  // Returns the totals of all entry hosts that have changed since the last call, with the parts
  // that were sent since, in the name of aSelf.
  SendsNews TakeTotals(const HostId& aSelf);

  // Returns all totals, for an entry host that tells this host from now on.
  SendsNews AllTotals(const HostId& aSelf) const;

private:
  // What was taken and not told on yet.
  struct PendingUpdate
  {
    void Add(const SendsNews& aNews);
    // Moves what was found of stores and targets into the news.
    void MoveExcessesAndFindings(SendsNews& aTo);

    // Targets whose figures have changed, with the parts sent there since.
    std::map<TargetId, std::vector<SizedPart>> sends;
    std::map<std::string, StoreExcess> excesses;
    std::map<TargetId, TargetFindings> findings;
  };

  LoadCounts TotalOf(const TargetId& aTarget) const;
  void MarkTotals(const std::vector<TargetId>& aTargets);

  InFlightLoadSum sum;
  // By control host.
  InFlightLoadSum peerSums;
  std::set<HostId> publishers;
  PendingUpdate changes;
  PendingUpdate totals;
};

} // namespace damasklink
