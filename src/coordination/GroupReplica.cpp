#include "damasklink/coordination/GroupReplica.h"

#include <algorithm>
#include <utility>

namespace damasklink {
namespace {

constexpr Duration kJoinInterval = std::chrono::seconds(1);
// Nobody waits longer than this for the answer to a proposal.
constexpr Duration kMostWait = std::chrono::minutes(10);

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
  , repair(this->options.listedVoters)
{
  if (!this->options.mayFound) {
    this->formation.NeverFound();
  }
  if (this->options.mostVoters) {
    this->repair.LearnHosts(*this->options.mostVoters);
  }
  if (!this->WasEverFormed() && this->core.Formation() != FormationId()) {
    // Adopted, or founded in a write that was cut off: only a fresh answer can tell.
    this->core.Adopt(FormationId());
  }
}

void
GroupReplica::Receive(const AgreementMessage& aMessage)
{
  if (this->failure) {
    return;
  }
  if (const auto* query = std::get_if<FormationQuery>(&aMessage.body)) {
    this->AnswerQuery(aMessage, *query);
    return;
  }
  if (const auto* answer = std::get_if<FormationAnswer>(&aMessage.body)) {
    if (this->core.Formation() == FormationId()) {
      this->Follow(this->formation.Receive(aMessage, *answer));
    }
    return;
  }
  if (const auto* proposal = std::get_if<ForwardedProposal>(&aMessage.body)) {
    this->TakeProposal(aMessage, *proposal);
    return;
  }
  const auto* asked = std::get_if<PreVoteRequest>(&aMessage.body);
  if (asked != nullptr && aMessage.to != this->options.raft.replica) {
    this->AnswerForEarlier(aMessage, *asked);
    return;
  }
  const bool sameGroup =
    aMessage.formation == this->core.Formation() && aMessage.formation != FormationId();
  if (!sameGroup) {
    return;
  }
  if (std::holds_alternative<JoinRequest>(aMessage.body)) {
    if (this->core.Role() == RaftRole::Leader) {
      this->repair.NoteJoin(aMessage.fromHost, aMessage.from);
    }
    return;
  }
  if (aMessage.to == this->options.raft.replica) {
    this->core.Receive(aMessage);
  }
}

// Tells, in the name of the replica that was asked, that it is gone with its disk: this one has its
// place on the host, where only one process can have the address. So nobody waits for the end of
// its lease.
void
GroupReplica::AnswerForEarlier(const AgreementMessage& aMessage, const PreVoteRequest& aRequest)
{
  PreVoteAnswer answer;
  answer.candidateTerm = aRequest.candidateTerm;
  answer.leaderless = true;
  AgreementMessage reply = this->Address(aMessage.fromHost, aMessage.from, answer);
  reply.from = aMessage.to;
  // This replica may not belong to the group yet.
  reply.formation = aMessage.formation;
  reply.term = aMessage.term;
  this->outbox.push_back(std::move(reply));
}

void
GroupReplica::AnswerQuery(const AgreementMessage& aMessage, const FormationQuery& aQuery)
{
  FormationAnswer answer{ aQuery.nonce, FormationId() };
  if (this->WasEverFormed()) {
    answer.formed = this->core.Formation();
  } else if (aQuery.proposed != FormationId()) {
    // The asker may found the group on this answer, so no earlier founding may be joined any more.
    this->formation.ForgetRound();
    const FormationId adopted = this->core.Formation();
    if (adopted != FormationId() && adopted != aQuery.proposed) {
      this->core.Adopt(FormationId());
    }
  }
  this->core.ReplyWhenPersisted(aMessage, answer);
}

void
GroupReplica::Follow(const GroupFormation::Outcome& aOutcome)
{
  for (const HostId& host : aOutcome.ask) {
    this->outbox.push_back(this->Address(host, ReplicaId(), aOutcome.query));
  }
  if (aOutcome.adopt != FormationId()) {
    this->core.Adopt(aOutcome.adopt);
  } else if (!aOutcome.found.members.empty()) {
    this->core.Found(this->formation.Proposed(), aOutcome.found);
  }
}

void
GroupReplica::TakeProposal(const AgreementMessage& aMessage, const ForwardedProposal& aProposal)
{
  SeenAttempts& seen = this->attempts[aMessage.fromHost];
  if (seen.proposer == aProposal.proposal.proposer && aProposal.attempt <= seen.last) {
    // A late copy: the sender may have been told already that it was not taken.
    return;
  }
  seen = SeenAttempts{ aProposal.proposal.proposer, aProposal.attempt };
  const Waiter waiter{ aMessage.fromHost, aMessage.from, this->clock.MonotonicNow() };
  if (auto known = this->machines.FindAnswer(aProposal.proposal)) {
    this->Answer(waiter, aProposal.proposal, std::move(*known));
    return;
  }
  if (!this->machines.Has(static_cast<MachinePart>(aProposal.part))) {
    this->Refuse(aMessage, aProposal);
    return;
  }
  // A copy in the log is applied once only, so a proposal is put there as often as it comes.
  if (!this->core.Propose(aProposal.part, aProposal.proposal, aProposal.command)) {
    this->Refuse(aMessage, aProposal);
    return;
  }
  this->waiters[{ aProposal.proposal.proposer, aProposal.proposal.sequence }] = waiter;
}

void
GroupReplica::Refuse(const AgreementMessage& aMessage, const ForwardedProposal& aProposal)
{
  const HostId leader = this->core.LeaderHost();
  const bool other = leader != this->options.raft.host;
  const ProposalRefusal refusal{ aProposal.proposal, aProposal.attempt, other ? leader : HostId() };
  this->outbox.push_back(this->Address(aMessage.fromHost, aMessage.from, refusal));
}

void
GroupReplica::Answer(const Waiter& aWaiter, const ProposalId& aProposal, std::string aAnswer)
{
  this->outbox.push_back(
    this->Address(aWaiter.host, aWaiter.replica, ProposalAnswer{ aProposal, std::move(aAnswer) }));
}

void
GroupReplica::Tick()
{
  if (this->failure) {
    return;
  }
  if (this->core.Formation() == FormationId()) {
    this->Follow(this->formation.Tick());
  }
  this->core.Tick();
  if (this->core.Role() == RaftRole::Leader) {
    if (const auto next = this->repair.Next(this->core)) {
      this->core.ProposeMembership(*next);
    }
  }
  const MonotonicTime now = this->clock.MonotonicNow();
  if (!this->core.HasFreshLeader() && now >= this->nextJoin) {
    this->nextJoin = now + kJoinInterval;
    this->AskToJoin();
  }
  if (now >= this->nextWaiterCheck) {
    this->nextWaiterCheck = now + kMostWait;
    std::erase_if(this->waiters,
                  [&](const auto& aItem) { return aItem.second.since + kMostWait < now; });
  }
}

void
GroupReplica::KnowHost(const HostId& aHost)
{
  std::vector<HostId>& known = this->options.listedVoters;
  if (std::find(known.begin(), known.end(), aHost) != known.end()) {
    return;
  }
  known.push_back(aHost);
  if (!this->options.mayFound) {
    this->formation.AskAlso(aHost);
  }
}

void
GroupReplica::AskToJoin()
{
  if (this->core.Formation() == FormationId()) {
    return;
  }
  for (const HostId& host : this->options.listedVoters) {
    if (host != this->options.raft.host) {
      this->outbox.push_back(this->Address(host, ReplicaId(), JoinRequest{}));
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
  const auto waiter =
    this->waiters.find({ applied->proposal.proposer, applied->proposal.sequence });
  if (waiter == this->waiters.end()) {
    return;
  }
  if (applied->answer) {
    this->Answer(waiter->second, applied->proposal, std::move(*applied->answer));
  }
  this->waiters.erase(waiter);
}

void
GroupReplica::TakeSnapshot()
{
  const SnapshotPtr& last = this->core.Log().LastSnapshot();
  const std::uint64_t since = this->appliedIndex.Value() - (last ? last->index.Value() : 0);
  // A large state is not written again for every few changes to it.
  const std::uint64_t mostBytes =
    std::max(this->options.snapshotBytes, last ? last->data.size() : std::uint64_t{ 0 });
  if (since < this->options.snapshotEntries && this->bytesSinceSnapshot < mostBytes) {
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
GroupReplica::Address(const HostId& aTo, ReplicaId aReplica, AgreementBody aBody) const
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
