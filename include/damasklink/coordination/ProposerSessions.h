// Applies each proposal once, however often it stands in the log, and keeps its answer.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "damasklink/state/Error.h"
#include "damasklink/state/LogEntry.h"

namespace damasklink {

// The same on every replica: changed by committed entries only, and part of each snapshot.
class ProposerSessions
{
public:
  // What is known of a proposal before it is applied.
  enum class ProposalState
  {
    New,     // To be applied now.
    Applied, // Find() has its answer.
    Expired, // The proposer has given it up; it must not be applied any more.
  };

  // Takes note of the proposer's floor and returns how the proposal stands. aIndex is that of the
  // entry. Beyond 4,096 proposers the one that has been silent for the longest is forgotten; each
  // is the life of one process, so nothing of it can be under way any more.
  ProposalState Register(const ProposalId& aProposal, LogIndex aIndex);

  // Keeps the answer of a proposal that was fresh.
  void Keep(const ProposalId& aProposal, std::string aAnswer);

  // Returns the kept answer, nothing when it was not applied or is not kept any more.
  std::optional<std::string> Find(const ProposalId& aProposal) const;

  std::string Save() const;
  // Fails with Corrupt and then leaves the sessions as it was.
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
