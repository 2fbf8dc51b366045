// How the accepted configuration reaches every host and stays there.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "damasklink/coordination/HostMembership.h"
#include "damasklink/state/RevisionedTree.h"

namespace damasklink {

enum class ConfigMessageKind : std::uint8_t
{
  Delta = 1,         // One change on its way around the ring of hosts.
  Query = 2,         // "I am at this revision": answered by what is newer, or by a Report.
  Deltas = 3,        // The changes that follow the asker's revision.
  FullTree = 4,      // The whole tree.
  Report = 5,        // "I am at this revision."
  RingCompleted = 6, // To the origin: the delta of this revision went around the whole ring.
};

// A message between two hosts about the tree.
struct ConfigMessage
{
  ConfigMessageKind kind = ConfigMessageKind::Report;
  Revision revision;
  // How long ago the leader was known to agree with the sender's revision.
  Duration confirmedAge{ 0 };
  // Delta: the host that sent it first, and when it was accepted.
  HostId origin;
  WallTime acceptedAt;
  // Delta, Deltas: packed changes. Whole: a packed tree.
  std::string body;

  bool operator==(const ConfigMessage&) const = default;
};

struct OutgoingConfigMessage
{
  HostId to;
  ConfigMessage message;
};

// Hears of each revision that comes into force on this host, in rising order.
class TreeObserver
{
public:
  virtual ~TreeObserver() = default;

  // One subtree changed; aBefore is what it was.
  virtual void OnSubtreeChanged(const RevisionedTree& aTree,
                                const TreeChange& aChange,
                                const Subtree& aBefore) = 0;

  // Anything may have changed.
  virtual void OnTreeReplaced(const RevisionedTree& aTree) = 0;
};

// Holds the tree that is in force on this host and brings newer ones in and onward.
//
//   ConfigDistributor spread(clock, settings, membership, observer);
//   spread.OnCommitted(change, leading);    // From the replicated machine.
//   spread.OnMessage(from, message);        // From a peer.
//   spread.OnTick(leaseHeld);
//   for (auto& outgoing : spread.TakeOutgoing()) { ... }
//
// - A revision is only ever replaced by a higher one.
// - A started host asks all peers, takes the highest of their trees and the one it was given from
//   disk, and puts it in force once all have answered or kJoinLimit is over.
// - The leader sends a change to the next host of the ring of (zone, host), each host passes it on
//   once, the last one tells the leader. So it enters each zone once and costs one copy a host. A
//   ring that does not close within kRingLimit makes the leader ask everybody.
// - Heartbeats carry revisions; who sees a higher one asks for what is missing.
// - The leader's word that a revision is the newest travels with heartbeats and its age adds up;
//   Stale() once it is older than kStaleAfter.
class ConfigDistributor
{
public:
  static constexpr Duration kJoinLimit = std::chrono::seconds(2);
  static constexpr Duration kRingLimit = std::chrono::seconds(1);
  static constexpr Duration kStaleAfter = std::chrono::seconds(15);
  static constexpr Duration kAskInterval = std::chrono::milliseconds(200);
  // Changes kept for peers that fell behind; beyond them they get the whole tree.
  static constexpr std::size_t kKeptChanges = 1024;
  // Peers asked at the start, those of this zone first.
  static constexpr std::size_t kMostAsked = 16;

  ConfigDistributor(const Clock& aClock,
                    const HostSettings& aSettings,
                    const HostMembership& aMembership,
                    TreeObserver& aObserver);

  // Takes a tree from disk or from a snapshot of the group.
  void OnTree(const RevisionedTree& aTree);

  // Takes a change that the control group committed.
  void OnCommitted(const TreeChange& aChange, bool aLeading);

  void OnMessage(const HostId& aFrom, const ConfigMessage& aMessage);

  // Takes what a heartbeat says of a peer.
  void OnPeerRevision(const HostId& aFrom, Revision aRevision, Duration aConfirmedAge);

  // aLeaseHeld: this host leads the control group and may act.
  void OnTick(bool aLeaseHeld);

  // Asks all peers for their revisions, to tell where one is in force.
  void QueryAllPeers();

  // Returns what is to be sent, and forgets it.
  std::vector<OutgoingConfigMessage> TakeOutgoing();

  const RevisionedTree& Tree() const { return this->tree; }
  // Whether the tree is in force; before that this host serves nobody.
  bool Joined() const { return this->joined; }
  // Returns the revision that is in force on this host, zero before it joined.
  Revision InForce() const;
  // Returns how long ago the leader was known to agree with this host's revision.
  Duration ConfirmedAge() const;
  bool Stale() const { return this->ConfirmedAge() > kStaleAfter; }
  // Returns the highest revision that each peer was heard to have.
  const std::map<HostId, Revision>& PeerRevisions() const { return this->peerRevisions; }
  // Returns the wall time at which the newest delta was accepted, for measuring the spread.
  std::optional<WallTime> TakeAcceptedAt();

private:
  struct PendingRing
  {
    Revision revision;
    MonotonicTime since;
  };

  void Send(const HostId& aTo, ConfigMessage aMessage);
  ConfigMessage MakeMessage(ConfigMessageKind aKind) const;
  void PassOn(const ConfigMessage& aDelta);
  void CompleteRing(Revision aRevision);
  void HandleDelta(const HostId& aFrom, const ConfigMessage& aMessage);
  void HandleDeltas(const ConfigMessage& aMessage);
  void HandleFullTree(const ConfigMessage& aMessage);
  void Answer(const HostId& aFrom, Revision aHeld);
  bool CanCatchUp(Revision aHeld) const;
  // Installs the change when it is the next one, and what was waiting for it.
  void Install(const TreeChange& aChange);
  void InstallNext(const TreeChange& aChange);
  void QueryRateLimited(const HostId& aPeer);
  void Join();

  const Clock& clock;
  HostId self;
  std::vector<HostId> peers;
  const HostMembership& membership;
  TreeObserver& observer;
  RevisionedTree tree;
  bool joined = false;
  MonotonicTime joinDeadline;
  std::map<HostId, Revision> peerRevisions;
  std::vector<HostId> asked;
  std::deque<TreeChange> recent;
  // Changes that came before the one they follow.
  std::map<Revision, TreeChange> waiting;
  Revision passedOn;
  std::optional<PendingRing> ring;
  bool led = false;
  MonotonicTime confirmedAt;
  MonotonicTime nextAsk;
  std::optional<WallTime> acceptedAt;
  std::vector<OutgoingConfigMessage> outgoing;
};

} // namespace damasklink
