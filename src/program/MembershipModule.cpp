#include "MembershipModule.h"

#include "damasklink/protocol/ConfigCodec.h"
#include "damasklink/transport/Log.h"

namespace damasklink {

MembershipModule::MembershipModule(const HostContext& aContext,
                                   HostMembership& aMembership,
                                   ConfigDistributor& aDistributor)
  : context(aContext)
  , membership(aMembership)
  , distributor(aDistributor)
{
}

void
MembershipModule::OnPeerMessage(const HostId& aFrom, const PeerMessage& aMessage)
{
  auto heartbeat = DecodeHeartbeat(aMessage.payload);
  if (!heartbeat) {
    LogEvent(LogLevel::Warning, "heartbeat_refused")
      .With("from", aFrom)
      .With("error", heartbeat.error());
    return;
  }
  this->membership.OnHeartbeat(aFrom, heartbeat.value());
  this->distributor.OnPeerRevision(
    aFrom, heartbeat.value().revision, heartbeat.value().confirmedAge);
}

void
MembershipModule::OnTick(MonotonicTime /*aNow*/)
{
  if (this->membership.AdvanceIfDue()) {
    this->Send(this->membership.CurrentPeer());
  }
}

void
MembershipModule::OnShutdown()
{
  this->membership.Leave();
  for (const PeerSettings& peer : this->context.settings.peers) {
    if (peer.host != this->context.settings.host) {
      this->Send(peer.host);
    }
  }
}

void
MembershipModule::Send(const HostId& aTo)
{
  Heartbeat heartbeat = this->membership.MakeHeartbeat();
  heartbeat.revision = this->distributor.InForce();
  heartbeat.confirmedAge = this->distributor.ConfirmedAge();
  this->context.peers.Send(
    aTo, PeerMessage{ Channel::Membership, GroupId(), EncodeHeartbeat(heartbeat) });
}

} // namespace damasklink
