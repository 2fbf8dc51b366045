// Orders to targets on the control thread: planning, fencing numbers, sending, status.
#pragma once

#include "HostContext.h"
#include "OrderSender.h"
#include "damasklink/coordination/ConfigDistributor.h"
#include "damasklink/coordination/Replication.h"
#include "damasklink/protocol/OperatorApi.h"

namespace damasklink {

// Executes the actions that TargetOrders plans. All functions are called on the control thread.
class OrdersModule final : public ControlModule
{
public:
  OrdersModule(const HostContext& aContext,
               Replicator& aGroups,
               const ConfigDistributor& aDistributor,
               const TargetRegistry& aTargets);

  void Start() { this->sender.Start(); }
  // Hosts exchange no messages about orders.
  void OnPeerMessage(const HostId& /*aFrom*/, const PeerMessage& /*aMessage*/) override {}
  void OnTick(MonotonicTime aNow) override;

  // Adds the progress of each deployment.
  void FillStatus(HostStatus& aStatus) const;

private:
  void ExecuteAction(const OrderAction& aAction);
  void ProposeFencing(const TargetId& aTarget);
  void ProposeStop(const StopRollout& aStop);

  const HostContext& context;
  Replicator& groups;
  const ConfigDistributor& distributor;
  const TargetRegistry& targets;
  OrderStateMachine machine;
  TargetOrders orders;
  LeaseStamp lease;
  OrderSender sender;
  MonotonicTime nextPlan;
};

} // namespace damasklink
