// The hosts that were connected within the last kRetention, including those that are not any more.
//
//   RecentHosts recent;
//   recent.Update(roster.AllEntryHosts(), now);
//   recent.All();
//
// A budget that is divided among the connected hosts would be handed out twice during a network
// partition, since each side regards the other as disconnected. A host that stays listed for some
// time keeps its share on both sides. Not thread-safe.
#pragma once

#include <map>
#include <set>

#include "damasklink/state/Clock.h"
#include "damasklink/state/Ids.h"

namespace damasklink {

class RecentHosts
{
public:
  // Longer than most network partitions and than a cold start.
  static constexpr Duration kRetention = std::chrono::seconds(15);

  // Records the hosts that are connected now and removes those not seen for longer than kRetention.
  void Update(const std::set<HostId>& aHosts, MonotonicTime aNow);

  const std::set<HostId>& All() const { return this->hosts; }

private:
  std::map<HostId, MonotonicTime> seen;
  std::set<HostId> hosts;
};

} // namespace damasklink
