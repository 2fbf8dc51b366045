// What all relayed requests of one process share.
#pragma once

#include "AdmissionDesk.h"
#include "ClaimGate.h"
#include "HostContext.h"
#include "RoutingDesk.h"
#include "TrafficState.h"
#include "damasklink/coordination/PromptReuse.h"

namespace damasklink {

struct RelayContext
{
  const HostContext& host;
  RoutingDesk& routing;
  PromptReuse& reuse;
  ClaimGate& claims;
  TrafficState& state;
  AdmissionDesk& admission;
};

} // namespace damasklink
