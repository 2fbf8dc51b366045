// One replica of a replicated log: elections, replication, snapshots, membership. Without I/O.
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
  // A replica that heard its leader within this time helps no other into office; the leader's
  // lease is a tenth shorter, which bears clocks that differ by that much in rate.
  Duration electionTimeoutMin = std::chrono::milliseconds(1000);
  Duration electionTimeoutMax = std::chrono::milliseconds(2000);
};

struct RaftOptions
{
  GroupId group;
  HostId host;
  ReplicaId replica;
  RaftTiming timing;
  // Seeds the election timeouts.
  std::uint64_t seed = 1;
  // Longest snapshot piece and, roughly, longest append.
  std::size_t maxMessageBytes = std::size_t{ 256 } * 1024;
  // Entries kept in memory behind a snapshot.
  std::uint64_t trailingEntries = 1024;
};

// What the owner has to do, in any order but for the commitments: `install`, then `committed`.
struct RaftActions
{
  // To write; RaftCore::OnPersisted() tells that its number is synced.
  std::optional<PersistBatch> persist;
  // To send at once; none of them depends on what is not yet synced.
  std::vector<AgreementMessage> messages;
  // The state that replaces that of the machines; null for none.
  SnapshotPtr install;
  // To apply in order.
  std::vector<LogEntry> committed;
};

enum class RaftRole
{
  Follower,
  PreCandidate,
  Candidate,
  Leader,
};

// The Raft algorithm with pre-vote, check-quorum, leader lease, learners and single-step changes
// of membership (Ongaro, "Consensus: Bridging Theory and Practice", 2014).
//
//   core.Receive(message);
//   core.Tick();
//   RaftActions actions = core.TakeActions();
//
// Requires that a persist batch is written after all earlier ones. A restarted replica is a new
// object made from what was synced.
class RaftCore
{
public:
  RaftCore(const Clock& aClock, RaftOptions aOptions, RecoveredLog aRecovered);

  // Founds the group with these voters, this replica among them. Requires an empty log.
  void FormGroup(FormationId aFormation, const Membership& aVoters);

  // Takes the formation of a group that another replica founded. Requires an empty log.
  void AdoptFormation(FormationId aFormation);

  // Takes a message of this formation to this replica.
  void Receive(const AgreementMessage& aMessage);

  // Requires to be called every few milliseconds.
  void Tick();

  void OnPersisted(std::uint64_t aNumber);

  // Appends a command to the log. Fails with NotLeader; then it is surely not in the log.
  Result<LogIndex> Propose(std::uint8_t aPart, ProposalId aProposal, std::string aCommand);

  // Appends a membership that differs from the newest in one member. Returns whether it did: only
  // a leader that has committed in its term and has no other change under way does.
  bool ProposeMembership(const Membership& aMembership);

  // Takes a snapshot of all that was handed out in `committed` up to its index.
  void Compact(SnapshotPtr aSnapshot);

  // Gives up the lease and lets the most advanced voter call an election.
  void TransferLeadership();

  // Answers a message of the same group once all that has changed so far is synced.
  void ReplyWhenPersisted(const AgreementMessage& aTo, AgreementBody aBody);

  RaftActions TakeActions();

  // Returns whether this replica may act for the group now: it leads, heard a quorum within its
  // lease, and everything that was ever acknowledged has been handed out for applying.
  bool LeaseHeld() const;

  RaftRole Role() const { return this->role; }
  Term CurrentTerm() const { return this->hardState.term; }
  FormationId Formation() const { return this->hardState.formation; }
  // Returns the host of the leader, empty while unknown.
  HostId LeaderHost() const;
  LogIndex Committed() const { return this->committed; }
  LogIndex DeliveredIndex() const { return this->deliveredIndex; }
  const RaftLog& Log() const { return this->log; }
  bool IsVoter() const { return this->log.NewestMembership().IsVoter(this->options.replica); }
  // Returns whether a leader was heard within the longest election timeout.
  bool HasRecentLeader() const;
  // Returns up to where the member's log is known to be equal. Only a leader knows.
  LogIndex MatchOf(ReplicaId aReplica) const;
  // Returns whether the member answered within the longest election timeout; true for this replica.
  // Only a leader knows.
  bool HeardRecentlyFrom(ReplicaId aReplica) const;

private:
  struct Progress
  {
    HostId host;
    LogIndex match;
    LogIndex next;
    // Sends no further entries before the next answer or heartbeat.
    bool probing = true;
    // The snapshot on its way, and how far it got.
    std::shared_ptr<const std::string> snapshotBytes;
    LogIndex snapshotIndex;
    Term snapshotTerm;
    std::uint64_t snapshotOffset = 0;
    // When the newest answered request was sent, by this host's clock.
    MonotonicTime answeredSentAt;
    MonotonicTime heardAt;
  };

  struct DeferredMessage
  {
    std::uint64_t afterBatch = 0;
    AgreementMessage message;
  };

  // A batch that was handed out and is not synced yet.
  struct PendingBatch
  {
    std::uint64_t number = 0;
    // The end of the log once it is synced.
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
  void StartElection(bool aHandover, bool aAllLeaderless = false);
  void CheckAllLeaderless();
  Duration LeaderlessRetryDelay();
  bool IsLeaderless() const;
  void CountLeaderless(ReplicaId aVoter);
  void CountVote(ReplicaId aVoter);
  void BecomeFollower(Term aTerm, ReplicaId aLeader);
  void BecomeLeader();
  bool IsUpToDate(LogIndex aLastIndex, Term aLastTerm) const;
  bool HeardLeaderRecently() const;

  // As a follower (RaftFollower.cpp).
  void Handle(const AgreementMessage& aMessage, const AppendRequest& aBody);
  void Handle(const AgreementMessage& aMessage, const SnapshotPiece& aBody);
  void AcceptLeader(const AgreementMessage& aMessage);
  void StoreEntries(const AppendRequest& aBody);
  void TruncatePending(LogIndex aLast);
  LogIndex RetryHint(const AppendRequest& aBody) const;
  void InstallSnapshot(const AgreementMessage& aMessage, const SnapshotPiece& aBody);

  // As a leader (RaftLeader.cpp).
  void Handle(const AgreementMessage& aMessage, const AppendAnswer& aBody);
  void Handle(const AgreementMessage& aMessage, const SnapshotAnswer& aBody);
  Progress* RecordAnswer(const AgreementMessage& aMessage, std::uint64_t aSentAt);
  bool HeardRecently(const Progress& aProgress) const;
  void AppendAsLeader(LogEntry aEntry);
  void UpdateProgressMembers();
  void SendNewEntries();
  void SendHeartbeats();
  void SendAppend(ReplicaId aTo, Progress& aProgress, bool aHeartbeat);
  void StartSnapshot(Progress& aProgress);
  void SendSnapshotPiece(ReplicaId aTo, Progress& aProgress);
  void AdvanceCommitted();
  void CheckQuorum();
  bool IsDiskHung() const;
  void SendTimeoutNowWhenReady();
  // Returns the value that a quorum of voters reaches; aOwn stands for this replica.
  template<typename Value, typename Field>
  Value QuorumValue(Value aOwn, Field aField) const;

  // Bodies that replicas do not handle.
  template<typename Body>
  void Handle(const AgreementMessage& /*aMessage*/, const Body& /*aBody*/)
  {
  }

  AgreementMessage MakeMessage(ReplicaId aTo, const HostId& aHost, AgreementBody aBody) const;
  void SendImmediately(ReplicaId aTo, const HostId& aHost, AgreementBody aBody);
  // Sends once all that has changed so far is synced.
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
  // Voters that have said in this term that they are leaderless since they started, or are gone.
  std::set<ReplicaId> leaderless;
  MonotonicTime electionAt;
  MonotonicTime leaderHeardAt;
  MonotonicTime startedAt;
  // When a replica that is leaderless since it started asks the others next.
  MonotonicTime nextLeaderlessCheck;
  // Whether it has led or heard a leader since it started.
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

  // What is not yet in any batch.
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
