// Heartbeats between hosts, on the control thread.
#pragma once

#include "HostContext.h"
#include "damasklink/coordination/ConfigDistributor.h"

namespace damasklink {

// Sends this host's heartbeats and hands what others' tell to membership and spread.
class MembershipModule final : public ControlModule
{
public:
  MembershipModule(const HostContext& aContext,
                   HostMembership& aMembership,
                   ConfigDistributor& aSpread);

  void OnPeerMessage(const HostId& aFrom, const PeerMessage& aMessage) override;
  void OnTick(MonotonicTime aNow) override;
  // Tells all peers at once that this host is leaving.
  void OnShutdown() override;

private:
  void Send(const HostId& aTo);

  const HostContext& context;
  HostMembership& membership;
  ConfigDistributor& spread;
};

} // namespace damasklink
