// Deduplicates proposals: each one is applied once, however often it is in the log.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "damasklink/state/Error.h"
#include "damasklink/state/LogEntry.h"

namespace damasklink {

// Keeps, for each proposer, the answers of its proposals, like the client sessions of Raft. Changed
// only by committed entries and part of each snapshot, so it is equal on every replica. Not
// thread-safe.
class ProposerSessions
{
public:
  // State of a proposal before its entry is applied.
  enum class ProposalState
  {
    New,     // Not applied yet; must be applied now.
    Applied, // Applied before; Find() returns its answer.
    Expired, // Abandoned by its proposer; must not be applied any more.
  };

  // Updates the proposer's floor and returns the state of the proposal. aIndex is the index of the
  // entry. When there are 4,096 proposers, a new one evicts the one that has been inactive longest.
  // That is safe because each proposer is one process, so an evicted one has no proposals in flight
  // any more.
  ProposalState Register(const ProposalId& aProposal, LogIndex aIndex);

  // Stores the answer of a proposal that was New.
  void Keep(const ProposalId& aProposal, std::string aAnswer);

  // Returns the stored answer, or nothing if the proposal was not applied or its answer was
  // dropped.
  std::optional<std::string> Find(const ProposalId& aProposal) const;

  std::string Save() const;
  // Fails with Corrupt, in which case the sessions are unchanged.
  Result<void> Load(std::string_view aBytes);

private:
  struct Proposer
  {
    Sequence floor;
    LogIndex lastIndex;
    std::map<Sequence, std::string> answers;
  };

  void EvictOldest();

  std::map<std::uint64_t, Proposer> proposers;
};

} // namespace damasklink
