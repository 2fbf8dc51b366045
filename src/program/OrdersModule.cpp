#include "OrdersModule.h"

#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

constexpr Duration kPlanInterval = std::chrono::milliseconds(200);
constexpr Duration kProposalTimeout = std::chrono::seconds(5);

OrderTimings
TimingsOf(const HostSettings& aSettings)
{
  OrderTimings timings;
  timings.lease = aSettings.timeouts.electionMost;
  return timings;
}

std::string_view
OutcomeName(OrderOutcome aOutcome)
{
  switch (aOutcome) {
    case OrderOutcome::Accepted:
      return "taken";
    case OrderOutcome::Refused:
      return "refused";
    case OrderOutcome::NotSent:
      return "not_sent";
    case OrderOutcome::NotKnown:
      return "not_known";
    case OrderOutcome::LeaseEnded:
      return "lease_ended";
  }
  return "not_known";
}

} // namespace

OrdersModule::OrdersModule(const HostContext& aContext,
                           Replicator& aGroups,
                           const ConfigDistributor& aDistributor,
                           const TargetRegistry& aTargets)
  : context(aContext)
  , groups(aGroups)
  , distributor(aDistributor)
  , targets(aTargets)
  , orders(aContext.clock, TimingsOf(aContext.settings), this->machine)
  , lease(aContext.clock)
  , sender(this->lease,
           OrderTimings().orderInFlight,
           [this](const TargetId& aTarget, OrderOutcome aOutcome) {
             LogEvent(LogLevel::Info, "order_sent")
               .With("target", aTarget)
               .With("outcome", OutcomeName(aOutcome));
             this->context.metrics.Add(Counter::Orders, MetricKey(), 1);
             this->context.control.Post(
               [this, aTarget, aOutcome] { this->orders.OnSent(aTarget, aOutcome); });
           })
{
  this->groups.AddMachine(ControlGroupId(), StateMachineId::Orders, this->machine);
}

void
OrdersModule::OnTick(MonotonicTime aNow)
{
  const bool held = this->groups.Status(ControlGroupId()).leaseHeld;
  this->lease.Set(held);
  if (aNow < this->nextPlan) {
    return;
  }
  this->nextPlan = aNow + kPlanInterval;
  const bool mayAct = held && this->distributor.Joined() && !this->distributor.Stale();
  for (const OrderAction& action :
       this->orders.Plan(mayAct, this->distributor.Tree().Deployments(), this->targets)) {
    this->ExecuteAction(action);
  }
}

void
OrdersModule::FillStatus(HostStatus& aStatus) const
{
  for (const DeploymentProgress& progress :
       this->orders.Progress(this->distributor.Tree().Deployments(), this->targets)) {
    aStatus.rollouts.push_back(
      RolloutStatus{ progress.deployment.Value(), progress.state, progress.detail });
  }
}

void
OrdersModule::ExecuteAction(const OrderAction& aAction)
{
  if (const auto* issue = std::get_if<IssueFencing>(&aAction)) {
    this->ProposeFencing(issue->target);
  } else if (const auto* send = std::get_if<SendOrder>(&aAction)) {
    this->sender.Send(send->order);
  } else {
    this->ProposeStop(std::get<StopRollout>(aAction));
  }
}

void
OrdersModule::ProposeFencing(const TargetId& aTarget)
{
  this->groups.Propose(ControlGroupId(),
                       StateMachineId::Orders,
                       PackIssueFencing(aTarget),
                       kProposalTimeout,
                       [this, aTarget](const Result<std::string>& aAnswer) {
                         this->orders.OnFencingIssued(aTarget,
                                                      aAnswer ? UnpackFencing(aAnswer.value())
                                                              : Fail(aAnswer.error()));
                       });
}

void
OrdersModule::ProposeStop(const StopRollout& aStop)
{
  LogEvent(LogLevel::Error, "rollout_stopped")
    .With("deployment", aStop.deployment)
    .With("reason", aStop.reason);
  this->groups.Propose(ControlGroupId(),
                       StateMachineId::Orders,
                       PackStopRollout(aStop.deployment, aStop.desiredHash, aStop.reason),
                       kProposalTimeout,
                       [this, name = aStop.deployment](const Result<std::string>& aAnswer) {
                         if (!aAnswer) {
                           this->orders.OnStopNotRecorded(name);
                         }
                       });
}

} // namespace damasklink
