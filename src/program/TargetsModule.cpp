#include "TargetsModule.h"

#include "damasklink/protocol/TargetsCodec.h"
#include "damasklink/state/Text.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

// How often usable targets are checked between messages: without a message, only a target that fell
// silent can change them.
constexpr Duration kPublishInterval = std::chrono::milliseconds(100);

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
  : clock(aClock)
  , peers(aPeers)
  , publish(std::move(aPublish))
  , broadcaster(aClock, aSettings)
{
}

void
TargetsModule::Announce(const TargetRecord& aRecord)
{
  this->broadcaster.OnAnnouncement(aRecord);
  this->SendOutgoing();
  this->PublishChanges();
}

void
TargetsModule::FillStatus(HostStatus& aStatus) const
{
  for (const TargetRecord& record : this->Registry().All()) {
    aStatus.targets.push_back(TargetStatus{ record.id.Value(),
                                            std::string(KindText(record.kind)),
                                            record.zone.Value(),
                                            this->Registry().IsUsable(record.id),
                                            ModelsText(record.models) });
  }
}

void
TargetsModule::OnPeerMessage(const HostId& aFrom, const PeerMessage& aMessage)
{
  auto message = DecodeTargetsMessage(aMessage.payload);
  if (!message) {
    LogEvent(LogLevel::Warning, "announcement_refused")
      .With("from", aFrom)
      .With("error", message.error());
    return;
  }
  this->broadcaster.OnMessage(aFrom, message.value());
  this->SendOutgoing();
  this->PublishChanges();
}

void
TargetsModule::OnTick(MonotonicTime aNow)
{
  this->broadcaster.OnTick();
  this->SendOutgoing();
  if (aNow >= this->nextPublish) {
    this->PublishChanges();
  }
}

void
TargetsModule::SendOutgoing()
{
  for (OutgoingTargetsMessage& outgoing : this->broadcaster.TakeOutgoing()) {
    this->peers.Send(
      outgoing.to,
      PeerMessage{ Channel::Targets, GroupId(), EncodeTargetsMessage(outgoing.message) });
  }
}

void
TargetsModule::PublishChanges()
{
  this->nextPublish = this->clock.MonotonicNow() + kPublishInterval;
  std::vector<TargetRecord> usable = this->Registry().Usable();
  if (usable == this->published) {
    return;
  }
  this->published = usable;
  this->publish(std::move(usable));
}

} // namespace damasklink
