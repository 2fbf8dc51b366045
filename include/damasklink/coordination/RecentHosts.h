// Which hosts were there lately, whether they are now or not.
//
//   RecentHosts recent;
//   recent.Update(roster.AllEntryHosts(), now);
//   recent.All();
//
// What is divided among the hosts that are in touch is divided twice while a cut separates them:
// each side takes the other for gone. A host that is remembered for a while keeps its part on both
// sides. Not thread-safe.
#pragma once

#include <map>
#include <set>

#include "damasklink/state/Clock.h"
#include "damasklink/state/Ids.h"

namespace damasklink {

class RecentHosts
{
public:
  // Longer than a cut usually lasts, and than a cold start does.
  static constexpr Duration kRetention = std::chrono::seconds(15);

  // Takes the hosts that are there now.
  void Update(const std::set<HostId>& aHosts, MonotonicTime aNow);

  const std::set<HostId>& All() const { return this->hosts; }

private:
  std::map<HostId, MonotonicTime> seen;
  std::set<HostId> hosts;
};

} // namespace damasklink
