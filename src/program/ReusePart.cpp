#include "ReusePart.h"

namespace damasklink {

ReusePart::ReusePart(const HostContext& aContext, Replicator& aGroups)
  : context(aContext)
  , groups(aGroups)
  , routing(std::make_unique<LeastLoadedRouter>())
{
}

Result<void>
ReusePart::Start()
{
  return Success();
}

void
ReusePart::AddRoutes(const HostServers& /*aServers*/)
{
}

} // namespace damasklink
