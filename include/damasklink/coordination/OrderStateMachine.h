// Fencing numbers of orders to targets, and stopped rollouts, as replicated state of the control
// group.
#pragma once

#include <map>

#include "damasklink/coordination/Replication.h"
#include "damasklink/state/ConfigTree.h"

namespace damasklink {

// Identifies the desired state of a deployment; changes with its model, version, adapters, role or
// attempt.
using DesiredStateHash = std::uint64_t;

// Returns the hash of a deployment's desired state.
DesiredStateHash
HashDesiredState(const Deployment& aDeployment);

// A stopped rollout and the reason.
struct RolloutStop
{
  DesiredStateHash desiredHash = 0;
  std::string reason;
  WallTime when;

  bool operator==(const RolloutStop&) const = default;
};

// Gives each order a fencing number above all earlier ones, and records rollouts that stopped.
//
//   replicator.AddMachine(ControlGroupId(), StateMachineId::Orders, machine);
//   Propose(PackIssueFencing(target)) -> UnpackFencing(answer)
//
// Numbers increase across all targets, terms and leaders. A proposal whose answer was lost leaves a
// gap in the sequence, which is harmless. Not thread-safe.
class OrderStateMachine final : public ReplicatedStateMachine
{
public:
  std::string Apply(const ApplyContext& aContext, std::string_view aCommand) override;
  std::string Save() const override;
  Result<void> Load(std::string_view aSnapshot) override;

  FencingNumber LastIssued() const { return this->lastIssued; }

  // Returns the stop of the deployment's rollout, or nullptr when the rollout to this desired state
  // has not stopped.
  const RolloutStop* FindStop(const DeploymentName& aDeployment,
                              DesiredStateHash aDesiredHash) const;

private:
  FencingNumber lastIssued;
  std::map<DeploymentName, RolloutStop> stops;
};

// Returns the command that issues the next fencing number.
std::string
PackIssueFencing(const TargetId& aTarget);

// Returns the command that records a stopped rollout; it replaces an earlier stop of the
// deployment.
std::string
PackStopRollout(const DeploymentName& aDeployment,
                DesiredStateHash aDesiredHash,
                const std::string& aReason);

// Returns the fencing number in an answer to PackIssueFencing(). Fails with Corrupt.
Result<FencingNumber>
UnpackFencing(std::string_view aAnswer);

} // namespace damasklink
