// Repeats a proposal to a group until it is answered or its time is expired.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "damasklink/coordination/Replication.h"

namespace damasklink {

// A command for a group, and until when it may take effect for the one who asks.
struct Proposal
{
  GroupId group;
  StateMachineId part = StateMachineId::Claims;
  std::string command;
  MonotonicTime deadline;
};

// How a proposal ended.
struct ProposalOutcome
{
  Result<std::string> reply;
  // Whether a failed one may have been applied, now or later.
  bool mayBeApplied = false;
};

// Sends the same command again after NotLeader, Unavailable and DeadlineExceeded; machines know
// repeats by the id inside it. Lives on the control thread.
//
//   ProposalRetrier retrier(clock, replicator, { std::chrono::milliseconds(500), pause });
//   retrier.Start(proposal, [](ProposalOutcome aEnd) { ... });
//   retrier.OnTick(now);   // On every tick.
//
// Each proposal ends exactly once, at its deadline at the latest; an answer after that is dropped.
class ProposalRetrier
{
public:
  using Done = std::function<void(ProposalOutcome)>;

  struct Options
  {
    // Longest wait for one try.
    Duration attemptTimeout = std::chrono::milliseconds(500);
    // Between two tries.
    Duration retryDelay = std::chrono::milliseconds(50);
  };

  ProposalRetrier(const Clock& aClock, Replicator& aReplicator, Options aOptions)
    : clock(aClock)
    , replicator(aReplicator)
    , options(aOptions)
  {
  }

  void Start(Proposal aProposal, Done aDone);
  void OnTick(MonotonicTime aNow);

  // Returns how many proposals have not ended.
  std::size_t Pending() const { return this->pending.size(); }

private:
  struct PendingProposal
  {
    Proposal proposal;
    Done done;
    // When to try again; empty while a try is out.
    std::optional<MonotonicTime> retryAt;
    bool mayBeApplied = false;
    Error lastError;
  };

  void SendAttempt(std::uint64_t aId);
  void OnAnswer(std::uint64_t aId, Result<std::string> aReply);
  void End(std::uint64_t aId, Result<std::string> aReply);

  const Clock& clock;
  Replicator& replicator;
  Options options;
  std::uint64_t lastId = 0;
  std::map<std::uint64_t, PendingProposal> pending;
};

} // namespace damasklink
