// What entry hosts have at targets, how long their fetches from stores took, and which targets they
// found gone, added up by a control host: for the others what its own entry hosts tell, and for its
// entry hosts what all of them do.
//
//   SendsHub hub;
//   hub.Take(news, clock.MonotonicNow());        // From an entry host.
//   hub.TakeSum(sum, clock.MonotonicNow());      // From another control host.
//   LoadReport sum = hub.TakeChanges(ownHost);    // For the other control hosts.
//   LoadReport total = hub.TakeTotals(ownHost);   // For its entry hosts, after TakeChanges().
//
// With one total, what an entry host hears grows with the number of targets alone: neither with
// the number of entry hosts, each of which changes most sums within a second, nor with that of
// control hosts. Not thread-safe.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "damasklink/coordination/SendsSum.h"

namespace damasklink {

class SendsHub
{
public:
  // Takes what an entry host has at targets; from now on it is one of those that tell this host.
  void Take(const LoadReport& aNews, MonotonicTime aNow);

  // Takes the sums of another control host.
  void TakeSum(const LoadReport& aNews, MonotonicTime aNow);

  // An entry host is not connected any more, or tells another control host.
  void Forget(const HostId& aHost);

  // Forgets the sums of control hosts that have told nothing since a time.
  void ForgetSumsBefore(MonotonicTime aTime);

  const std::set<HostId>& Tellers() const { return this->tellers; }

  // Returns the sums of its entry hosts that have changed since the last call, with the parts that
  // were sent since, in the name of aSelf.
  LoadReport TakeChanges(const HostId& aSelf);

  // Returns the totals of all entry hosts that have changed since the last call, with the parts
  // that were sent since, in the name of aSelf.
  LoadReport TakeTotals(const HostId& aSelf);

  // Returns all totals, for an entry host that tells this host from now on.
  LoadReport AllTotals(const HostId& aSelf) const;

private:
  // What was taken and not told on yet.
  struct Untold
  {
    void Add(const LoadReport& aNews);
    // Moves what was found of stores and targets into the news.
    void MoveFindings(LoadReport& aTo);

    // Targets whose figures have changed, with the parts sent there since.
    std::map<TargetId, std::vector<SizedPart>> sends;
    std::map<std::string, StoreFetchDelay> excesses;
    std::map<TargetId, TargetReachabilityReport> findings;
  };

  SentLoad TotalOf(const TargetId& aTarget) const;
  void MarkTotals(const std::vector<TargetId>& aTargets);

  SendsSum sum;
  // By control host.
  SendsSum sumsOfOthers;
  std::set<HostId> tellers;
  Untold changes;
  Untold totals;
};

} // namespace damasklink
