// Fencing numbers of orders to targets, and rollouts that stopped, as the control group keeps them.
#pragma once

#include <map>

#include "damasklink/coordination/Replication.h"
#include "damasklink/state/ConfigTree.h"

namespace damasklink {

// A short name of what a deployment wishes: another wish, or another attempt, has another one.
using DesiredStateHash = std::uint64_t;

DesiredStateHash
HashDesiredState(const Deployment& aDeployment);

// Why a rollout stopped.
struct RolloutStop
{
  DesiredStateHash wish = 0;
  std::string reason;
  WallTime when;

  bool operator==(const RolloutStop&) const = default;
};

// Gives each order a fencing number above all former ones.
//
//   replicator.AddMachine(ControlGroupId(), MachinePart::Orders, machine);
//   Propose(PackIssueFencing(target)) -> UnpackFencing(answer)
//
// Numbers rise over all targets, terms and leaders. A proposal whose answer was lost leaves a gap,
// which harms nobody.
class OrderStateMachine final : public ReplicatedMachine
{
public:
  std::string Apply(const ApplyContext& aContext, std::string_view aCommand) override;
  std::string Save() const override;
  Result<void> Load(std::string_view aSnapshot) override;

  FencingNumber LastIssued() const { return this->lastIssued; }

  // Returns the stop of a deployment's rollout, or nullptr when this wish was not stopped.
  const RolloutStop* FindStop(const DeploymentName& aDeployment, DesiredStateHash aWish) const;

private:
  FencingNumber lastIssued;
  std::map<DeploymentName, RolloutStop> stops;
};

std::string
PackIssueFencing(const TargetId& aTarget);

std::string
PackStopRollout(const DeploymentName& aDeployment,
                DesiredStateHash aWish,
                const std::string& aReason);

// Fails with Corrupt.
Result<FencingNumber>
UnpackFencing(std::string_view aAnswer);

} // namespace damasklink
