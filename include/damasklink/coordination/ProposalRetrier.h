// Repeats a proposal to a group until it is answered or its time is over.
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
  MachinePart part = MachinePart::Claims;
  std::string command;
  MonotonicTime deadline;
};

// How a proposal ended.
struct ProposalEnd
{
  Result<std::string> reply;
  // Whether a failed one may have been applied, now or later.
  bool mayBeApplied = false;
};

// Sends the same command again after NotLeader, Unavailable and DeadlineExceeded; machines know
// repeats by the id inside it. Lives on the control thread.
//
//   ProposalRetrier retrier(clock, replicator, { std::chrono::milliseconds(500), pause });
//   retrier.Start(proposal, [](ProposalEnd aEnd) { ... });
//   retrier.OnTick(now);   // On every tick.
//
// Each proposal ends exactly once, at its deadline at the latest; an answer after that is dropped.
class ProposalRetrier
{
public:
  using Done = std::function<void(ProposalEnd)>;

  struct Options
  {
    // Longest wait for one try.
    Duration tryTimeout = std::chrono::milliseconds(500);
    // Between two tries.
    Duration pause = std::chrono::milliseconds(50);
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
  std::size_t Pending() const { return this->running.size(); }

private:
  struct Running
  {
    Proposal proposal;
    Done done;
    // When to try again; empty while a try is out.
    std::optional<MonotonicTime> tryAt;
    bool mayBeApplied = false;
    Error lastError;
  };

  void Try(std::uint64_t aId);
  void OnAnswer(std::uint64_t aId, Result<std::string> aReply);
  void End(std::uint64_t aId, Result<std::string> aReply);

  const Clock& clock;
  Replicator& replicator;
  Options options;
  std::uint64_t lastId = 0;
  std::map<std::uint64_t, Running> running;
};

} // namespace damasklink
