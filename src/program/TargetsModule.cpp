#include "TargetsModule.h"

#include <set>

#include "damasklink/protocol/EngineApi.h"
#include "damasklink/state/Text.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

constexpr Duration kExpiryInterval = std::chrono::seconds(1);

std::string
ModelsText(const std::vector<ServedModel>& aModels)
{
  std::string text;
  for (const ServedModel& model : aModels) {
    text += Concat(text.empty() ? "" : ",", model.model.Value(), "@", model.version.Value());
  }
  return text;
}

std::string_view
KindText(TargetKind aKind)
{
  switch (aKind) {
    case TargetKind::Engine:
      return "engine";
    case TargetKind::Service:
      return "service";
    case TargetKind::Store:
      return "store";
  }
  return "unknown";
}

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
TargetsModule::FillStatus(HostStatus& aStatus) const
{
  std::set<TargetId> usable;
  for (const TargetRecord& record : this->registry.Usable()) {
    usable.insert(record.id);
  }
  for (const TargetRecord& record : this->registry.All()) {
    aStatus.targets.push_back(TargetStatus{ record.id.Value(),
                                            std::string(KindText(record.kind)),
                                            record.zone.Value(),
                                            usable.contains(record.id),
                                            ModelsText(record.models) });
  }
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
