// The machines of one group's replica: applies committed entries to them and makes snapshots.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "damasklink/coordination/GroupIncarnation.h"
#include "damasklink/coordination/ProposerSessions.h"
#include "damasklink/coordination/Replication.h"
#include "damasklink/state/LogEntry.h"

namespace damasklink {

// An entry that was applied, for whoever waits for its answer.
struct AppliedProposal
{
  ProposalId proposal;
  // Empty when the proposal had expired and was not applied.
  std::optional<std::string> answer;
};

class GroupStateMachines
{
public:
  explicit GroupStateMachines(GroupId aGroup)
    : group(std::move(aGroup))
  {
  }

  // Requires that aMachine outlives this object.
  void Add(StateMachineId aPart, ReplicatedStateMachine& aMachine);

  // Lets commands see which founding of the group they belong to. Requires that aMachine outlives
  // this object.
  void SetIncarnation(const IncarnationMachine& aMachine) { this->incarnationMachine = &aMachine; }

  bool Has(StateMachineId aPart) const { return this->machines.contains(aPart); }

  // Applies one entry; nothing comes back for entries that are no commands.
  std::optional<AppliedProposal> Apply(const LogEntry& aEntry);

  // Returns the kept answer of an applied proposal.
  std::optional<std::string> FindAnswer(const ProposalId& aProposal) const
  {
    return this->sessions.Find(aProposal);
  }

  // Returns the state of all machines, of those of another program version too.
  std::string Save() const;

  // Fails with Corrupt; then the machines may hold parts of both states and must not be used.
  Result<void> Load(std::string_view aBytes);

private:
  GroupId group;
  const IncarnationMachine* incarnationMachine = nullptr;
  std::map<StateMachineId, ReplicatedStateMachine*> machines;
  // States of parts that this program does not know; kept so that no snapshot loses them.
  std::map<StateMachineId, std::string> unknown;
  ProposerSessions sessions;
};

} // namespace damasklink
