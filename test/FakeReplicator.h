// A replicator whose answers a test gives by hand.
#pragma once

#include <deque>

#include "damasklink/coordination/Replication.h"

namespace damasklink {

class FakeReplicator final : public Replicator
{
public:
  struct Call
  {
    GroupId group;
    std::string command;
    ProposalDone done;
  };

  void AddMachine(const GroupId& /*aGroup*/,
                  StateMachineId /*aPart*/,
                  ReplicatedStateMachine& /*aMachine*/) override
  {
  }

  void Propose(const GroupId& aGroup,
               StateMachineId /*aPart*/,
               std::string aCommand,
               Duration /*aTimeout*/,
               ProposalDone aDone) override
  {
    this->calls.push_back(Call{ aGroup, std::move(aCommand), std::move(aDone) });
  }

  GroupStatus Status(const GroupId& /*aGroup*/) const override { return GroupStatus(); }

  // Answers the oldest call.
  void Answer(Result<std::string> aReply)
  {
    const Call call = std::move(this->calls.front());
    this->calls.pop_front();
    call.done(std::move(aReply));
  }

  std::deque<Call> calls;
};

} // namespace damasklink
