#include "damasklink/coordination/ProposalRetrier.h"

#include <algorithm>
#include <vector>

namespace damasklink {

void
ProposalRetrier::Start(Proposal aProposal, Done aDone)
{
  const std::uint64_t id = ++this->lastId;
  PendingProposal& entry = this->pending[id];
  entry.proposal = std::move(aProposal);
  entry.done = std::move(aDone);
  entry.lastError =
    Error{ ErrorKind::Unavailable, "the group gave no answer", "try again shortly" };
  this->SendAttempt(id);
}

void
ProposalRetrier::SendAttempt(std::uint64_t aId)
{
  PendingProposal& entry = this->pending.at(aId);
  entry.retryAt.reset();
  const Duration left = entry.proposal.deadline - this->clock.MonotonicNow();
  // Copies, because the answer may arrive before Propose() returns and remove the entry.
  const GroupId group = entry.proposal.group;
  std::string command = entry.proposal.command;
  this->replicator.Propose(
    group,
    entry.proposal.part,
    std::move(command),
    std::clamp(left, Duration(0), this->options.attemptTimeout),
    [this, aId](Result<std::string> aReply) { this->OnAnswer(aId, std::move(aReply)); });
}

void
ProposalRetrier::OnAnswer(std::uint64_t aId, Result<std::string> aReply)
{
  const auto found = this->pending.find(aId);
  if (found == this->pending.end()) {
    return;
  }
  if (aReply) {
    this->Complete(aId, std::move(aReply));
    return;
  }
  PendingProposal& entry = found->second;
  const ErrorKind kind = aReply.error().kind;
  const bool notApplied = kind == ErrorKind::NotLeader || kind == ErrorKind::Unavailable;
  entry.mayBeApplied = entry.mayBeApplied || !notApplied;
  entry.lastError = aReply.error();
  entry.retryAt = this->clock.MonotonicNow() + this->options.retryDelay;
}

void
ProposalRetrier::OnTick(MonotonicTime aNow)
{
  std::vector<std::uint64_t> expired;
  std::vector<std::uint64_t> due;
  for (const auto& [id, entry] : this->pending) {
    if (aNow >= entry.proposal.deadline) {
      expired.push_back(id);
    } else if (entry.retryAt && aNow >= *entry.retryAt) {
      due.push_back(id);
    }
  }
  for (const std::uint64_t id : expired) {
    PendingProposal& entry = this->pending.at(id);
    // An attempt that is still in flight may yet be applied.
    entry.mayBeApplied = entry.mayBeApplied || !entry.retryAt;
    this->Complete(id, Fail(entry.lastError));
  }
  for (const std::uint64_t id : due) {
    this->SendAttempt(id);
  }
}

void
ProposalRetrier::Complete(std::uint64_t aId, Result<std::string> aReply)
{
  auto node = this->pending.extract(aId);
  PendingProposal& entry = node.mapped();
  const bool mayBeApplied = !aReply && entry.mayBeApplied;
  entry.done(ProposalOutcome{ std::move(aReply), mayBeApplied });
}

} // namespace damasklink
