#include "damasklink/coordination/ProposalRetrier.h"

#include <algorithm>
#include <vector>

namespace damasklink {

void
ProposalRetrier::Start(Proposal aProposal, Done aDone)
{
  const std::uint64_t id = ++this->lastId;
  Running& entry = this->running[id];
  entry.proposal = std::move(aProposal);
  entry.done = std::move(aDone);
  entry.lastError =
    Error{ ErrorKind::Unavailable, "the group gave no answer", "try again shortly" };
  this->Try(id);
}

void
ProposalRetrier::Try(std::uint64_t aId)
{
  Running& entry = this->running.at(aId);
  entry.tryAt.reset();
  const Duration left = entry.proposal.deadline - this->clock.MonotonicNow();
  // Copies, as the answer may come at once and end the entry.
  const GroupId group = entry.proposal.group;
  std::string command = entry.proposal.command;
  this->replicator.Propose(
    group,
    entry.proposal.part,
    std::move(command),
    std::clamp(left, Duration(0), this->options.tryTimeout),
    [this, aId](Result<std::string> aReply) { this->OnAnswer(aId, std::move(aReply)); });
}

void
ProposalRetrier::OnAnswer(std::uint64_t aId, Result<std::string> aReply)
{
  const auto found = this->running.find(aId);
  if (found == this->running.end()) {
    return;
  }
  if (aReply) {
    this->End(aId, std::move(aReply));
    return;
  }
  Running& entry = found->second;
  const ErrorKind kind = aReply.error().kind;
  const bool surelyNot = kind == ErrorKind::NotLeader || kind == ErrorKind::Unavailable;
  entry.mayBeApplied = entry.mayBeApplied || !surelyNot;
  entry.lastError = aReply.error();
  entry.tryAt = this->clock.MonotonicNow() + this->options.pause;
}

void
ProposalRetrier::OnTick(MonotonicTime aNow)
{
  std::vector<std::uint64_t> over;
  std::vector<std::uint64_t> due;
  for (const auto& [id, entry] : this->running) {
    if (aNow >= entry.proposal.deadline) {
      over.push_back(id);
    } else if (entry.tryAt && aNow >= *entry.tryAt) {
      due.push_back(id);
    }
  }
  for (const std::uint64_t id : over) {
    Running& entry = this->running.at(id);
    // A try that is still out may yet be applied.
    entry.mayBeApplied = entry.mayBeApplied || !entry.tryAt;
    this->End(id, Fail(entry.lastError));
  }
  for (const std::uint64_t id : due) {
    this->Try(id);
  }
}

void
ProposalRetrier::End(std::uint64_t aId, Result<std::string> aReply)
{
  auto node = this->running.extract(aId);
  Running& entry = node.mapped();
  const bool mayBeApplied = !aReply && entry.mayBeApplied;
  entry.done(ProposalEnd{ std::move(aReply), mayBeApplied });
}

} // namespace damasklink
