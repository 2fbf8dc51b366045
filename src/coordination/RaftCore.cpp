#include "damasklink/coordination/RaftCore.h"

#include <cassert>

#include "damasklink/state/Text.h"

namespace damasklink {

RaftCore::RaftCore(const Clock& aClock, RaftOptions aOptions, RecoveredLog aRecovered)
  : clock(aClock)
  , options(std::move(aOptions))
  , random(this->options.seed)
  , log(aRecovered.snapshot, std::move(aRecovered.entries))
  , hardState(aRecovered.hardState)
{
  this->committed = this->log.BaseIndex();
  this->deliveredIndex = this->log.BaseIndex();
  this->persistedIndex = this->log.LastIndex();
  this->firstUnwritten = this->log.LastIndex().Next();
  this->snapshotToInstall = aRecovered.snapshot;
  // It may have acknowledged a leader just before the restart, and that leader's lease relies on
  // this replica not voting for another one.
  this->startedAt = this->clock.MonotonicNow();
  this->leaderHeardAt = this->startedAt;
  this->nextLeaderlessCheck = this->startedAt + this->LeaderlessRetryDelay();
  this->ResetElectionTimer();
}

void
RaftCore::FormGroup(FormationId aFormation, const Membership& aVoters)
{
  assert(this->log.LastIndex() == LogIndex());
  this->hardState.formation = aFormation;
  this->hardState.term = this->hardState.term.Next();
  this->hardState.votedFor = this->options.replica;
  this->hardStateChanged = true;
  LogEntry entry;
  entry.kind = EntryKind::Membership;
  entry.membership = aVoters;
  this->AppendAsLeader(std::move(entry));
}

void
RaftCore::AdoptFormation(FormationId aFormation)
{
  assert(this->log.LastIndex() == LogIndex());
  // Term and vote stay: no formation may get a second vote in one term.
  this->hardState.formation = aFormation;
  this->hardStateChanged = true;
}

void
RaftCore::Receive(const AgreementMessage& aMessage)
{
  std::visit([&](const auto& aBody) { this->Handle(aMessage, aBody); }, aMessage.body);
}

void
RaftCore::Tick()
{
  const MonotonicTime now = this->clock.MonotonicNow();
  if (this->role == RaftRole::Leader) {
    this->CheckQuorum();
    if (this->role == RaftRole::Leader && now >= this->heartbeatAt) {
      this->SendHeartbeats();
    }
    return;
  }
  const bool isOnlyVoter =
    this->role == RaftRole::Follower && this->log.NewestMembership().VoterCount() == 1;
  if (this->IsVoter() && (now >= this->electionAt || isOnlyVoter)) {
    this->StartPreVote();
  } else if (this->IsVoter() && !this->hadLeader) {
    this->CheckAllLeaderless();
  }
}

// When all voters of a group restart, for instance after a power failure, they need not wait for
// the lease of the former leader to expire: once all of them report that they have neither led nor
// heard a leader since they started, no lease is in force. Voters ask each other at random times,
// so that rarely two of them stand for election at once. A candidate that does not win asks again.
void
RaftCore::CheckAllLeaderless()
{
  const MonotonicTime now = this->clock.MonotonicNow();
  const bool startedRecently = now - this->startedAt < this->options.timing.electionTimeoutMax;
  if (!startedRecently || now < this->nextLeaderlessCheck) {
    return;
  }
  this->nextLeaderlessCheck = now + this->LeaderlessRetryDelay();
  this->StartPreVote();
}

Duration
RaftCore::LeaderlessRetryDelay()
{
  const auto max = this->options.timing.heartbeat.count();
  std::uniform_int_distribution<Duration::rep> delay(max / 4, max);
  return Duration(delay(this->random));
}

// A candidate does not count as leaderless, since it may be elected in its current term.
bool
RaftCore::IsLeaderless() const
{
  const bool isCandidateOrLeader =
    this->role == RaftRole::Candidate || this->role == RaftRole::Leader;
  return !this->hadLeader && !isCandidateOrLeader;
}

// Counts a voter that reported to be leaderless. All voters must report it in the same term: a
// leader that is elected after a voter has answered has a later term, and so have the voters on
// which its lease relies, so they refuse this candidate.
void
RaftCore::CountLeaderless(ReplicaId aVoter)
{
  const Membership& membership = this->log.NewestMembership();
  if (!membership.IsVoter(aVoter) || !this->IsLeaderless()) {
    return;
  }
  this->leaderless.insert(aVoter);
  if (this->leaderless.size() == membership.VoterCount()) {
    this->StartElection(false, true);
  }
}

void
RaftCore::ResetElectionTimer()
{
  const auto min = this->options.timing.electionTimeoutMin.count();
  const auto max = this->options.timing.electionTimeoutMax.count();
  std::uniform_int_distribution<Duration::rep> timeout(min, max);
  this->electionAt = this->clock.MonotonicNow() + Duration(timeout(this->random));
}

void
RaftCore::StartPreVote()
{
  this->role = RaftRole::PreCandidate;
  this->leader = ReplicaId();
  this->ResetElectionTimer();
  this->votes.clear();
  this->leaderless.clear();
  const PreVoteRequest request{ this->hardState.term.Next(),
                                this->log.LastIndex(),
                                this->log.LastTerm() };
  this->SendToOtherVoters(request, false);
  this->CountLeaderless(this->options.replica);
  if (this->role == RaftRole::PreCandidate) {
    this->CountVote(this->options.replica);
  }
}

void
RaftCore::StartElection(bool aTransfer, bool aAllLeaderless)
{
  this->role = RaftRole::Candidate;
  this->leader = ReplicaId();
  this->ResetElectionTimer();
  // Votes must be synced before they are sent, so the next check is delayed by half a heartbeat
  // more than usual.
  this->nextLeaderlessCheck =
    this->clock.MonotonicNow() + this->options.timing.heartbeat / 2 + this->LeaderlessRetryDelay();
  this->hardState.term = this->hardState.term.Next();
  this->hardState.votedFor = this->options.replica;
  this->hardStateChanged = true;
  this->votes.clear();
  const VoteRequest request{
    this->log.LastIndex(), this->log.LastTerm(), aTransfer, aAllLeaderless
  };
  this->SendToOtherVoters(request, true);
  // Its own vote counts only once it is synced, like any other, so it is sent as a message to
  // itself.
  this->SendWhenPersisted(this->options.replica, this->options.host, VoteAnswer{ true });
}

void
RaftCore::CountVote(ReplicaId aVoter)
{
  const Membership& membership = this->log.NewestMembership();
  if (!membership.IsVoter(aVoter)) {
    return;
  }
  this->votes.insert(aVoter);
  if (this->votes.size() * 2 <= membership.VoterCount()) {
    return;
  }
  if (this->role == RaftRole::PreCandidate) {
    this->StartElection(false);
  } else {
    this->BecomeLeader();
  }
}

void
RaftCore::BecomeFollower(Term aTerm, ReplicaId aLeader)
{
  if (aTerm > this->hardState.term) {
    this->hardState.term = aTerm;
    this->hardState.votedFor = ReplicaId();
    this->hardStateChanged = true;
  }
  if (this->role != RaftRole::Follower) {
    this->ResetElectionTimer();
  }
  this->role = RaftRole::Follower;
  this->leader = aLeader;
  this->transferringLeadership = false;
  this->timeoutNowSent = false;
  this->progress.clear();
}

void
RaftCore::BecomeLeader()
{
  this->role = RaftRole::Leader;
  this->hadLeader = true;
  this->leader = this->options.replica;
  this->progress.clear();
  LogEntry entry;
  entry.kind = EntryKind::NoOp;
  this->AppendAsLeader(std::move(entry));
  this->termStartIndex = this->log.LastIndex();
  this->UpdateProgressMembers();
  this->SendHeartbeats();
  this->AdvanceCommitted();
}

bool
RaftCore::IsUpToDate(LogIndex aLastIndex, Term aLastTerm) const
{
  return std::pair(aLastTerm, aLastIndex) >= std::pair(this->log.LastTerm(), this->log.LastIndex());
}

bool
RaftCore::HeardLeaderRecently() const
{
  return this->role == RaftRole::Leader ||
         this->clock.MonotonicNow() - this->leaderHeardAt < this->options.timing.electionTimeoutMin;
}

bool
RaftCore::HasRecentLeader() const
{
  return this->role == RaftRole::Leader ||
         (this->leader != ReplicaId() && this->clock.MonotonicNow() - this->leaderHeardAt <
                                           this->options.timing.electionTimeoutMax);
}

void
RaftCore::Handle(const AgreementMessage& aMessage, const PreVoteRequest& aBody)
{
  const bool upToDate = this->IsUpToDate(aBody.lastIndex, aBody.lastTerm);
  const bool granted =
    aBody.candidateTerm > this->hardState.term && !this->HeardLeaderRecently() && upToDate;
  const bool leaderless = this->IsLeaderless() && upToDate && aMessage.term == this->hardState.term;
  this->SendImmediately(
    aMessage.from, aMessage.fromHost, PreVoteAnswer{ aBody.candidateTerm, granted, leaderless });
}

void
RaftCore::Handle(const AgreementMessage& aMessage, const PreVoteAnswer& aBody)
{
  if (this->role != RaftRole::PreCandidate) {
    return;
  }
  if (aMessage.term > this->hardState.term && !aBody.granted) {
    this->BecomeFollower(aMessage.term, ReplicaId());
    return;
  }
  if (aBody.candidateTerm != this->hardState.term.Next()) {
    return;
  }
  if (aBody.leaderless && aMessage.term == this->hardState.term) {
    this->CountLeaderless(aMessage.from);
  }
  if (aBody.granted && this->role == RaftRole::PreCandidate) {
    this->CountVote(aMessage.from);
  }
}

void
RaftCore::Handle(const AgreementMessage& aMessage, const VoteRequest& aBody)
{
  const bool noLease = aBody.handover || (aBody.allLeaderless && !this->hadLeader);
  if (!noLease && this->HeardLeaderRecently()) {
    // The leader may hold its lease, so its term must not be superseded.
    return;
  }
  if (aMessage.term > this->hardState.term) {
    this->BecomeFollower(aMessage.term, ReplicaId());
  }
  const bool canVote =
    this->hardState.votedFor == ReplicaId() || this->hardState.votedFor == aMessage.from;
  const bool granted = aMessage.term == this->hardState.term && canVote &&
                       this->IsUpToDate(aBody.lastIndex, aBody.lastTerm);
  if (granted) {
    this->role = RaftRole::Follower;
    this->hardStateChanged |= this->hardState.votedFor != aMessage.from;
    this->hardState.votedFor = aMessage.from;
    this->ResetElectionTimer();
  }
  this->SendWhenPersisted(aMessage.from, aMessage.fromHost, VoteAnswer{ granted });
}

void
RaftCore::Handle(const AgreementMessage& aMessage, const VoteAnswer& aBody)
{
  if (aMessage.term > this->hardState.term) {
    this->BecomeFollower(aMessage.term, ReplicaId());
    return;
  }
  if (this->role == RaftRole::Candidate && aBody.granted && aMessage.term == this->hardState.term) {
    this->CountVote(aMessage.from);
  }
}

void
RaftCore::Handle(const AgreementMessage& aMessage, const TimeoutNow& /*aBody*/)
{
  const bool fromLeader = this->role == RaftRole::Follower && this->leader == aMessage.from &&
                          this->hardState.term == aMessage.term;
  if (fromLeader && this->IsVoter()) {
    this->StartElection(true);
  }
}

AgreementMessage
RaftCore::MakeMessage(ReplicaId aTo, const HostId& aHost, AgreementBody aBody) const
{
  AgreementMessage message;
  message.group = this->options.group;
  message.formation = this->hardState.formation;
  message.fromHost = this->options.host;
  message.toHost = aHost;
  message.from = this->options.replica;
  message.to = aTo;
  message.term = this->hardState.term;
  message.body = std::move(aBody);
  return message;
}

void
RaftCore::SendImmediately(ReplicaId aTo, const HostId& aHost, AgreementBody aBody)
{
  this->outbox.push_back(this->MakeMessage(aTo, aHost, std::move(aBody)));
}

void
RaftCore::SendWhenPersisted(ReplicaId aTo, const HostId& aHost, AgreementBody aBody)
{
  this->awaitingBatch.push_back(this->MakeMessage(aTo, aHost, std::move(aBody)));
}

void
RaftCore::ReplyWhenPersisted(const AgreementMessage& aTo, AgreementBody aBody)
{
  this->SendWhenPersisted(aTo.from, aTo.fromHost, std::move(aBody));
}

void
RaftCore::SendToOtherVoters(const AgreementBody& aBody, bool aWhenPersisted)
{
  for (const Member& member : this->log.NewestMembership().members) {
    if (!member.voter || member.replica == this->options.replica) {
      continue;
    }
    if (aWhenPersisted) {
      this->SendWhenPersisted(member.replica, member.host, aBody);
    } else {
      this->SendImmediately(member.replica, member.host, aBody);
    }
  }
}

std::optional<PersistBatch>
RaftCore::TakeBatch()
{
  const bool hasEntries = this->firstUnwritten <= this->log.LastIndex();
  if (!this->hardStateChanged && this->snapshotToPersist == nullptr && !hasEntries) {
    return std::nullopt;
  }
  PersistBatch batch;
  batch.number = ++this->batchesTaken;
  if (this->hardStateChanged) {
    batch.hardState = this->hardState;
  }
  batch.snapshot = std::exchange(this->snapshotToPersist, nullptr);
  batch.replacesLog = std::exchange(this->snapshotReplacesLog, false);
  if (hasEntries) {
    batch.entries = this->log.From(this->firstUnwritten, SIZE_MAX);
  }
  this->hardStateChanged = false;
  this->firstUnwritten = this->log.LastIndex().Next();
  this->pendingBatches.push_back(
    PendingBatch{ batch.number, this->log.LastIndex(), this->clock.MonotonicNow() });
  return batch;
}

void
RaftCore::OnPersisted(std::uint64_t aNumber)
{
  while (!this->pendingBatches.empty() && this->pendingBatches.front().number <= aNumber) {
    this->persistedIndex = this->pendingBatches.front().end;
    this->pendingBatches.pop_front();
  }
  this->batchesSynced = std::max(this->batchesSynced, aNumber);
  while (!this->deferred.empty() && this->deferred.front().afterBatch <= this->batchesSynced) {
    AgreementMessage message = std::move(this->deferred.front().message);
    this->deferred.pop_front();
    if (message.term < this->hardState.term) {
      // The message belongs to an earlier term.
      continue;
    }
    if (message.to == this->options.replica) {
      this->Receive(message);
    } else {
      this->outbox.push_back(std::move(message));
    }
  }
  if (this->role == RaftRole::Leader) {
    this->AdvanceCommitted();
  }
}

RaftActions
RaftCore::TakeActions()
{
  RaftActions actions;
  if (this->role == RaftRole::Leader) {
    this->SendNewEntries();
  }
  actions.persist = this->TakeBatch();
  for (AgreementMessage& message : std::exchange(this->awaitingBatch, {})) {
    if (this->batchesSynced == this->batchesTaken && message.to != this->options.replica) {
      this->outbox.push_back(std::move(message));
    } else {
      this->deferred.push_back(DeferredMessage{ this->batchesTaken, std::move(message) });
    }
  }
  actions.install = std::exchange(this->snapshotToInstall, nullptr);
  this->DeliverCommitted(actions);
  actions.messages = std::exchange(this->outbox, {});
  return actions;
}

void
RaftCore::DeliverCommitted(RaftActions& aActions)
{
  const LogIndex until = std::min(this->committed, this->persistedIndex);
  while (this->deliveredIndex < until) {
    this->deliveredIndex = this->deliveredIndex.Next();
    aActions.committed.push_back(this->log.At(this->deliveredIndex));
  }
}

} // namespace damasklink
