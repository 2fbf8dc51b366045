// Orders to targets on the control thread: plans, fencing numbers from the group, status.
#pragma once

#include "HostContext.h"
#include "OrderSender.h"
#include "damasklink/coordination/ConfigDistributor.h"
#include "damasklink/coordination/Replication.h"
#include "damasklink/protocol/OperatorApi.h"

namespace damasklink {

// Carries out what TargetOrders decides. All calls come on the control thread.
class OrdersModule final : public ControlModule
{
public:
  OrdersModule(const HostContext& aContext,
               Replicator& aGroups,
               const ConfigDistributor& aSpread,
               const TargetRegistry& aTargets);

  void Start() { this->sender.Start(); }
  // Orders are not spoken of between hosts.
  void OnPeerMessage(const HostId& /*aFrom*/, const PeerMessage& /*aMessage*/) override {}
  void OnTick(MonotonicTime aNow) override;

  // Adds how far each deployment is.
  void FillStatus(HostStatus& aStatus) const;

private:
  void ExecuteAction(const OrderAction& aAction);
  void Issue(const TargetId& aTarget);
  void Stop(const StopRollout& aStop);

  const HostContext& context;
  Replicator& groups;
  const ConfigDistributor& spread;
  const TargetRegistry& targets;
  OrderStateMachine machine;
  TargetOrders orders;
  LeaseStamp lease;
  OrderSender sender;
  MonotonicTime nextPlan;
};

} // namespace damasklink
