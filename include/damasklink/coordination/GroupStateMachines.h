// The state machines of one group's replica.
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

// A proposal whose entry was processed, and its answer.
struct AppliedProposal
{
  ProposalId proposal;
  // Empty if the proposal had expired and was not applied.
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
  void Add(StateMachineId aMachineId, ReplicatedStateMachine& aMachine);

  // Makes the group's incarnation available to commands through ApplyContext. Requires that
  // aMachine outlives this object.
  void SetIncarnation(const IncarnationMachine& aMachine) { this->incarnationMachine = &aMachine; }

  bool Has(StateMachineId aMachineId) const { return this->machines.contains(aMachineId); }

  // Applies one entry. Returns nothing for entries that are not commands.
  std::optional<AppliedProposal> Apply(const LogEntry& aEntry);

  // Returns the kept answer of an applied proposal.
  std::optional<std::string> FindAnswer(const ProposalId& aProposal) const
  {
    return this->sessions.Find(aProposal);
  }

  // Returns the state of all state machines, including those that only another program version
  // knows.
  std::string Save() const;

  // Fails with Corrupt, in which case some machines may have been loaded and others not, so the
  // object must not be used any more.
  Result<void> Load(std::string_view aBytes);

private:
  GroupId group;
  const IncarnationMachine* incarnationMachine = nullptr;
  std::map<StateMachineId, ReplicatedStateMachine*> machines;
  // States of state machines that this program version does not know, kept so that no snapshot
  // loses them.
  std::map<StateMachineId, std::string> unknownStates;
  ProposerSessions sessions;
};

} // namespace damasklink
