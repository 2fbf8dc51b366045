#include "TargetsModule.h"

#include "damasklink/protocol/EngineApi.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

constexpr Duration kExpiryInterval = std::chrono::seconds(1);

} // namespace

TargetsModule::TargetsModule(const Clock& aClock,
                             const HostSettings& aSettings,
                             PeerSender& aPeers,
                             Publish aPublish)
  : settings(aSettings)
  , peers(aPeers)
  , publish(std::move(aPublish))
  , registry(aClock, aSettings.timeouts.targetSilence)
{
}

void
TargetsModule::Announce(const TargetRecord& aRecord)
{
  if (!this->registry.Merge(aRecord)) {
    return;
  }
  const std::string payload = FormatTargetRecord(aRecord);
  for (const PeerSettings& peer : this->settings.peers) {
    if (peer.host != this->settings.host) {
      this->peers.Send(peer.host, PeerMessage{ Channel::Targets, GroupId(), payload });
    }
  }
  this->PublishChanges();
}

void
TargetsModule::OnPeerMessage(const HostId& aFrom, const PeerMessage& aMessage)
{
  auto record = ParseTargetRecord(aMessage.payload);
  if (!record) {
    LogEvent(LogLevel::Warning, "announcement_refused")
      .With("from", aFrom)
      .With("error", record.error());
    return;
  }
  if (this->registry.Merge(record.value())) {
    this->PublishChanges();
  }
}

void
TargetsModule::OnTick(MonotonicTime aNow)
{
  if (aNow >= this->nextExpiry) {
    this->registry.Expire();
    this->nextExpiry = aNow + kExpiryInterval;
  }
  this->PublishChanges();
}

void
TargetsModule::PublishChanges()
{
  std::vector<TargetRecord> usable = this->registry.Usable();
  if (usable == this->published) {
    return;
  }
  this->published = usable;
  this->publish(std::move(usable));
}

} // namespace damasklink
