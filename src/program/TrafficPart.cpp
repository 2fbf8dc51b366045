#include "TrafficPart.h"

namespace damasklink {

TrafficPart::TrafficPart(const HostContext& aContext, Replicator& aGroups, ReusePart& aReuse)
  : context(aContext)
  , claims(aContext, aGroups)
  , relay{ aContext.clock,
           aContext.settings.timeouts,
           aReuse.Routing(),
           aReuse.Reuse(),
           aContext.views }
  , callers(this->relay, ServiceContext{ aContext, this->claims })
{
}

Result<void>
TrafficPart::Start()
{
  this->claims.Start();
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
