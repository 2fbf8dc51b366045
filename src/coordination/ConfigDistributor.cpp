#include "damasklink/coordination/ConfigDistributor.h"

#include <algorithm>

namespace damasklink {
namespace {

constexpr std::size_t kMostBuffered = 256;

// Above this size, changes are compared with the whole tree. Packing that costs more than they do.
constexpr std::size_t kMaxUncomparedBytes = std::size_t{ 1024 } * 1024;

// Puts the peers of this host's zone first: they are the nearest ones, and the only ones that a
// partitioned zone can reach.
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

std::string
PackTree(const RevisionedTree& aTree)
{
  CompactWriter writer;
  aTree.Pack(writer);
  return std::move(writer).Take();
}

// Returns the changes after the revision, or nothing if the whole tree is smaller.
std::optional<std::string>
PackDeltas(const std::deque<TreeChange>& aChanges, Revision aHeld, const RevisionedTree& aTree)
{
  std::vector<std::string> packed;
  std::size_t bytes = 0;
  std::optional<std::size_t> treeBytes;
  for (const TreeChange& change : aChanges) {
    if (change.revision <= aHeld) {
      continue;
    }
    packed.push_back(PackChange(change));
    bytes += packed.back().size();
    if (bytes > kMaxUncomparedBytes && !treeBytes) {
      treeBytes = PackTree(aTree).size();
    }
    if (treeBytes && bytes >= *treeBytes) {
      return std::nullopt;
    }
  }
  CompactWriter writer;
  writer.Number(packed.size());
  for (const std::string& change : packed) {
    writer.Text(change);
  }
  return std::move(writer).Take();
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
  , unansweredPeers(this->peers.begin(),
                    this->peers.begin() +
                      static_cast<std::ptrdiff_t>(std::min(this->peers.size(), kMostAsked)))
  // No confirmation yet: older than kStaleAfter, without overflow.
  , confirmedAt(aClock.MonotonicNow() - 2 * kStaleAfter)
  , nextQuery(aClock.MonotonicNow())
{
}

void
ConfigDistributor::OnTree(const RevisionedTree& aTree)
{
  if (aTree.Current() <= this->tree.Current()) {
    return;
  }
  this->tree = aTree;
  this->recentChanges.clear();
  this->buffered.erase(this->buffered.begin(), this->buffered.upper_bound(aTree.Current()));
  if (this->joined) {
    this->observer.OnTreeReplaced(this->tree);
  }
}

void
ConfigDistributor::OnCommitted(const TreeChange& aChange, bool aLeading)
{
  this->Install(aChange);
  if (!aLeading || aChange.revision <= this->lastForwarded) {
    return;
  }
  ConfigMessage delta = this->MakeMessage(ConfigMessageKind::Delta);
  delta.revision = aChange.revision;
  delta.confirmedAge = Duration(0);
  delta.origin = this->self;
  delta.acceptedAt = this->clock.WallNow();
  delta.body = PackChange(aChange);
  this->Forward(delta);
  if (!this->pendingRing && !this->peers.empty()) {
    this->pendingRing = PendingRing{ aChange.revision, this->clock.MonotonicNow() };
  } else if (this->pendingRing) {
    this->pendingRing->revision = aChange.revision;
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
      // A query is no reply: the revision need not be in force on the peer, whose reply to this
      // host's own query is still due.
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
  std::erase(this->unansweredPeers, aFrom);
  this->OnPeerRevision(aFrom, aMessage.revision, aMessage.confirmedAge);
}

void
ConfigDistributor::CompleteRing(Revision aRevision)
{
  if (!this->pendingRing) {
    return;
  }
  if (aRevision >= this->pendingRing->revision) {
    this->pendingRing.reset();
  } else {
    // Later changes are still being forwarded.
    this->pendingRing->since = this->clock.MonotonicNow();
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
  // A confirmation of an older revision does not apply to the revision of this host.
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
  if (aLeaseHeld && !this->heldLease) {
    // The previous leader may have failed before a delta reached all hosts of the ring.
    this->QueryAllPeers();
  }
  this->heldLease = aLeaseHeld;
  if (this->pendingRing && now - this->pendingRing->since >= kRingLimit) {
    this->pendingRing.reset();
    this->QueryAllPeers();
  }
  if (!this->joined && (this->unansweredPeers.empty() || now >= this->joinDeadline)) {
    this->Join();
  } else if (!this->joined && now >= this->nextQuery) {
    this->nextQuery = now + kAskInterval;
    for (const HostId& peer : this->unansweredPeers) {
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
ConfigDistributor::Forward(const ConfigMessage& aDelta)
{
  if (aDelta.revision <= this->lastForwarded) {
    return;
  }
  this->lastForwarded = aDelta.revision;
  const HostId next = this->membership.NextHostUp();
  if (next.Empty()) {
    return;
  }
  if (next != aDelta.origin) {
    this->Send(next, aDelta);
    return;
  }
  ConfigMessage completed = this->MakeMessage(ConfigMessageKind::RingCompleted);
  completed.revision = aDelta.revision;
  this->Send(aDelta.origin, completed);
}

void
ConfigDistributor::HandleDelta(const HostId& aFrom, const ConfigMessage& aMessage)
{
  auto change = UnpackChange(aMessage.body);
  if (!change) {
    return;
  }
  this->Forward(aMessage);
  Revision& known = this->peerRevisions[aFrom];
  known = std::max(known, aMessage.revision);
  if (change.value().revision > this->tree.Current()) {
    this->acceptedAt = aMessage.acceptedAt;
    this->Install(change.value());
  }
  if (change.value().revision > this->tree.Current()) {
    // Changes before this one have been lost.
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
  const RevisionedTree fullTree = RevisionedTree::Unpack(reader);
  if (reader.AtCleanEnd()) {
    this->OnTree(fullTree);
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
  ConfigMessage answer = this->MakeMessage(ConfigMessageKind::Deltas);
  std::optional<std::string> deltas;
  if (this->CanCatchUp(aHeld)) {
    deltas = PackDeltas(this->recentChanges, aHeld, this->tree);
  }
  if (deltas) {
    answer.body = std::move(*deltas);
  } else {
    answer.kind = ConfigMessageKind::FullTree;
    answer.body = PackTree(this->tree);
  }
  this->Send(aFrom, std::move(answer));
}

bool
ConfigDistributor::CanCatchUp(Revision aHeld) const
{
  return !this->recentChanges.empty() && this->recentChanges.front().revision <= aHeld.Next();
}

void
ConfigDistributor::Install(const TreeChange& aChange)
{
  if (aChange.revision <= this->tree.Current()) {
    return;
  }
  if (this->buffered.size() < kMostBuffered) {
    this->buffered.emplace(aChange.revision, aChange);
  }
  while (!this->buffered.empty()) {
    const auto first = this->buffered.begin();
    if (first->first > this->tree.Current().Next()) {
      return;
    }
    const TreeChange change = first->second;
    this->buffered.erase(first);
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
  this->recentChanges.push_back(aChange);
  if (this->recentChanges.size() > kKeptChanges) {
    this->recentChanges.pop_front();
  }
  if (this->joined) {
    this->observer.OnSubtreeChanged(this->tree, aChange, before);
  }
}

void
ConfigDistributor::QueryRateLimited(const HostId& aPeer)
{
  const MonotonicTime now = this->clock.MonotonicNow();
  if (now < this->nextQuery) {
    return;
  }
  this->nextQuery = now + kAskInterval;
  this->Send(aPeer, this->MakeMessage(ConfigMessageKind::Query));
}

void
ConfigDistributor::Join()
{
  this->joined = true;
  this->observer.OnTreeReplaced(this->tree);
}

} // namespace damasklink
