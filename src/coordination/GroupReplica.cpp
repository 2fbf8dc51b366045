#include "damasklink/coordination/GroupReplica.h"

#include <algorithm>
#include <utility>

namespace damasklink {
namespace {

// Pending answers older than this are dropped. Proposers wait for half of it at most (kMaxTimeout
// in ProposalForwarder.cpp).
constexpr Duration kMaxWait = std::chrono::minutes(10);

} // namespace

GroupReplica::GroupReplica(const Clock& aClock, GroupOptions aOptions, RecoveredLog aRecovered)
  : clock(aClock)
  , options(std::move(aOptions))
  , core(aClock, this->options.raft, std::move(aRecovered))
  , machines(this->options.raft.group)
  , formation(aClock,
              Member{ this->options.raft.host, this->options.raft.replica, true },
              this->options.listedVoters,
              this->options.raft.seed)
  , repair(aClock, this->options.listedVoters)
{
  if (!this->options.mayFormGroup) {
    this->formation.DisableForming();
  }
  if (this->options.maxVoters) {
    this->repair.EnableDiscovery(*this->options.maxVoters);
  }
  if (!this->HasLog() && this->core.Formation() != FormationId()) {
    // The group was adopted without any entries, or formed in a write that did not complete. Only a
    // new round of queries can tell whether the formation still exists.
    this->core.AdoptFormation(FormationId());
  }
}

void
GroupReplica::Receive(const AgreementMessage& aMessage)
{
  if (this->failure) {
    return;
  }
  if (const auto* query = std::get_if<FormationQuery>(&aMessage.body)) {
    this->AnswerFormationQuery(aMessage, *query);
    return;
  }
  if (const auto* answer = std::get_if<FormationAnswer>(&aMessage.body)) {
    if (this->core.Formation() == FormationId()) {
      this->ApplyOutcome(this->formation.Receive(aMessage, *answer));
    }
    return;
  }
  if (const auto* proposal = std::get_if<ForwardedProposal>(&aMessage.body)) {
    this->OnProposal(aMessage, *proposal);
    return;
  }
  const auto* asked = std::get_if<PreVoteRequest>(&aMessage.body);
  if (asked != nullptr && aMessage.to != this->options.raft.replica) {
    this->AnswerForLostReplica(aMessage, *asked);
    return;
  }
  const bool sameGroup =
    aMessage.formation == this->core.Formation() && aMessage.formation != FormationId();
  if (!sameGroup) {
    return;
  }
  if (std::holds_alternative<JoinRequest>(aMessage.body)) {
    this->repair.OnJoinRequest(aMessage.fromHost, aMessage.from);
    return;
  }
  if (aMessage.to == this->options.raft.replica) {
    this->core.Receive(aMessage);
  }
}

// Answers, on behalf of the addressed replica, that it was lost with its disk: this replica has
// replaced it on the host, where only one process can use the address. So no voter waits for the
// lease of the lost replica.
void
GroupReplica::AnswerForLostReplica(const AgreementMessage& aMessage, const PreVoteRequest& aRequest)
{
  PreVoteAnswer answer;
  answer.candidateTerm = aRequest.candidateTerm;
  answer.leaderless = true;
  AgreementMessage reply = this->MakeMessage(aMessage.fromHost, aMessage.from, answer);
  reply.from = aMessage.to;
  // This replica may not have adopted the formation yet, so it copies that of the message.
  reply.formation = aMessage.formation;
  reply.term = aMessage.term;
  this->outbox.push_back(std::move(reply));
}

void
GroupReplica::AnswerFormationQuery(const AgreementMessage& aMessage, const FormationQuery& aQuery)
{
  FormationAnswer answer{ aQuery.nonce, FormationId() };
  if (this->HasLog()) {
    answer.formed = this->core.Formation();
  } else if (aQuery.proposed != FormationId()) {
    // The sender may form the group because of this answer, so no earlier formation may be adopted
    // any more.
    this->formation.CancelRound();
    const FormationId adopted = this->core.Formation();
    if (adopted != FormationId() && adopted != aQuery.proposed) {
      this->core.AdoptFormation(FormationId());
    }
  }
  this->core.ReplyWhenPersisted(aMessage, answer);
}

void
GroupReplica::ApplyOutcome(const GroupFormation::Outcome& aOutcome)
{
  for (const HostId& host : aOutcome.queriedHosts) {
    this->outbox.push_back(this->MakeMessage(host, ReplicaId(), aOutcome.query));
  }
  if (aOutcome.adopt != FormationId()) {
    this->core.AdoptFormation(aOutcome.adopt);
  } else if (!aOutcome.formWith.members.empty()) {
    this->core.FormGroup(this->formation.ProposedFormation(), aOutcome.formWith);
  }
}

void
GroupReplica::OnProposal(const AgreementMessage& aMessage, const ForwardedProposal& aProposal)
{
  AttemptHistory& seen = this->attempts[aMessage.fromHost];
  if (seen.proposer == aProposal.proposal.proposer && aProposal.attempt <= seen.last) {
    // A late duplicate: the sender may have been told already that the attempt was refused.
    return;
  }
  seen = AttemptHistory{ aProposal.proposal.proposer, aProposal.attempt };
  const PendingAnswer pending{
    aMessage.fromHost, aMessage.from, this->clock.MonotonicNow(), this->core.CurrentTerm()
  };
  if (auto known = this->machines.FindAnswer(aProposal.proposal)) {
    this->Answer(pending, aProposal.proposal, std::move(*known));
    return;
  }
  if (!this->machines.Has(static_cast<StateMachineId>(aProposal.part))) {
    this->Refuse(aMessage, aProposal);
    return;
  }
  const ProposalKey key{ aProposal.proposal.proposer, aProposal.proposal.sequence };
  const auto earlier = this->pendingAnswers.find(key);
  if (earlier != this->pendingAnswers.end() && this->core.Role() == RaftRole::Leader &&
      earlier->second.term == pending.term) {
    // A leader keeps what it has appended in its term.
    earlier->second = pending;
    return;
  }
  // Duplicates in the log are applied only once, so an attempt in another term may append the
  // proposal again.
  if (!this->core.Propose(aProposal.part, aProposal.proposal, aProposal.command)) {
    this->Refuse(aMessage, aProposal);
    return;
  }
  this->pendingAnswers[key] = pending;
}

void
GroupReplica::Refuse(const AgreementMessage& aMessage, const ForwardedProposal& aProposal)
{
  const HostId leader = this->core.LeaderHost();
  const bool other = leader != this->options.raft.host;
  const ProposalRefusal refusal{ aProposal.proposal, aProposal.attempt, other ? leader : HostId() };
  this->outbox.push_back(this->MakeMessage(aMessage.fromHost, aMessage.from, refusal));
}

void
GroupReplica::Answer(const PendingAnswer& aPending,
                     const ProposalId& aProposal,
                     std::string aAnswer)
{
  this->outbox.push_back(this->MakeMessage(
    aPending.host, aPending.replica, ProposalAnswer{ aProposal, std::move(aAnswer) }));
}

void
GroupReplica::Tick()
{
  if (this->failure) {
    return;
  }
  if (this->core.Formation() == FormationId()) {
    this->ApplyOutcome(this->formation.Tick());
  }
  this->core.Tick();
  if (this->core.Role() == RaftRole::Leader) {
    if (const auto next = this->repair.Next(this->core)) {
      this->core.ProposeMembership(*next);
    }
  }
  const MonotonicTime now = this->clock.MonotonicNow();
  const bool mayJoin = this->core.Formation() != FormationId() && !this->core.HasRecentLeader();
  if (mayJoin && now >= this->nextJoinRequest) {
    this->nextJoinRequest = now + MembershipRepair::kJoinInterval;
    this->SendJoinRequests();
  }
  if (now >= this->nextExpiryCheck) {
    this->nextExpiryCheck = now + kMaxWait;
    std::erase_if(this->pendingAnswers,
                  [&](const auto& aItem) { return aItem.second.since + kMaxWait < now; });
  }
}

void
GroupReplica::AddDiscoveredHost(const HostId& aHost)
{
  std::vector<HostId>& known = this->options.listedVoters;
  if (std::find(known.begin(), known.end(), aHost) != known.end()) {
    return;
  }
  known.push_back(aHost);
  if (!this->options.mayFormGroup) {
    this->formation.AddQueriedHost(aHost);
  }
  this->OnHostUp(aHost);
}

void
GroupReplica::OnHostUp(const HostId& aHost)
{
  const std::vector<HostId>& known = this->options.listedVoters;
  const bool isOther =
    aHost != this->options.raft.host && std::find(known.begin(), known.end(), aHost) != known.end();
  if (this->failure || !isOther) {
    return;
  }
  if (this->core.Formation() == FormationId()) {
    this->ApplyOutcome(this->formation.OnHostUp(aHost));
  } else if (!this->core.HasRecentLeader()) {
    this->outbox.push_back(this->MakeMessage(aHost, ReplicaId(), JoinRequest{}));
  }
}

void
GroupReplica::SendJoinRequests()
{
  for (const HostId& host : this->options.listedVoters) {
    if (host != this->options.raft.host) {
      this->outbox.push_back(this->MakeMessage(host, ReplicaId(), JoinRequest{}));
    }
  }
}

GroupActions
GroupReplica::TakeActions()
{
  GroupActions actions;
  if (this->failure) {
    return actions;
  }
  RaftActions raft = this->core.TakeActions();
  if (raft.install != nullptr) {
    this->Load(*raft.install);
  }
  for (const LogEntry& entry : raft.committed) {
    this->Apply(entry);
  }
  if (this->failure) {
    return actions;
  }
  actions.persist = std::move(raft.persist);
  actions.messages = std::move(raft.messages);
  for (AgreementMessage& message : std::exchange(this->outbox, {})) {
    actions.messages.push_back(std::move(message));
  }
  this->TakeSnapshot();
  return actions;
}

void
GroupReplica::Load(const Snapshot& aSnapshot)
{
  if (auto loaded = this->machines.Load(aSnapshot.data); !loaded) {
    this->failure = loaded.error();
    return;
  }
  this->appliedIndex = aSnapshot.index;
  this->appliedTerm = aSnapshot.term;
  this->appliedAt = aSnapshot.proposedAt;
  this->bytesSinceSnapshot = 0;
}

void
GroupReplica::Apply(const LogEntry& aEntry)
{
  this->appliedIndex = aEntry.index;
  this->appliedTerm = aEntry.term;
  this->appliedAt = aEntry.proposedAt;
  this->bytesSinceSnapshot += aEntry.command.size();
  std::optional<AppliedProposal> applied = this->machines.Apply(aEntry);
  if (!applied) {
    return;
  }
  const auto pending =
    this->pendingAnswers.find({ applied->proposal.proposer, applied->proposal.sequence });
  if (pending == this->pendingAnswers.end()) {
    return;
  }
  if (applied->answer) {
    this->Answer(pending->second, applied->proposal, std::move(*applied->answer));
  }
  this->pendingAnswers.erase(pending);
}

void
GroupReplica::TakeSnapshot()
{
  const SnapshotPtr& last = this->core.Log().LastSnapshot();
  const std::uint64_t since = this->appliedIndex.Value() - (last ? last->index.Value() : 0);
  // A large state is not written again after every few changes to it.
  const std::uint64_t maxBytes =
    std::max(this->options.snapshotBytes, last ? last->data.size() : std::uint64_t{ 0 });
  if (since < this->options.snapshotEntries && this->bytesSinceSnapshot < maxBytes) {
    return;
  }
  Snapshot snapshot;
  snapshot.index = this->appliedIndex;
  snapshot.term = this->appliedTerm;
  snapshot.proposedAt = this->appliedAt;
  snapshot.membership = this->core.Log().MembershipAt(this->appliedIndex);
  snapshot.data = this->machines.Save();
  this->bytesSinceSnapshot = 0;
  this->core.Compact(std::make_shared<const Snapshot>(std::move(snapshot)));
}

GroupStatus
GroupReplica::Status() const
{
  GroupStatus status;
  status.group = this->options.raft.group;
  if (this->failure) {
    return status;
  }
  status.term = this->core.CurrentTerm();
  status.leader = this->core.LeaderHost();
  status.leading = this->core.Role() == RaftRole::Leader;
  status.leaseHeld = this->core.LeaseHeld();
  status.committed = this->core.Committed();
  return status;
}

AgreementMessage
GroupReplica::MakeMessage(const HostId& aTo, ReplicaId aReplica, AgreementBody aBody) const
{
  AgreementMessage message;
  message.group = this->options.raft.group;
  message.formation = this->core.Formation();
  message.fromHost = this->options.raft.host;
  message.toHost = aTo;
  message.from = this->options.raft.replica;
  message.to = aReplica;
  message.term = this->core.CurrentTerm();
  message.body = std::move(aBody);
  return message;
}

} // namespace damasklink
