#include "damasklink/coordination/Replication.h"

namespace damasklink {

GroupId
ControlGroupId()
{
  return GroupId("control");
}

GroupId
ClaimsGroupId(const ZoneId& aZone)
{
  return GroupId("claims/" + aZone.Value());
}

} // namespace damasklink
