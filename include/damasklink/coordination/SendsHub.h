// What the entry hosts that tell one control host have at targets, and how long their fetches from
// stores took, and which targets they found gone, added up for everybody else.
//
//   SendsHub hub;
//   hub.Take(news, clock.MonotonicNow());        // From an entry host.
//   SendsNews sum = hub.TakeChanges(ownHost);    // For its entry hosts, and other control hosts.
//
// With sums, what a host hears grows with the number of targets and of control hosts, not with the
// number of entry hosts: with 72 of them, passing each one's words on to each other one would be
// 50,000 messages a second. Not thread-safe.
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
  void Take(const SendsNews& aNews, MonotonicTime aNow);

  // An entry host is not connected any more, or tells another control host.
  void Forget(const HostId& aHost);

  const std::set<HostId>& Tellers() const { return this->tellers; }

  // Returns the sums that have changed since the last call, with the parts that were sent since,
  // in the name of aSelf.
  SendsNews TakeChanges(const HostId& aSelf);

private:
  SendsSum sum;
  std::set<HostId> tellers;
  // Targets whose sums have changed since TakeChanges(), with the parts sent there since.
  std::map<TargetId, std::vector<SizedPart>> untold;
  std::map<std::string, StoreExcess> excesses;
  std::map<TargetId, TargetFindings> findings;
};

} // namespace damasklink
