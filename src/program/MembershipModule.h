// Heartbeats between hosts, on the control thread.
#pragma once

#include "HostContext.h"
#include "damasklink/coordination/ConfigDistributor.h"

namespace damasklink {

// Sends this host's heartbeats, and passes those of peers to HostMembership and their configuration
// revisions to ConfigDistributor. All functions are called on the control thread.
class MembershipModule final : public ControlModule
{
public:
  MembershipModule(const HostContext& aContext,
                   HostMembership& aMembership,
                   ConfigDistributor& aDistributor);

  void OnPeerMessage(const HostId& aFrom, const PeerMessage& aMessage) override;
  void OnTick(MonotonicTime aNow) override;
  // Sends a heartbeat to all peers that says this host is leaving.
  void OnShutdown() override;

private:
  void Send(const HostId& aTo);

  const HostContext& context;
  HostMembership& membership;
  ConfigDistributor& distributor;
};

} // namespace damasklink
