// Agreement of one host: the replicas of its groups and the way to all others.
#pragma once

#include <map>
#include <utility>

#include "HostContext.h"
#include "damasklink/coordination/Replication.h"

namespace damasklink {

// Applies commands at once, in memory, on this host alone. Stands in until the replicated log of
// this system takes its place; nothing it holds survives the process.
class SoloReplicator final : public Replicator
{
public:
  explicit SoloReplicator(const HostContext& aContext)
    : context(aContext)
  {
  }

  void AddMachine(const GroupId& aGroup, MachinePart aPart, ReplicatedMachine& aMachine) override;
  void Propose(const GroupId& aGroup,
               MachinePart aPart,
               std::string aCommand,
               Duration aTimeout,
               ProposalDone aDone) override;
  GroupStatus Status(const GroupId& aGroup) const override;

private:
  const HostContext& context;
  std::map<std::pair<GroupId, MachinePart>, ReplicatedMachine*> machines;
  LogIndex lastIndex;
};

class AgreementPart
{
public:
  explicit AgreementPart(const HostContext& aContext);

  Replicator& Groups() { return this->replicator; }

  // Adds its modules to the control loop. Requires to be called before the loop starts.
  Result<void> Start();

  void AddRoutes(const HostServers& aServers);

private:
  const HostContext& context;
  SoloReplicator replicator;
};

} // namespace damasklink
