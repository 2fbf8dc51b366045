// The machines of one group's replica: applies committed entries to them and makes snapshots.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "damasklink/coordination/GroupLife.h"
#include "damasklink/coordination/ProposalTable.h"
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

class GroupMachines
{
public:
  explicit GroupMachines(GroupId aGroup)
    : group(std::move(aGroup))
  {
  }

  // Requires that aMachine outlives this object.
  void Add(MachinePart aPart, ReplicatedMachine& aMachine);

  // Lets commands see which founding of the group they belong to. Requires that aLife outlives this
  // object.
  void SetLife(const GroupLife& aLife) { this->life = &aLife; }

  bool Has(MachinePart aPart) const { return this->machines.contains(aPart); }

  // Applies one entry; nothing comes back for entries that are no commands.
  std::optional<AppliedProposal> Apply(const LogEntry& aEntry);

  // Returns the kept answer of an applied proposal.
  std::optional<std::string> FindAnswer(const ProposalId& aProposal) const
  {
    return this->proposals.Find(aProposal);
  }

  // Returns the state of all machines, of those of another program version too.
  std::string Save() const;

  // Fails with Corrupt; then the machines may hold parts of both states and must not be used.
  Result<void> Load(std::string_view aBytes);

private:
  GroupId group;
  const GroupLife* life = nullptr;
  std::map<MachinePart, ReplicatedMachine*> machines;
  // States of parts that this program does not know; kept so that no snapshot loses them.
  std::map<MachinePart, std::string> unknown;
  ProposalTable proposals;
};

} // namespace damasklink
