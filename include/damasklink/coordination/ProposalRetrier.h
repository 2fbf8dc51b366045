// Retries a proposal to a group until it is answered or its deadline passes.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "damasklink/coordination/Replication.h"

namespace damasklink {

// A command for a group, and the deadline until which the caller waits for its answer.
struct Proposal
{
  GroupId group;
  StateMachineId part = StateMachineId::Claims;
  std::string command;
  MonotonicTime deadline;
};

// Result of a proposal.
struct ProposalOutcome
{
  Result<std::string> reply;
  // Whether a failed proposal may have been applied or may still be applied later.
  bool mayBeApplied = false;
};

// Retries a command after NotLeader, Unavailable and DeadlineExceeded. This is safe because state
// machines detect repeated commands by the id in them. Must be used on the control thread only.
//
//   ProposalRetrier retrier(clock, replicator, { attemptTimeout, retryDelay });
//   retrier.Start(proposal, [](ProposalOutcome aOutcome) { ... });
//   retrier.OnTick(now);   // On every tick.
//
// Each proposal completes exactly once, at its deadline at the latest. Later answers are ignored.
class ProposalRetrier
{
public:
  using Done = std::function<void(ProposalOutcome)>;

  struct Options
  {
    // Maximum time to wait for the answer to one attempt.
    Duration attemptTimeout = std::chrono::milliseconds(500);
    // Delay between a failed attempt and the next one.
    Duration retryDelay = std::chrono::milliseconds(50);
  };

  ProposalRetrier(const Clock& aClock, Replicator& aReplicator, Options aOptions)
    : clock(aClock)
    , replicator(aReplicator)
    , options(aOptions)
  {
  }

  // Sends a proposal; aDone is called once, when it completes.
  void Start(Proposal aProposal, Done aDone);
  void OnTick(MonotonicTime aNow);

  // Returns the number of proposals that have not completed.
  std::size_t Pending() const { return this->pending.size(); }

private:
  struct PendingProposal
  {
    Proposal proposal;
    Done done;
    // Time of the next attempt; empty while an attempt is in flight.
    std::optional<MonotonicTime> retryAt;
    bool mayBeApplied = false;
    Error lastError;
  };

  void SendAttempt(std::uint64_t aId);
  void OnAnswer(std::uint64_t aId, Result<std::string> aReply);
  void Complete(std::uint64_t aId, Result<std::string> aReply);

  const Clock& clock;
  Replicator& replicator;
  Options options;
  std::uint64_t lastId = 0;
  std::map<std::uint64_t, PendingProposal> pending;
};

} // namespace damasklink
