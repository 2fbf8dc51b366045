// Targets on the control thread: merges announcements, forwards them to peers, publishes the usable
// targets.
#pragma once

#include <functional>

#include "damasklink/coordination/TargetBroadcaster.h"
#include "damasklink/protocol/OperatorApi.h"
#include "damasklink/transport/ControlLoop.h"

namespace damasklink {

// Owns the registry of targets of this host. All functions are called on the control thread.
class TargetsModule final : public ControlModule
{
public:
  // Called with the usable targets whenever they have changed.
  using Publish = std::function<void(std::vector<TargetRecord>)>;

  TargetsModule(const Clock& aClock,
                const HostSettings& aSettings,
                PeerSender& aPeers,
                Publish aPublish);

  // Handles an announcement that a target sent to this host.
  void Announce(const TargetRecord& aRecord);

  // Adds the targets in the registry.
  void FillStatus(HostStatus& aStatus) const;

  void OnPeerMessage(const HostId& aFrom, const PeerMessage& aMessage) override;
  void OnTick(MonotonicTime aNow) override;

  const TargetRegistry& Registry() const { return this->broadcaster.Registry(); }

private:
  void SendOutgoing();
  void PublishChanges();

  const Clock& clock;
  PeerSender& peers;
  Publish publish;
  TargetBroadcaster broadcaster;
  std::vector<TargetRecord> published;
  MonotonicTime nextPublish;
};

} // namespace damasklink
