#include "damasklink/coordination/CallRank.h"

namespace damasklink {

CallRank
RankOf(const ServingRoute& aRoute, const WorkspaceEntry* aWorkspace)
{
  return CallRank{ PriorityOf(aRoute, aWorkspace), aRoute.priority };
}

} // namespace damasklink
