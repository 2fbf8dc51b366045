#include "damasklink/coordination/TargetBroadcaster.h"

#include "damasklink/state/CompactCodec.h"
#include "damasklink/state/Digests.h"
#include "damasklink/state/Text.h"

namespace damasklink {
namespace {

// The share of the silence limit after which the home reports a target as silent, so that peers
// learn of it within the limit.
constexpr int kHomeSilenceNumerator = 3;
constexpr int kHomeSilenceDenominator = 4;

} // namespace

std::uint32_t
FingerprintOfTarget(const TargetRecord& aRecord)
{
  CompactWriter writer;
  writer.Id(aRecord.id).Number(static_cast<std::uint64_t>(aRecord.kind)).Id(aRecord.zone);
  writer.Text(FormatEndpoint(aRecord.endpoint)).Id(aRecord.incarnation);
  writer.Flag(aRecord.leaving).Flag(aRecord.checksFencing);
  writer.Number(static_cast<std::uint64_t>(aRecord.role)).Id(aRecord.service);
  for (const ServedModel& model : aRecord.models) {
    writer.Id(model.model).Id(model.version).Number(model.adapters.size());
    for (const AdapterName& adapter : model.adapters) {
      writer.Id(adapter);
    }
  }
  writer.Real(aRecord.rates.prefillTokensPerSecond).Real(aRecord.rates.decodeTokensPerSecond);
  writer.Id(aRecord.store.memory).Id(aRecord.store.disk);
  writer.Id(aRecord.store.linkBytesPerSecond).Id(aRecord.store.bytesPerToken);
  return ShortHash(std::move(writer).Take());
}

TargetBroadcaster::TargetBroadcaster(const Clock& aClock, const HostSettings& aSettings)
  : clock(aClock)
  , self(aSettings.host)
  , homeSilence(aSettings.timeouts.targetSilence * kHomeSilenceNumerator / kHomeSilenceDenominator)
  , registry(aClock, this->homeSilence)
  , nextRefresh(aClock.MonotonicNow())
  , nextFarRefresh(this->nextRefresh)
{
  for (const PeerSettings& peer : aSettings.peers) {
    if (peer.host != this->self) {
      (peer.zone == aSettings.zone ? this->sameZonePeers : this->otherZonePeers)
        .push_back(peer.host);
    }
  }
}

void
TargetBroadcaster::OnAnnouncement(const TargetRecord& aRecord)
{
  const TargetRecord* held = this->registry.Find(aRecord.id);
  const std::uint32_t before = held == nullptr ? 0 : FingerprintOfTarget(*held);
  const bool isNew = held == nullptr;
  const bool wasUsable = this->registry.IsUsable(aRecord.id);
  const bool wasOwn = this->IsOwn(aRecord.id);
  if (!this->registry.Merge(aRecord, this->homeSilence)) {
    return;
  }
  this->homes[aRecord.id] = this->self;
  this->byHash[ShortHash(aRecord.id.Value())] = aRecord.id;
  this->reportedSilent.erase(aRecord.id);
  const TargetRecord& merged = *this->registry.Find(aRecord.id);
  const bool changed = isNew || FingerprintOfTarget(merged) != before;
  if (changed || !wasOwn || !wasUsable) {
    this->SendToAll(TargetsMessage{ TargetsMessageKind::Records, { merged }, {} });
  }
}

void
TargetBroadcaster::OnMessage(const HostId& aFrom, const TargetsMessage& aMessage)
{
  if (aMessage.kind == TargetsMessageKind::Ask) {
    this->outgoing.push_back({ aFrom, this->OwnRecords() });
    return;
  }
  for (const TargetRecord& record : aMessage.records) {
    this->ApplyRecord(aFrom, record);
  }
  bool allKnown = true;
  for (const TargetKeepalive& keepalive : aMessage.keepalives) {
    if (aMessage.kind == TargetsMessageKind::Silent) {
      this->ApplySilence(aFrom, keepalive);
    } else {
      allKnown = this->ApplyKeepalive(aFrom, keepalive) && allKnown;
    }
  }
  const MonotonicTime now = this->clock.MonotonicNow();
  MonotonicTime& next = this->nextAsk[aFrom];
  if (!allKnown && now >= next) {
    next = now + kAskInterval;
    this->outgoing.push_back({ aFrom, TargetsMessage() });
  }
}

void
TargetBroadcaster::ApplyRecord(const HostId& aFrom, const TargetRecord& aRecord)
{
  if (this->registry.Merge(aRecord, kRemoteSilence)) {
    this->homes[aRecord.id] = aFrom;
    this->byHash[ShortHash(aRecord.id.Value())] = aRecord.id;
  }
}

bool
TargetBroadcaster::ApplyKeepalive(const HostId& aFrom, const TargetKeepalive& aKeepalive)
{
  const auto found = this->byHash.find(aKeepalive.target);
  const TargetRecord* held =
    found == this->byHash.end() ? nullptr : this->registry.Find(found->second);
  if (held == nullptr) {
    return false;
  }
  if (this->homes[held->id] != aFrom) {
    // Another host is the home. A higher sequence means that this host missed the move to aFrom.
    return aKeepalive.sequence <= held->sequence;
  }
  if (FingerprintOfTarget(*held) != aKeepalive.fingerprint) {
    return false;
  }
  return this->registry.Refresh(held->id, held->incarnation, aKeepalive.sequence, aKeepalive.load);
}

void
TargetBroadcaster::ApplySilence(const HostId& aFrom, const TargetKeepalive& aKeepalive)
{
  const auto found = this->byHash.find(aKeepalive.target);
  const TargetRecord* held =
    found == this->byHash.end() ? nullptr : this->registry.Find(found->second);
  if (held != nullptr && this->homes[held->id] == aFrom) {
    this->registry.MarkSilent(held->id, held->incarnation, aKeepalive.sequence);
  }
}

void
TargetBroadcaster::OnTick()
{
  this->ReportSilence();
  const MonotonicTime now = this->clock.MonotonicNow();
  if (now >= this->nextRefresh) {
    this->nextRefresh = now + kRefreshInterval;
    this->SendRefresh(this->sameZonePeers);
    this->Forget();
  }
  if (now >= this->nextFarRefresh) {
    this->nextFarRefresh = now + kFarRefreshInterval;
    this->SendRefresh(this->otherZonePeers);
  }
}

void
TargetBroadcaster::Forget()
{
  this->registry.Expire();
  std::erase_if(this->homes,
                [this](const auto& aItem) { return this->registry.Find(aItem.first) == nullptr; });
  std::erase_if(this->byHash,
                [this](const auto& aItem) { return this->registry.Find(aItem.second) == nullptr; });
}

void
TargetBroadcaster::ReportSilence()
{
  TargetsMessage silence{ TargetsMessageKind::Silent, {}, {} };
  for (const auto& [target, home] : this->homes) {
    const bool silent = home == this->self && !this->registry.IsUsable(target);
    const TargetRecord* record = silent ? this->registry.Find(target) : nullptr;
    if (record != nullptr && !record->leaving && this->reportedSilent.insert(target).second) {
      silence.keepalives.push_back(this->KeepaliveOf(*record));
    }
  }
  if (!silence.keepalives.empty()) {
    this->SendToAll(silence);
  }
}

void
TargetBroadcaster::SendRefresh(const std::vector<HostId>& aPeers)
{
  TargetsMessage refresh{ TargetsMessageKind::Refresh, {}, {} };
  for (const auto& [target, home] : this->homes) {
    if (home == this->self && this->registry.IsUsable(target)) {
      refresh.keepalives.push_back(this->KeepaliveOf(*this->registry.Find(target)));
    }
  }
  if (refresh.keepalives.empty()) {
    return;
  }
  for (const HostId& peer : aPeers) {
    this->outgoing.push_back({ peer, refresh });
  }
}

std::vector<OutgoingTargetsMessage>
TargetBroadcaster::TakeOutgoing()
{
  return std::exchange(this->outgoing, {});
}

void
TargetBroadcaster::SendToAll(const TargetsMessage& aMessage)
{
  for (const std::vector<HostId>* group : { &this->sameZonePeers, &this->otherZonePeers }) {
    for (const HostId& peer : *group) {
      this->outgoing.push_back({ peer, aMessage });
    }
  }
}

TargetsMessage
TargetBroadcaster::OwnRecords() const
{
  TargetsMessage message{ TargetsMessageKind::Records, {}, {} };
  for (const auto& [target, home] : this->homes) {
    const TargetRecord* record = home == this->self ? this->registry.Find(target) : nullptr;
    if (record != nullptr) {
      message.records.push_back(*record);
    }
  }
  return message;
}

TargetKeepalive
TargetBroadcaster::KeepaliveOf(const TargetRecord& aRecord) const
{
  return TargetKeepalive{
    ShortHash(aRecord.id.Value()), FingerprintOfTarget(aRecord), aRecord.sequence, aRecord.load
  };
}

bool
TargetBroadcaster::IsOwn(const TargetId& aTarget) const
{
  const auto found = this->homes.find(aTarget);
  return found != this->homes.end() && found->second == this->self;
}

} // namespace damasklink
