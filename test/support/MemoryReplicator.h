// A replicator that applies commands at once, in memory, on this host alone.
#pragma once

#include <map>
#include <utility>

#include "damasklink/coordination/Replication.h"

namespace damasklink::testing {

class MemoryReplicator final : public Replicator
{
public:
  explicit MemoryReplicator(const Clock& aClock)
    : clock(aClock)
  {
  }

  void AddMachine(const GroupId& aGroup,
                  StateMachineId aPart,
                  ReplicatedStateMachine& aMachine) override
  {
    this->machines[{ aGroup, aPart }] = &aMachine;
  }

  void Propose(const GroupId& aGroup,
               StateMachineId aPart,
               std::string aCommand,
               Duration /*aTimeout*/,
               ProposalDone aDone) override
  {
    const auto found = this->machines.find({ aGroup, aPart });
    if (found == this->machines.end()) {
      aDone(Fail(ErrorKind::Unavailable, "the group is not on this host", "ask another host"));
      return;
    }
    this->lastIndex = this->lastIndex.Next();
    ApplyContext context;
    context.group = aGroup;
    context.index = this->lastIndex;
    context.term = Term(1);
    context.proposedAt = this->clock.WallNow();
    aDone(found->second->Apply(context, aCommand));
  }

  GroupStatus Status(const GroupId& aGroup) const override
  {
    GroupStatus status;
    status.group = aGroup;
    status.leading = true;
    status.leaseHeld = true;
    status.committed = this->lastIndex;
    return status;
  }

private:
  const Clock& clock;
  std::map<std::pair<GroupId, StateMachineId>, ReplicatedStateMachine*> machines;
  LogIndex lastIndex;
};

} // namespace damasklink::testing
