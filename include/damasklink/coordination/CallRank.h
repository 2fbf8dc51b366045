// The order in which calls get room when there is not enough of it for all.
#pragma once

#include "damasklink/coordination/RouteTable.h"

namespace damasklink {

// The priority of the workspace comes first, then that of the route. 0 is the most urgent.
struct CallRank
{
  int workspace = 0;
  int route = 0;

  // clang-tidy 14 mistakes the generated comparison with zero for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const CallRank&) const = default;
};

// Without a priority of the workspace, the route's priority stands for both.
CallRank
RankOf(const ServingRoute& aRoute, const WorkspaceEntry* aWorkspace);

} // namespace damasklink
