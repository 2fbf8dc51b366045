// Distributes the committed configuration tree to all hosts and keeps them up to date.
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
  Delta = 1,         // One change, forwarded around the ring of hosts.
  Query = 2,         // Requests newer revisions; answered by Deltas, FullTree or Report.
  Deltas = 3,        // The changes after the revision of the query.
  FullTree = 4,      // The full tree.
  Report = 5,        // The revision that is in force on the sender.
  RingCompleted = 6, // To the origin: the delta of this revision has passed the whole ring.
};

// A message between two hosts about the configuration tree.
struct ConfigMessage
{
  ConfigMessageKind kind = ConfigMessageKind::Report;
  Revision revision;
  // The time since the leader last confirmed the sender's revision as the newest one.
  Duration confirmedAge{ 0 };
  // Delta only: the leader, and when it started to distribute the change.
  HostId origin;
  WallTime acceptedAt;
  // Delta: one packed change. Deltas: a list of them. FullTree: a packed tree.
  std::string body;

  bool operator==(const ConfigMessage&) const = default;
};

struct OutgoingConfigMessage
{
  HostId to;
  ConfigMessage message;
};

// Receives each revision that comes into force on this host, in ascending order.
class TreeObserver
{
public:
  virtual ~TreeObserver() = default;

  // One subtree has changed; aBefore is its previous content.
  virtual void OnSubtreeChanged(const RevisionedTree& aTree,
                                const TreeChange& aChange,
                                const Subtree& aBefore) = 0;

  // The tree was replaced; any subtree may have changed.
  virtual void OnTreeReplaced(const RevisionedTree& aTree) = 0;
};

// Holds the configuration tree of this host, fetches newer revisions and forwards them.
//
//   ConfigDistributor distributor(clock, settings, membership, observer);
//   distributor.OnCommitted(change, leading);    // From the replicated state machine.
//   distributor.OnMessage(from, message);        // From a peer.
//   distributor.OnTick(leaseHeld);
//   for (auto& outgoing : distributor.TakeOutgoing()) { ... }
//
// - The revision of a host never decreases.
// - After its start a host queries up to kMostAsked peers. The highest revision among their trees
//   and the one loaded from disk comes into force once all of them have replied or kJoinLimit has
//   passed.
// - The leader sends a change to the next host of a ring that is ordered by (zone, host). Each host
//   forwards it once, and the last one notifies the leader. A change therefore enters each zone
//   once and is sent at most once by each host. If the leader is not notified within kRingLimit, it
//   queries all peers.
// - Heartbeats carry revisions; a host that receives a higher one requests the missing changes.
// - Heartbeats also carry the age of the leader's last confirmation that a revision is the newest.
//   The age adds up from host to host; Stale() returns true once it exceeds kStaleAfter.
//
// Not thread-safe.
class ConfigDistributor
{
public:
  static constexpr Duration kJoinLimit = std::chrono::seconds(2);
  static constexpr Duration kRingLimit = std::chrono::seconds(1);
  static constexpr Duration kStaleAfter = std::chrono::seconds(15);
  static constexpr Duration kAskInterval = std::chrono::milliseconds(200);
  // Recent changes kept for peers that are behind; a peer that needs older ones gets the full tree.
  static constexpr std::size_t kKeptChanges = 1024;
  // Peers queried at the start, those of this zone first.
  static constexpr std::size_t kMostAsked = 16;

  ConfigDistributor(const Clock& aClock,
                    const HostSettings& aSettings,
                    const HostMembership& aMembership,
                    TreeObserver& aObserver);

  // Installs a tree from disk or from a snapshot of the group, unless its revision is not higher.
  void OnTree(const RevisionedTree& aTree);

  // Installs a change that the control group has committed. aLeading: also sends it to the ring.
  void OnCommitted(const TreeChange& aChange, bool aLeading);

  void OnMessage(const HostId& aFrom, const ConfigMessage& aMessage);

  // Processes the revision and the confirmation age in a heartbeat of a peer.
  void OnPeerRevision(const HostId& aFrom, Revision aRevision, Duration aConfirmedAge);

  // Sends due queries and handles timeouts. aLeaseHeld: this host leads the control group and holds
  // its lease.
  void OnTick(bool aLeaseHeld);

  // Queries all peers, so that their replies report which revision is in force on each.
  void QueryAllPeers();

  // Returns the queued messages and clears the queue.
  std::vector<OutgoingConfigMessage> TakeOutgoing();

  const RevisionedTree& Tree() const { return this->tree; }
  // Returns whether the tree is in force; until then this host does not serve requests.
  bool Joined() const { return this->joined; }
  // Returns the revision that is in force on this host; zero until it has joined.
  Revision InForce() const;
  // Returns the time since the leader last confirmed this host's revision as the newest one.
  Duration ConfirmedAge() const;
  bool Stale() const { return this->ConfirmedAge() > kStaleAfter; }
  // Returns the highest revision that each peer has reported.
  const std::map<HostId, Revision>& PeerRevisions() const { return this->peerRevisions; }
  // Returns when the leader started to distribute the newest delta that arrived here, and clears
  // the value. Used to measure the distribution time.
  std::optional<WallTime> TakeAcceptedAt();

private:
  struct PendingRing
  {
    Revision revision;
    MonotonicTime since;
  };

  void Send(const HostId& aTo, ConfigMessage aMessage);
  ConfigMessage MakeMessage(ConfigMessageKind aKind) const;
  void Forward(const ConfigMessage& aDelta);
  void CompleteRing(Revision aRevision);
  void HandleDelta(const HostId& aFrom, const ConfigMessage& aMessage);
  void HandleDeltas(const ConfigMessage& aMessage);
  void HandleFullTree(const ConfigMessage& aMessage);
  void Answer(const HostId& aFrom, Revision aHeld);
  bool CanCatchUp(Revision aHeld) const;
  // Installs the change if it is the next one, together with buffered changes that follow it;
  // otherwise buffers it.
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
  // Peers that were queried at the start and have not replied yet.
  std::vector<HostId> unansweredPeers;
  std::deque<TreeChange> recentChanges;
  // Changes that arrived before their predecessors.
  std::map<Revision, TreeChange> buffered;
  Revision lastForwarded;
  // The newest change that this host, as leader, sent around the ring and that has not returned.
  std::optional<PendingRing> pendingRing;
  bool heldLease = false;
  MonotonicTime confirmedAt;
  MonotonicTime nextQuery;
  std::optional<WallTime> acceptedAt;
  std::vector<OutgoingConfigMessage> outgoing;
};

} // namespace damasklink
