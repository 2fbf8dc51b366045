#include "damasklink/coordination/ConfigDistributor.h"

#include <algorithm>

namespace damasklink {
namespace {

constexpr std::size_t kMostWaiting = 256;

// Peers of this host's zone first: they are the nearest, and all that a cut-off zone has.
std::vector<HostId>
OrderedPeers(const HostSettings& aSettings)
{
  std::vector<HostId> near;
  std::vector<HostId> far;
  for (const PeerSettings& peer : aSettings.peers) {
    if (peer.host != aSettings.host) {
      (peer.zone == aSettings.zone ? near : far).push_back(peer.host);
    }
  }
  near.insert(near.end(), far.begin(), far.end());
  return near;
}

} // namespace

ConfigDistributor::ConfigDistributor(const Clock& aClock,
                                     const HostSettings& aSettings,
                                     const HostMembership& aMembership,
                                     TreeObserver& aObserver)
  : clock(aClock)
  , self(aSettings.host)
  , peers(OrderedPeers(aSettings))
  , membership(aMembership)
  , observer(aObserver)
  , joinDeadline(aClock.MonotonicNow() + kJoinLimit)
  , asked(this->peers.begin(),
          this->peers.begin() +
            static_cast<std::ptrdiff_t>(std::min(this->peers.size(), kMostAsked)))
  // Never confirmed: as old as can be told without overflow.
  , confirmedAt(aClock.MonotonicNow() - 2 * kStaleAfter)
  , nextAsk(aClock.MonotonicNow())
{
}

void
ConfigDistributor::OnTree(const RevisionedTree& aTree)
{
  if (aTree.Current() <= this->tree.Current()) {
    return;
  }
  this->tree = aTree;
  this->recent.clear();
  this->waiting.erase(this->waiting.begin(), this->waiting.upper_bound(aTree.Current()));
  if (this->joined) {
    this->observer.OnTreeReplaced(this->tree);
  }
}

void
ConfigDistributor::OnCommitted(const TreeChange& aChange, bool aLeading)
{
  this->Install(aChange);
  if (!aLeading || aChange.revision <= this->passedOn) {
    return;
  }
  ConfigMessage delta = this->MakeMessage(ConfigMessageKind::Delta);
  delta.revision = aChange.revision;
  delta.confirmedAge = Duration(0);
  delta.origin = this->self;
  delta.acceptedAt = this->clock.WallNow();
  delta.body = PackChange(aChange);
  this->PassOn(delta);
  if (!this->ring && !this->peers.empty()) {
    this->ring = PendingRing{ aChange.revision, this->clock.MonotonicNow() };
  } else if (this->ring) {
    this->ring->revision = aChange.revision;
  }
}

void
ConfigDistributor::OnMessage(const HostId& aFrom, const ConfigMessage& aMessage)
{
  switch (aMessage.kind) {
    case ConfigMessageKind::Delta:
      this->HandleDelta(aFrom, aMessage);
      return;
    case ConfigMessageKind::Query:
      // What the asker holds need not be in force there, and it still owes its answer.
      this->Answer(aFrom, aMessage.revision);
      if (aMessage.revision > this->tree.Current()) {
        this->QueryRateLimited(aFrom);
      }
      return;
    case ConfigMessageKind::Deltas:
      this->HandleDeltas(aMessage);
      break;
    case ConfigMessageKind::FullTree:
      this->HandleFullTree(aMessage);
      break;
    case ConfigMessageKind::Report:
      break;
    case ConfigMessageKind::RingCompleted:
      this->CompleteRing(aMessage.revision);
      return;
  }
  std::erase(this->asked, aFrom);
  this->OnPeerRevision(aFrom, aMessage.revision, aMessage.confirmedAge);
}

void
ConfigDistributor::CompleteRing(Revision aRevision)
{
  if (!this->ring) {
    return;
  }
  if (aRevision >= this->ring->revision) {
    this->ring.reset();
  } else {
    // Later changes are still on their way round.
    this->ring->since = this->clock.MonotonicNow();
  }
}

void
ConfigDistributor::OnPeerRevision(const HostId& aFrom, Revision aRevision, Duration aConfirmedAge)
{
  Revision& known = this->peerRevisions[aFrom];
  known = std::max(known, aRevision);
  if (aRevision > this->tree.Current()) {
    this->QueryRateLimited(aFrom);
    return;
  }
  // Of an older revision the leader's word tells nothing about this host's.
  if (aRevision == this->tree.Current()) {
    this->confirmedAt = std::max(this->confirmedAt, this->clock.MonotonicNow() - aConfirmedAge);
  }
}

void
ConfigDistributor::OnTick(bool aLeaseHeld)
{
  const MonotonicTime now = this->clock.MonotonicNow();
  if (aLeaseHeld) {
    this->confirmedAt = now;
  }
  if (aLeaseHeld && !this->led) {
    // The former leader may have died with a delta half way round.
    this->QueryAllPeers();
  }
  this->led = aLeaseHeld;
  if (this->ring && now - this->ring->since >= kRingLimit) {
    this->ring.reset();
    this->QueryAllPeers();
  }
  if (!this->joined && (this->asked.empty() || now >= this->joinDeadline)) {
    this->Join();
  } else if (!this->joined && now >= this->nextAsk) {
    this->nextAsk = now + kAskInterval;
    for (const HostId& peer : this->asked) {
      this->Send(peer, this->MakeMessage(ConfigMessageKind::Query));
    }
  }
}

void
ConfigDistributor::QueryAllPeers()
{
  for (const HostId& peer : this->peers) {
    this->Send(peer, this->MakeMessage(ConfigMessageKind::Query));
  }
}

std::vector<OutgoingConfigMessage>
ConfigDistributor::TakeOutgoing()
{
  return std::exchange(this->outgoing, {});
}

Revision
ConfigDistributor::InForce() const
{
  return this->joined ? this->tree.Current() : Revision();
}

Duration
ConfigDistributor::ConfirmedAge() const
{
  return this->clock.MonotonicNow() - this->confirmedAt;
}

std::optional<WallTime>
ConfigDistributor::TakeAcceptedAt()
{
  return std::exchange(this->acceptedAt, std::nullopt);
}

void
ConfigDistributor::Send(const HostId& aTo, ConfigMessage aMessage)
{
  this->outgoing.push_back(OutgoingConfigMessage{ aTo, std::move(aMessage) });
}

ConfigMessage
ConfigDistributor::MakeMessage(ConfigMessageKind aKind) const
{
  ConfigMessage message;
  message.kind = aKind;
  message.revision = this->tree.Current();
  message.confirmedAge = this->ConfirmedAge();
  return message;
}

void
ConfigDistributor::PassOn(const ConfigMessage& aDelta)
{
  if (aDelta.revision <= this->passedOn) {
    return;
  }
  this->passedOn = aDelta.revision;
  const HostId next = this->membership.NextUp();
  if (next.Empty()) {
    return;
  }
  if (next != aDelta.origin) {
    this->Send(next, aDelta);
    return;
  }
  ConfigMessage closed = this->MakeMessage(ConfigMessageKind::RingCompleted);
  closed.revision = aDelta.revision;
  this->Send(aDelta.origin, closed);
}

void
ConfigDistributor::HandleDelta(const HostId& aFrom, const ConfigMessage& aMessage)
{
  auto change = UnpackChange(aMessage.body);
  if (!change) {
    return;
  }
  this->PassOn(aMessage);
  Revision& known = this->peerRevisions[aFrom];
  known = std::max(known, aMessage.revision);
  if (change.value().revision > this->tree.Current()) {
    this->acceptedAt = aMessage.acceptedAt;
    this->Install(change.value());
  }
  if (change.value().revision > this->tree.Current()) {
    // Changes before this one were lost on the way.
    this->QueryRateLimited(aFrom);
  } else if (aMessage.revision == this->tree.Current()) {
    this->confirmedAt =
      std::max(this->confirmedAt, this->clock.MonotonicNow() - aMessage.confirmedAge);
  }
}

void
ConfigDistributor::HandleDeltas(const ConfigMessage& aMessage)
{
  CompactReader reader(aMessage.body);
  const std::size_t count = reader.Count();
  for (std::size_t index = 0; index < count && !reader.Bad(); ++index) {
    auto change = UnpackChange(reader.Text());
    if (!change) {
      return;
    }
    this->Install(change.value());
  }
}

void
ConfigDistributor::HandleFullTree(const ConfigMessage& aMessage)
{
  if (aMessage.revision <= this->tree.Current()) {
    return;
  }
  CompactReader reader(aMessage.body);
  const RevisionedTree whole = RevisionedTree::Unpack(reader);
  if (reader.AtCleanEnd()) {
    this->OnTree(whole);
  }
}

void
ConfigDistributor::Answer(const HostId& aFrom, Revision aHeld)
{
  if (aHeld >= this->tree.Current()) {
    ConfigMessage report = this->MakeMessage(ConfigMessageKind::Report);
    report.revision = this->InForce();
    this->Send(aFrom, std::move(report));
    return;
  }
  if (!this->CanCatchUp(aHeld)) {
    ConfigMessage whole = this->MakeMessage(ConfigMessageKind::FullTree);
    CompactWriter writer;
    this->tree.Pack(writer);
    whole.body = std::move(writer).Take();
    this->Send(aFrom, std::move(whole));
    return;
  }
  std::vector<std::string> packed;
  for (const TreeChange& change : this->recent) {
    if (change.revision > aHeld) {
      packed.push_back(PackChange(change));
    }
  }
  CompactWriter writer;
  writer.Number(packed.size());
  for (const std::string& change : packed) {
    writer.Text(change);
  }
  ConfigMessage deltas = this->MakeMessage(ConfigMessageKind::Deltas);
  deltas.body = std::move(writer).Take();
  this->Send(aFrom, std::move(deltas));
}

bool
ConfigDistributor::CanCatchUp(Revision aHeld) const
{
  return !this->recent.empty() && this->recent.front().revision <= aHeld.Next();
}

void
ConfigDistributor::Install(const TreeChange& aChange)
{
  if (aChange.revision <= this->tree.Current()) {
    return;
  }
  if (this->waiting.size() < kMostWaiting) {
    this->waiting.emplace(aChange.revision, aChange);
  }
  while (!this->waiting.empty()) {
    const auto first = this->waiting.begin();
    if (first->first > this->tree.Current().Next()) {
      return;
    }
    const TreeChange change = first->second;
    this->waiting.erase(first);
    if (change.revision == this->tree.Current().Next()) {
      this->InstallNext(change);
    }
  }
}

void
ConfigDistributor::InstallNext(const TreeChange& aChange)
{
  const Subtree before = this->tree.Get(aChange.subtree.name);
  this->tree.Apply(aChange);
  this->recent.push_back(aChange);
  if (this->recent.size() > kKeptChanges) {
    this->recent.pop_front();
  }
  if (this->joined) {
    this->observer.OnSubtreeChanged(this->tree, aChange, before);
  }
}

void
ConfigDistributor::QueryRateLimited(const HostId& aPeer)
{
  const MonotonicTime now = this->clock.MonotonicNow();
  if (now < this->nextAsk) {
    return;
  }
  this->nextAsk = now + kAskInterval;
  this->Send(aPeer, this->MakeMessage(ConfigMessageKind::Query));
}

void
ConfigDistributor::Join()
{
  this->joined = true;
  this->observer.OnTreeReplaced(this->tree);
}

} // namespace damasklink
