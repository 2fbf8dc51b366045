// Follower part of RaftCore: handles the entries and snapshots that a leader sends.
#include <algorithm>
#include <cassert>

#include "damasklink/coordination/RaftCore.h"
#include "damasklink/state/LogCodec.h"

namespace damasklink {

void
RaftCore::AcceptLeader(const AgreementMessage& aMessage)
{
  this->BecomeFollower(aMessage.term, aMessage.from);
  this->leaderHost = aMessage.fromHost;
  this->hadLeader = true;
  this->leaderHeardAt = this->clock.MonotonicNow();
  this->ResetElectionTimer();
}

void
RaftCore::Handle(const AgreementMessage& aMessage, const AppendRequest& aBody)
{
  AppendAnswer answer;
  answer.previousIndex = aBody.previousIndex;
  answer.sentAt = aBody.sentAt;
  if (aMessage.term < this->hardState.term) {
    this->SendImmediately(aMessage.from, aMessage.fromHost, answer);
    return;
  }
  this->AcceptLeader(aMessage);
  if (aBody.previousIndex < this->committed) {
    // A late duplicate, or the leader does not know yet how far this replica's log is committed.
    answer.accepted = true;
    answer.index = this->committed;
  } else if (this->log.TermAt(aBody.previousIndex) != aBody.previousTerm) {
    answer.index = this->RetryHint(aBody);
  } else {
    this->StoreEntries(aBody);
    answer.accepted = true;
    answer.index = LogIndex(aBody.previousIndex.Value() + aBody.entries.size());
    this->committed = std::max(this->committed, std::min(aBody.committed, answer.index));
  }
  this->SendWhenPersisted(aMessage.from, aMessage.fromHost, answer);
}

void
RaftCore::StoreEntries(const AppendRequest& aBody)
{
  for (const LogEntry& entry : aBody.entries) {
    if (this->log.TermAt(entry.index) == entry.term) {
      continue;
    }
    if (entry.index <= this->log.LastIndex()) {
      assert(entry.index > this->committed);
      this->log.TruncateFrom(entry.index);
      this->firstUnwritten = std::min(this->firstUnwritten, entry.index);
      this->TruncatePending(this->log.LastIndex());
    }
    this->log.Append(entry);
  }
}

// Drops entries above aLast from the bookkeeping, including those in batches that are still being
// written.
void
RaftCore::TruncatePending(LogIndex aLast)
{
  this->persistedIndex = std::min(this->persistedIndex, aLast);
  for (PendingBatch& batch : this->pendingBatches) {
    batch.end = std::min(batch.end, aLast);
  }
}

// Skips all entries of the conflicting term, so that the leader need not probe each of them.
LogIndex
RaftCore::RetryHint(const AppendRequest& aBody) const
{
  if (aBody.previousIndex > this->log.LastIndex()) {
    return this->log.LastIndex();
  }
  const std::optional<Term> conflictingTerm = this->log.TermAt(aBody.previousIndex);
  LogIndex hint = aBody.previousIndex;
  while (hint > this->committed && this->log.TermAt(hint) == conflictingTerm) {
    hint = LogIndex(hint.Value() - 1);
  }
  return hint;
}

void
RaftCore::Handle(const AgreementMessage& aMessage, const SnapshotPiece& aBody)
{
  if (aMessage.term < this->hardState.term) {
    this->SendImmediately(aMessage.from, aMessage.fromHost, AppendAnswer{});
    return;
  }
  this->AcceptLeader(aMessage);
  if (this->log.TermAt(aBody.index) == aBody.snapshotTerm) {
    // The log contains these entries already, and later ones may have been acknowledged, so the log
    // must not be replaced.
    this->committed = std::max(this->committed, aBody.index);
  }
  if (aBody.index <= this->committed) {
    this->incomingSnapshot.clear();
    const AppendAnswer answer{ true, this->committed, aBody.index, aBody.sentAt };
    this->SendWhenPersisted(aMessage.from, aMessage.fromHost, answer);
    return;
  }
  const bool continues =
    this->incomingIndex == aBody.index && this->incomingTerm == aBody.snapshotTerm;
  if (!continues) {
    this->incomingSnapshot.clear();
    this->incomingIndex = aBody.index;
    this->incomingTerm = aBody.snapshotTerm;
  }
  if (aBody.offset == this->incomingSnapshot.size()) {
    this->incomingSnapshot.append(aBody.bytes);
  }
  if (this->incomingSnapshot.size() == aBody.totalBytes) {
    this->InstallSnapshot(aMessage, aBody);
    return;
  }
  const SnapshotAnswer answer{ aBody.index, this->incomingSnapshot.size(), aBody.sentAt };
  this->SendImmediately(aMessage.from, aMessage.fromHost, answer);
}

void
RaftCore::InstallSnapshot(const AgreementMessage& aMessage, const SnapshotPiece& aBody)
{
  auto decoded = DecodeSnapshot(this->incomingSnapshot);
  this->incomingSnapshot.clear();
  this->incomingIndex = LogIndex();
  if (!decoded || decoded.value().index != aBody.index) {
    // The leader starts the transfer again with the next heartbeat.
    return;
  }
  const auto snapshot = std::make_shared<const Snapshot>(std::move(decoded.value()));
  this->log.Reset(snapshot);
  this->committed = snapshot->index;
  this->deliveredIndex = snapshot->index;
  this->persistedIndex = snapshot->index;
  for (PendingBatch& batch : this->pendingBatches) {
    batch.end = snapshot->index;
  }
  this->firstUnwritten = snapshot->index.Next();
  this->snapshotToInstall = snapshot;
  this->snapshotToPersist = snapshot;
  this->snapshotReplacesLog = true;
  const AppendAnswer answer{ true, snapshot->index, snapshot->index, aBody.sentAt };
  this->SendWhenPersisted(aMessage.from, aMessage.fromHost, answer);
}

} // namespace damasklink
