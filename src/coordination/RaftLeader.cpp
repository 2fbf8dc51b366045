// Leader part of RaftCore: replication, commitment and the leader lease.
#include <algorithm>
#include <cassert>
#include <functional>

#include "damasklink/coordination/RaftCore.h"
#include "damasklink/state/LogCodec.h"
#include "damasklink/state/Text.h"

namespace damasklink {
namespace {

// Maximum number of unacknowledged entries per replica.
constexpr std::uint64_t kMaxInFlightEntries = 8192;

std::uint64_t
EncodeSentAt(MonotonicTime aTime)
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::nanoseconds>(aTime.time_since_epoch()).count());
}

std::size_t
BytesOf(const std::vector<LogEntry>& aEntries)
{
  std::size_t bytes = 0;
  for (const LogEntry& entry : aEntries) {
    bytes += entry.command.size();
  }
  return bytes;
}

MonotonicTime
DecodeSentAt(std::uint64_t aNanoseconds)
{
  return MonotonicTime(std::chrono::nanoseconds(static_cast<std::int64_t>(aNanoseconds)));
}

} // namespace

Result<LogIndex>
RaftCore::Propose(std::uint8_t aMachineId, ProposalId aProposal, std::string aCommand)
{
  if (this->role != RaftRole::Leader || this->transferringLeadership) {
    return Fail(ErrorKind::NotLeader,
                Concat("this host does not lead ", this->options.group.Value()),
                "ask the leader");
  }
  LogEntry entry;
  entry.kind = EntryKind::Command;
  entry.part = aMachineId;
  entry.proposal = aProposal;
  entry.command = std::move(aCommand);
  this->AppendAsLeader(std::move(entry));
  return this->log.LastIndex();
}

bool
RaftCore::ProposeMembership(const Membership& aMembership)
{
  const bool settled =
    this->committed >= this->termStartIndex && this->committed >= this->log.MembershipIndex();
  if (this->role != RaftRole::Leader || this->transferringLeadership || !settled) {
    return false;
  }
  LogEntry entry;
  entry.kind = EntryKind::Membership;
  entry.membership = aMembership;
  this->AppendAsLeader(std::move(entry));
  this->UpdateProgressMembers();
  return true;
}

void
RaftCore::AppendAsLeader(LogEntry aEntry)
{
  aEntry.index = this->log.LastIndex().Next();
  aEntry.term = this->hardState.term;
  aEntry.proposedAt = this->clock.WallNow();
  // The time of an entry never precedes that of its predecessor, even if the wall clock jumps back.
  if (this->log.LastIndex() > this->log.BaseIndex()) {
    aEntry.proposedAt = std::max(aEntry.proposedAt, this->log.At(this->log.LastIndex()).proposedAt);
  } else if (this->log.LastSnapshot() != nullptr) {
    aEntry.proposedAt = std::max(aEntry.proposedAt, this->log.LastSnapshot()->proposedAt);
  }
  this->log.Append(std::move(aEntry));
}

void
RaftCore::UpdateProgressMembers()
{
  const Membership& membership = this->log.NewestMembership();
  std::erase_if(this->progress,
                [&](const auto& aItem) { return membership.Find(aItem.first) == nullptr; });
  for (const Member& member : membership.members) {
    if (member.replica == this->options.replica) {
      continue;
    }
    const auto [position, added] = this->progress.try_emplace(member.replica);
    if (added) {
      position->second.host = member.host;
      position->second.next = this->log.LastIndex();
      position->second.heardAt = this->clock.MonotonicNow();
    }
  }
}

void
RaftCore::SendHeartbeats()
{
  this->heartbeatAt = this->clock.MonotonicNow() + this->options.timing.heartbeat;
  for (auto& [replica, peer] : this->progress) {
    this->SendIndependentHeartbeat(replica, peer);
    this->SendAppend(replica, peer, true);
  }
}

// A heartbeat behind the entries that are on their way is late if these take long. This one refers
// only to what the replica has acknowledged, so it is accepted before they arrive.
void
RaftCore::SendIndependentHeartbeat(ReplicaId aTo, const Progress& aProgress)
{
  const std::optional<Term> matchTerm = this->log.TermAt(aProgress.match);
  if (aProgress.inFlight.empty() || !matchTerm) {
    return;
  }
  AppendRequest request;
  request.previousIndex = aProgress.match;
  request.previousTerm = *matchTerm;
  request.committed = this->committed;
  request.sentAt = EncodeSentAt(this->clock.MonotonicNow());
  AgreementMessage message = this->MakeMessage(aTo, aProgress.host, std::move(request));
  message.independent = true;
  this->outbox.push_back(std::move(message));
}

// What is sent at once waits in the connection, which is closed if too much does.
bool
RaftCore::HasRoom(const Progress& aProgress) const
{
  return aProgress.bytesInFlight < this->options.maxBytesInFlight &&
         aProgress.next.Value() - aProgress.match.Value() < kMaxInFlightEntries;
}

void
RaftCore::AddInFlight(Progress& aProgress, const std::vector<LogEntry>& aEntries)
{
  SentEntries sent;
  sent.last = aEntries.back().index;
  sent.bytes = BytesOf(aEntries);
  aProgress.bytesInFlight += sent.bytes;
  aProgress.inFlight.push_back(sent);
}

void
RaftCore::RemoveInFlight(Progress& aProgress, LogIndex aUntil)
{
  while (!aProgress.inFlight.empty() && aProgress.inFlight.front().last <= aUntil) {
    aProgress.bytesInFlight -= aProgress.inFlight.front().bytes;
    aProgress.inFlight.pop_front();
  }
}

void
RaftCore::SendNewEntries()
{
  for (auto& [replica, peer] : this->progress) {
    const bool sendable = !peer.probing && this->HeardRecently(peer);
    if (sendable && this->HasRoom(peer) && peer.next <= this->log.LastIndex()) {
      this->SendAppend(replica, peer, false);
    }
  }
}

void
RaftCore::SendAppend(ReplicaId aTo, Progress& aProgress, bool aHeartbeat)
{
  const bool isResponsive = this->HeardRecently(aProgress);
  const bool needsSnapshot = aProgress.next <= this->log.BaseIndex();
  if (needsSnapshot && isResponsive) {
    if (aHeartbeat || aProgress.snapshotBytes == nullptr) {
      this->SendSnapshotPiece(aTo, aProgress);
    }
    return;
  }
  AppendRequest request;
  request.previousIndex =
    needsSnapshot ? this->log.BaseIndex() : LogIndex(aProgress.next.Value() - 1);
  request.previousTerm = *this->log.TermAt(request.previousIndex);
  request.committed = this->committed;
  request.sentAt = EncodeSentAt(this->clock.MonotonicNow());
  if (isResponsive && !needsSnapshot && (aProgress.probing || this->HasRoom(aProgress))) {
    // A replica that does not answer gets only heartbeats, so that no entries queue up on the way
    // to it.
    request.entries = this->log.From(aProgress.next, this->options.maxMessageBytes);
  }
  if (aProgress.probing && BytesOf(request.entries) > this->options.maxMessageBytes) {
    // Each heartbeat would repeat it until it is answered.
    request.entries.clear();
  }
  if (!aProgress.probing && !request.entries.empty()) {
    aProgress.next = request.entries.back().index.Next();
    AddInFlight(aProgress, request.entries);
  }
  this->SendImmediately(aTo, aProgress.host, std::move(request));
}

void
RaftCore::StartSnapshot(Progress& aProgress)
{
  const SnapshotPtr& snapshot = this->log.LastSnapshot();
  if (this->encodedSnapshot == nullptr || this->encodedSnapshotIndex != snapshot->index) {
    this->encodedSnapshot = std::make_shared<const std::string>(EncodeSnapshot(*snapshot));
    this->encodedSnapshotIndex = snapshot->index;
  }
  aProgress.snapshotBytes = this->encodedSnapshot;
  aProgress.snapshotIndex = snapshot->index;
  aProgress.snapshotTerm = snapshot->term;
  aProgress.snapshotOffset = 0;
}

void
RaftCore::SendSnapshotPiece(ReplicaId aTo, Progress& aProgress)
{
  if (aProgress.snapshotBytes == nullptr) {
    this->StartSnapshot(aProgress);
  }
  const std::string& bytes = *aProgress.snapshotBytes;
  SnapshotPiece piece;
  piece.index = aProgress.snapshotIndex;
  piece.snapshotTerm = aProgress.snapshotTerm;
  piece.offset = aProgress.snapshotOffset;
  piece.totalBytes = bytes.size();
  piece.sentAt = EncodeSentAt(this->clock.MonotonicNow());
  piece.bytes = bytes.substr(piece.offset, this->options.maxMessageBytes);
  this->SendImmediately(aTo, aProgress.host, std::move(piece));
}

// Records that a member answered a request of this term and returns its progress, or null if the
// answer does not count.
RaftCore::Progress*
RaftCore::RecordAnswer(const AgreementMessage& aMessage, std::uint64_t aSentAt)
{
  const auto found = this->progress.find(aMessage.from);
  const bool current = this->role == RaftRole::Leader && aMessage.term == this->hardState.term;
  if (!current || found == this->progress.end()) {
    return nullptr;
  }
  Progress& peer = found->second;
  peer.heardAt = this->clock.MonotonicNow();
  peer.answeredSentAt = std::max(peer.answeredSentAt, DecodeSentAt(aSentAt));
  return &peer;
}

void
RaftCore::Handle(const AgreementMessage& aMessage, const SnapshotAnswer& aBody)
{
  Progress* const found = this->RecordAnswer(aMessage, aBody.sentAt);
  if (found == nullptr) {
    return;
  }
  Progress& peer = *found;
  const bool expected = peer.snapshotBytes != nullptr && peer.snapshotIndex == aBody.index;
  if (expected && aBody.nextOffset < peer.snapshotBytes->size() &&
      aBody.nextOffset != peer.snapshotOffset) {
    peer.snapshotOffset = aBody.nextOffset;
    this->SendSnapshotPiece(aMessage.from, peer);
  }
}

void
RaftCore::Handle(const AgreementMessage& aMessage, const AppendAnswer& aBody)
{
  if (aMessage.term > this->hardState.term) {
    this->BecomeFollower(aMessage.term, ReplicaId());
    return;
  }
  Progress* const found = this->RecordAnswer(aMessage, aBody.sentAt);
  if (found == nullptr) {
    return;
  }
  Progress& peer = *found;
  if (!aBody.accepted) {
    const bool answersProbe =
      aBody.previousIndex.Next() == peer.next || peer.next <= this->log.BaseIndex();
    const bool stale = aBody.previousIndex <= peer.match || (peer.probing && !answersProbe);
    if (!stale) {
      peer.next = std::max(peer.match, aBody.index).Next();
      peer.probing = true;
      peer.inFlight.clear();
      peer.bytesInFlight = 0;
      this->SendAppend(aMessage.from, peer, false);
    }
    return;
  }
  peer.match = std::max(peer.match, aBody.index);
  peer.next = std::max(peer.next, peer.match.Next());
  peer.probing = false;
  RemoveInFlight(peer, peer.match);
  if (peer.snapshotBytes != nullptr && peer.match >= peer.snapshotIndex) {
    peer.snapshotBytes = nullptr;
  }
  this->AdvanceCommitted();
  this->SendTimeoutNowWhenReady();
}

template<typename Value, typename Field>
Value
RaftCore::QuorumValue(Value aOwn, Field aField) const
{
  std::vector<Value> values;
  for (const Member& member : this->log.NewestMembership().members) {
    if (!member.voter) {
      continue;
    }
    if (member.replica == this->options.replica) {
      values.push_back(aOwn);
    } else {
      values.push_back(aField(this->progress.at(member.replica)));
    }
  }
  std::sort(values.begin(), values.end(), std::greater<>());
  return values.empty() ? Value() : values[values.size() / 2];
}

void
RaftCore::AdvanceCommitted()
{
  const auto reached = this->QuorumValue<LogIndex>(
    this->persistedIndex, [](const Progress& aPeer) { return aPeer.match; });
  // Entries of earlier terms are committed only together with an entry of this term.
  if (reached > this->committed && this->log.TermAt(reached) == this->hardState.term) {
    this->committed = reached;
  }
  if (!this->IsVoter() && this->committed >= this->log.MembershipIndex()) {
    // The removal of this replica is committed, so it steps down.
    this->BecomeFollower(this->hardState.term, ReplicaId());
  }
}

void
RaftCore::CheckQuorum()
{
  const MonotonicTime now = this->clock.MonotonicNow();
  const auto heard =
    this->QuorumValue<MonotonicTime>(now, [](const Progress& aPeer) { return aPeer.heardAt; });
  const bool transferFailed = this->transferringLeadership && now >= this->transferDeadline;
  const bool quorumLost = now - heard >= this->options.timing.electionTimeoutMax;
  if (transferFailed || quorumLost || this->IsDiskHung()) {
    this->BecomeFollower(this->hardState.term, ReplicaId());
  }
}

// A leader whose disk hangs could commit entries through the other replicas but could never answer
// a proposal.
bool
RaftCore::IsDiskHung() const
{
  return !this->pendingBatches.empty() &&
         this->clock.MonotonicNow() - this->pendingBatches.front().since >=
           this->options.timing.electionTimeoutMax * 2;
}

bool
RaftCore::LeaseHeld() const
{
  if (this->role != RaftRole::Leader || this->transferringLeadership) {
    return false;
  }
  // The followers may have committed and acknowledged an entry that this replica has not synced
  // yet.
  if (this->deliveredIndex < std::max(this->termStartIndex, this->committed)) {
    return false;
  }
  constexpr int kTenths = 10;
  const Duration lease = this->options.timing.electionTimeoutMin * (kTenths - 1) / kTenths;
  const MonotonicTime now = this->clock.MonotonicNow();
  const auto answered = this->QuorumValue<MonotonicTime>(
    now, [](const Progress& aPeer) { return aPeer.answeredSentAt; });
  return now - answered < lease;
}

void
RaftCore::TransferLeadership()
{
  if (this->role == RaftRole::Leader && this->log.NewestMembership().VoterCount() > 1) {
    // Not reset within this term, because TimeoutNow may arrive late.
    this->transferringLeadership = true;
    this->transferDeadline = this->clock.MonotonicNow() + this->options.timing.electionTimeoutMax;
    this->SendTimeoutNowWhenReady();
  }
}

void
RaftCore::SendTimeoutNowWhenReady()
{
  if (!this->transferringLeadership || this->timeoutNowSent) {
    return;
  }
  for (const auto& [replica, peer] : this->progress) {
    const bool ready = peer.match == this->log.LastIndex();
    if (ready && this->log.NewestMembership().IsVoter(replica) &&
        this->HeardRecentlyFrom(replica)) {
      this->timeoutNowSent = true;
      this->SendImmediately(replica, peer.host, TimeoutNow{});
      return;
    }
  }
}

void
RaftCore::Compact(SnapshotPtr aSnapshot)
{
  assert(aSnapshot->index <= this->deliveredIndex);
  if (aSnapshot->index <= this->log.BaseIndex()) {
    return;
  }
  this->snapshotToPersist = aSnapshot;
  this->log.Compact(
    std::move(aSnapshot), this->options.trailingEntries, this->options.trailingBytes);
}

HostId
RaftCore::LeaderHost() const
{
  if (this->role == RaftRole::Leader) {
    return this->options.host;
  }
  return this->HasRecentLeader() ? this->leaderHost : HostId();
}

LogIndex
RaftCore::MatchOf(ReplicaId aReplica) const
{
  const auto found = this->progress.find(aReplica);
  return found == this->progress.end() ? LogIndex() : found->second.match;
}

std::vector<MemberProgress>
RaftCore::MembersProgress() const
{
  std::vector<MemberProgress> all;
  if (this->role != RaftRole::Leader) {
    return all;
  }
  for (const Member& member : this->log.NewestMembership().members) {
    const auto found = this->progress.find(member.replica);
    if (found == this->progress.end()) {
      continue;
    }
    const Progress& peer = found->second;
    MemberProgress seen;
    seen.member = member;
    seen.match = peer.match;
    seen.missingEntries = this->committed.Value() - std::min(this->committed, peer.match).Value();
    seen.bytesInFlight = peer.bytesInFlight;
    seen.responsive = this->HeardRecently(peer);
    all.push_back(std::move(seen));
  }
  return all;
}

bool
RaftCore::HeardRecentlyFrom(ReplicaId aReplica) const
{
  if (aReplica == this->options.replica) {
    return true;
  }
  const auto found = this->progress.find(aReplica);
  return found != this->progress.end() && this->HeardRecently(found->second);
}

bool
RaftCore::HeardRecently(const Progress& aProgress) const
{
  return this->clock.MonotonicNow() - aProgress.heardAt < this->options.timing.electionTimeoutMax;
}

} // namespace damasklink
