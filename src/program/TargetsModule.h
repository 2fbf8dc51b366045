// Targets on the control thread: merges announcements, passes them on, publishes the usable ones.
#pragma once

#include <functional>

#include "damasklink/coordination/TargetBroadcaster.h"
#include "damasklink/protocol/OperatorApi.h"
#include "damasklink/transport/ControlLoop.h"

namespace damasklink {

// Owns what this host knows of targets. All calls come on the control thread.
class TargetsModule final : public ControlModule
{
public:
  using Publish = std::function<void(std::vector<TargetRecord>)>;

  TargetsModule(const Clock& aClock,
                const HostSettings& aSettings,
                PeerSender& aPeers,
                Publish aPublish);

  // Takes an announcement that a target made to this host.
  void Announce(const TargetRecord& aRecord);

  // Adds the targets that this host knows.
  void FillStatus(HostStatus& aStatus) const;

  void OnPeerMessage(const HostId& aFrom, const PeerMessage& aMessage) override;
  void OnTick(MonotonicTime aNow) override;

  const TargetRegistry& Registry() const { return this->spread.Registry(); }

private:
  void SendOutgoing();
  void PublishChanges();

  const Clock& clock;
  PeerSender& peers;
  Publish publish;
  TargetBroadcaster spread;
  std::vector<TargetRecord> published;
  MonotonicTime nextPublish;
};

} // namespace damasklink
