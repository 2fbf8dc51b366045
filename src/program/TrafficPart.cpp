#include "TrafficPart.h"

namespace damasklink {

TrafficPart::TrafficPart(const HostContext& aContext, Replicator& aGroups, ReusePart& aReuse)
  : context(aContext)
  , groups(aGroups)
  , relay{ aContext.clock,
           aContext.settings.timeouts,
           aReuse.Routing(),
           aReuse.Reuse(),
           aContext.views }
  , callers(this->relay, aContext.settings)
{
}

Result<void>
TrafficPart::Start()
{
  return Success();
}

void
TrafficPart::AddRoutes(const HostServers& aServers)
{
  this->callers.AddRoutes(aServers.callers);
}

void
TrafficPart::Drain()
{
}

} // namespace damasklink
