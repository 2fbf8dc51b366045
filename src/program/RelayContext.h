// What all relayed requests of one process share.
#pragma once

#include "AdmissionController.h"
#include "ClaimClient.h"
#include "HostContext.h"
#include "SynchronizedRouter.h"
#include "TrafficState.h"
#include "damasklink/coordination/PromptReuse.h"

namespace damasklink {

struct RelayContext
{
  const HostContext& host;
  SynchronizedRouter& routing;
  PromptReuse& reuse;
  ClaimClient& claims;
  TrafficState& state;
  AdmissionController& admission;
};

} // namespace damasklink
