#include "AgreementPart.h"

namespace damasklink {

void
SoloReplicator::AddMachine(const GroupId& aGroup, MachinePart aPart, ReplicatedMachine& aMachine)
{
  this->machines[{ aGroup, aPart }] = &aMachine;
}

void
SoloReplicator::Propose(const GroupId& aGroup,
                        MachinePart aPart,
                        std::string aCommand,
                        Duration /*aTimeout*/,
                        ProposalDone aDone)
{
  const auto found = this->machines.find({ aGroup, aPart });
  if (found == this->machines.end()) {
    aDone(Fail(ErrorKind::Unavailable, "the group is not on this host", "ask another host"));
    return;
  }
  this->lastIndex = this->lastIndex.Next();
  const ApplyContext apply{ aGroup, this->lastIndex, Term(1), this->context.clock.WallNow() };
  aDone(found->second->Apply(apply, aCommand));
}

GroupStatus
SoloReplicator::Status(const GroupId& aGroup) const
{
  GroupStatus status;
  status.group = aGroup;
  status.term = Term(1);
  status.leader = this->context.settings.host;
  status.leading = true;
  status.leaseHeld = true;
  status.committed = this->lastIndex;
  return status;
}

AgreementPart::AgreementPart(const HostContext& aContext)
  : context(aContext)
  , replicator(aContext)
{
}

Result<void>
AgreementPart::Start()
{
  return Success();
}

void
AgreementPart::AddRoutes(const HostServers& /*aServers*/)
{
}

} // namespace damasklink
