// One replica of a replicated log: elections, replication, snapshots and membership changes.
// Performs no I/O.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "damasklink/coordination/AgreementMessage.h"
#include "damasklink/coordination/RaftLog.h"
#include "damasklink/state/Clock.h"
#include "damasklink/state/Error.h"

namespace damasklink {

struct RaftTiming
{
  Duration heartbeat = std::chrono::milliseconds(500);
  // Bounds of the random election timeout. A replica that heard its leader within the minimum votes
  // for no other candidate, unless that leader transfers its leadership. The leader's lease is a
  // tenth shorter than the minimum, which tolerates clocks whose rates differ by that much.
  Duration electionTimeoutMin = std::chrono::milliseconds(1000);
  Duration electionTimeoutMax = std::chrono::milliseconds(2000);
};

struct RaftOptions
{
  GroupId group;
  HostId host;
  ReplicaId replica;
  RaftTiming timing;
  // Seed of the random election timeouts.
  std::uint64_t seed = 1;
  // Maximum size of a snapshot piece and, approximately, of an append request, in bytes. Over a
  // link of 10 Mbit/s it is answered before the next heartbeat, which would repeat it.
  std::size_t maxMessageBytes = std::size_t{ 64 } * 1024;
  // Bytes of entries that are sent to a replica before it acknowledges them; a larger entry is sent
  // alone. Far below what a connection holds, and heartbeats to several replicas that lag are not
  // delayed by an election timeout on a link of 10 Mbit/s.
  std::size_t maxBytesInFlight = std::size_t{ 128 } * 1024;
  // Entries that stay in memory after a snapshot covers them, for replicas that lag behind: at most
  // so many, and at most so many bytes of commands. A replica that lags by more gets the snapshot.
  std::uint64_t trailingEntries = 1024;
  std::uint64_t trailingBytes = std::uint64_t{ 1024 } * 1024;
};

// Work for the owner of a RaftCore, in any order, except that `install` comes before `committed`.
struct RaftActions
{
  // To be written and synced; then call RaftCore::OnPersisted() with its number.
  std::optional<PersistBatch> persist;
  // To be sent at once. None of them depends on data that is not synced yet.
  std::vector<AgreementMessage> messages;
  // Snapshot that replaces the state of the state machines; null if there is none.
  SnapshotPtr install;
  // Entries to be applied in this order.
  std::vector<LogEntry> committed;
};

// How far a member's log is known to match that of its leader.
struct MemberProgress
{
  Member member;
  LogIndex match;
  // The committed entries after `match`.
  std::uint64_t missingEntries = 0;
  // Bytes of entries that were sent and are not acknowledged.
  std::size_t bytesInFlight = 0;
  // Whether it answered within the maximum election timeout.
  bool responsive = false;
};

enum class RaftRole
{
  Follower,
  PreCandidate,
  Candidate,
  Leader,
};

// The Raft algorithm with pre-vote, check-quorum, leader lease, learners and single-server
// membership changes (Ongaro, "Consensus: Bridging Theory and Practice", 2014).
//
//   core.Receive(message);
//   core.Tick();
//   RaftActions actions = core.TakeActions();
//
// The owner must write persist batches in the order in which it gets them. After a restart a
// replica is a new object that is made from the synced data. Not thread-safe.
class RaftCore
{
public:
  RaftCore(const Clock& aClock, RaftOptions aOptions, RecoveredLog aRecovered);

  // Forms the group with these voters, which must include this replica. Requires an empty log.
  void FormGroup(FormationId aFormation, const Membership& aVoters);

  // Adopts the formation of a group that another replica formed. Requires an empty log.
  void AdoptFormation(FormationId aFormation);

  // Processes a message that has this formation and is addressed to this replica.
  void Receive(const AgreementMessage& aMessage);

  // Must be called every few milliseconds.
  void Tick();

  // Must be called when the batch with this number and all earlier ones are synced.
  void OnPersisted(std::uint64_t aNumber);

  // Appends a command for a state machine (StateMachineId) to the log. Fails with NotLeader, in
  // which case the command is not in the log.
  Result<LogIndex> Propose(std::uint8_t aMachineId, ProposalId aProposal, std::string aCommand);

  // Appends a membership that differs from the newest one in one member. Returns false unless this
  // replica is a leader that has committed an entry of its term and has no other membership change
  // pending.
  bool ProposeMembership(const Membership& aMembership);

  // Compacts the log with a snapshot of the state after the entries that were returned in
  // `committed`, up to the snapshot's index.
  void Compact(SnapshotPtr aSnapshot);

  // Gives up the lease and makes an up-to-date voter start an election at once.
  void TransferLeadership();

  // Replies to a message of the same group once all changes up to now are synced.
  void ReplyWhenPersisted(const AgreementMessage& aTo, AgreementBody aBody);

  // Returns the work that has come up since the last call.
  RaftActions TakeActions();

  // Returns whether this replica may act as leader now: it leads, a quorum answered within its
  // lease, and all entries that were ever acknowledged have been returned for applying.
  bool LeaseHeld() const;

  RaftRole Role() const { return this->role; }
  Term CurrentTerm() const { return this->hardState.term; }
  FormationId Formation() const { return this->hardState.formation; }
  // Returns the host of the leader, empty if unknown.
  HostId LeaderHost() const;
  // Returns the index of the last committed entry.
  LogIndex Committed() const { return this->committed; }
  // Returns the index of the last entry that was returned in `committed` or covered by `install`.
  LogIndex DeliveredIndex() const { return this->deliveredIndex; }
  const RaftLog& Log() const { return this->log; }
  bool IsVoter() const { return this->log.NewestMembership().IsVoter(this->options.replica); }
  // Returns how many votes this replica has as a candidate, its own included.
  std::size_t Votes() const { return this->votes.size(); }
  // Returns whether a leader was heard within the maximum election timeout.
  bool HasRecentLeader() const;
  // Returns the index up to which the member's log is known to match this one. Zero unless this
  // replica is the leader.
  LogIndex MatchOf(ReplicaId aReplica) const;
  // Returns whether the member answered within the maximum election timeout. Always true for this
  // replica, and false for others unless this replica is the leader.
  bool HeardRecentlyFrom(ReplicaId aReplica) const;
  // Returns the progress of all other members. Empty unless this replica is the leader.
  std::vector<MemberProgress> MembersProgress() const;

private:
  // Entries that were sent to a replica in one message.
  struct SentEntries
  {
    LogIndex last;
    std::size_t bytes = 0;
  };

  struct Progress
  {
    HostId host;
    LogIndex match;
    LogIndex next;
    // Entries before `next` that are not acknowledged; empty while probing.
    std::deque<SentEntries> inFlight;
    std::size_t bytesInFlight = 0;
    // If set, no further entries are sent before the next answer or heartbeat.
    bool probing = true;
    // The snapshot that is being sent, and the offset of its next piece.
    std::shared_ptr<const std::string> snapshotBytes;
    LogIndex snapshotIndex;
    Term snapshotTerm;
    std::uint64_t snapshotOffset = 0;
    // When the latest answered request was sent, by this host's clock.
    MonotonicTime answeredSentAt;
    MonotonicTime heardAt;
  };

  struct DeferredMessage
  {
    std::uint64_t afterBatch = 0;
    AgreementMessage message;
  };

  // A batch that TakeActions() returned and that is not synced yet.
  struct PendingBatch
  {
    std::uint64_t number = 0;
    // Last index of the log once the batch is synced.
    LogIndex end;
    MonotonicTime since;
  };

  // Elections (RaftCore.cpp).
  void Handle(const AgreementMessage& aMessage, const PreVoteRequest& aBody);
  void Handle(const AgreementMessage& aMessage, const PreVoteAnswer& aBody);
  void Handle(const AgreementMessage& aMessage, const VoteRequest& aBody);
  void Handle(const AgreementMessage& aMessage, const VoteAnswer& aBody);
  void Handle(const AgreementMessage& aMessage, const TimeoutNow& aBody);
  void ResetElectionTimer();
  void StartPreVote();
  void StartElection(bool aTransfer, bool aAllLeaderless = false);
  void CheckAllLeaderless();
  Duration LeaderlessRetryDelay();
  bool IsLeaderless() const;
  void CountLeaderless(ReplicaId aVoter);
  void CountVote(ReplicaId aVoter);
  void BecomeFollower(Term aTerm, ReplicaId aLeader);
  void BecomeLeader();
  bool IsUpToDate(LogIndex aLastIndex, Term aLastTerm) const;
  bool HeardLeaderRecently() const;

  // Follower (RaftFollower.cpp).
  void Handle(const AgreementMessage& aMessage, const AppendRequest& aBody);
  void Handle(const AgreementMessage& aMessage, const SnapshotPiece& aBody);
  void AcceptLeader(const AgreementMessage& aMessage);
  void StoreEntries(const AppendRequest& aBody);
  void TruncatePending(LogIndex aLast);
  LogIndex RetryHint(const AppendRequest& aBody) const;
  void InstallSnapshot(const AgreementMessage& aMessage, const SnapshotPiece& aBody);

  // Leader (RaftLeader.cpp).
  void Handle(const AgreementMessage& aMessage, const AppendAnswer& aBody);
  void Handle(const AgreementMessage& aMessage, const SnapshotAnswer& aBody);
  Progress* RecordAnswer(const AgreementMessage& aMessage, std::uint64_t aSentAt);
  bool HeardRecently(const Progress& aProgress) const;
  void AppendAsLeader(LogEntry aEntry);
  void UpdateProgressMembers();
  bool HasRoom(const Progress& aProgress) const;
  static void AddInFlight(Progress& aProgress, const std::vector<LogEntry>& aEntries);
  static void RemoveInFlight(Progress& aProgress, LogIndex aUntil);
  void SendNewEntries();
  void SendHeartbeats();
  void SendIndependentHeartbeat(ReplicaId aTo, const Progress& aProgress);
  void SendAppend(ReplicaId aTo, Progress& aProgress, bool aHeartbeat);
  void StartSnapshot(Progress& aProgress);
  void SendSnapshotPiece(ReplicaId aTo, Progress& aProgress);
  void AdvanceCommitted();
  void CheckQuorum();
  bool IsDiskHung() const;
  void SendTimeoutNowWhenReady();
  // Returns the highest value that a quorum of voters has reached. aOwn is the value of this
  // replica.
  template<typename Value, typename Field>
  Value QuorumValue(Value aOwn, Field aField) const;

  // Ignores bodies that replicas do not handle.
  template<typename Body>
  void Handle(const AgreementMessage& /*aMessage*/, const Body& /*aBody*/)
  {
  }

  AgreementMessage MakeMessage(ReplicaId aTo, const HostId& aHost, AgreementBody aBody) const;
  void SendImmediately(ReplicaId aTo, const HostId& aHost, AgreementBody aBody);
  // Sends the message once all changes up to now are synced.
  void SendWhenPersisted(ReplicaId aTo, const HostId& aHost, AgreementBody aBody);
  void SendToOtherVoters(const AgreementBody& aBody, bool aWhenPersisted);
  std::optional<PersistBatch> TakeBatch();
  void DeliverCommitted(RaftActions& aActions);

  const Clock& clock;
  RaftOptions options;
  std::mt19937_64 random;
  RaftLog log;
  HardState hardState;

  RaftRole role = RaftRole::Follower;
  ReplicaId leader;
  HostId leaderHost;
  std::set<ReplicaId> votes;
  // Voters that reported in this term that they have been leaderless since they started, or were
  // lost with their disk.
  std::set<ReplicaId> leaderless;
  MonotonicTime electionAt;
  MonotonicTime leaderHeardAt;
  MonotonicTime startedAt;
  // When a replica that has been leaderless since it started asks the other voters again.
  MonotonicTime nextLeaderlessCheck;
  // Whether this replica has led or heard a leader since it started.
  bool hadLeader = false;

  std::map<ReplicaId, Progress> progress;
  MonotonicTime heartbeatAt;
  LogIndex termStartIndex;
  bool transferringLeadership = false;
  bool timeoutNowSent = false;
  MonotonicTime transferDeadline;
  std::shared_ptr<const std::string> encodedSnapshot;
  LogIndex encodedSnapshotIndex;

  // The snapshot that is being received.
  std::string incomingSnapshot;
  LogIndex incomingIndex;
  Term incomingTerm;

  LogIndex committed;
  LogIndex deliveredIndex;
  SnapshotPtr snapshotToInstall;

  // State that is not yet in any batch.
  bool hardStateChanged = false;
  SnapshotPtr snapshotToPersist;
  bool snapshotReplacesLog = false;
  LogIndex firstUnwritten;
  std::uint64_t batchesTaken = 0;
  std::uint64_t batchesSynced = 0;
  std::deque<PendingBatch> pendingBatches;
  LogIndex persistedIndex;

  std::vector<AgreementMessage> outbox;
  std::vector<AgreementMessage> awaitingBatch;
  std::deque<DeferredMessage> deferred;
};

} // namespace damasklink
