#include "damasklink/coordination/TargetOrders.h"

#include <algorithm>

#include "damasklink/state/Text.h"

namespace damasklink {
namespace {

bool
HasRole(TargetRole aReported, DeploymentRole aDesired)
{
  switch (aDesired) {
    case DeploymentRole::Keep:
      return true;
    case DeploymentRole::Both:
      return aReported == TargetRole::Both;
    case DeploymentRole::Prefill:
      return aReported == TargetRole::Prefill;
    case DeploymentRole::Decode:
      return aReported == TargetRole::Decode;
  }
  return false;
}

bool
HasAdapters(const ServedModel& aServed, const std::vector<AdapterName>& aDesired)
{
  return std::all_of(aDesired.begin(), aDesired.end(), [&](const AdapterName& aAdapter) {
    return std::find(aServed.adapters.begin(), aServed.adapters.end(), aAdapter) !=
           aServed.adapters.end();
  });
}

// Returns whether the target serves the model in any version.
bool
ServesAnyVersion(const TargetRecord& aRecord, const ModelName& aModel)
{
  return std::any_of(aRecord.models.begin(), aRecord.models.end(), [&](const ServedModel& aServed) {
    return aServed.model == aModel;
  });
}

} // namespace

bool
HasDesiredState(const TargetRecord& aRecord, const Deployment& aDeployment)
{
  bool served = false;
  for (const ServedModel& model : aRecord.models) {
    if (model.model != aDeployment.model) {
      continue;
    }
    if (model.version != aDeployment.version) {
      return false;
    }
    served = served || HasAdapters(model, aDeployment.adapters);
  }
  return served && HasRole(aRecord.role, aDeployment.role);
}

TargetOrders::TargetOrders(const Clock& aClock,
                           OrderTimings aTimings,
                           const OrderStateMachine& aMachine)
  : clock(aClock)
  , timings(aTimings)
  , machine(aMachine)
{
}

std::vector<OrderAction>
TargetOrders::Plan(bool aLeaseHeld,
                   const DeploymentSet& aDeployments,
                   const TargetRegistry& aTargets)
{
  std::vector<OrderAction> actions;
  if (!aLeaseHeld) {
    this->leading = false;
    return actions;
  }
  const MonotonicTime now = this->clock.MonotonicNow();
  if (!this->leading) {
    // The open orders of an earlier term belong to the leaders that followed it.
    this->openOrders.clear();
    this->stopping.clear();
    this->leading = true;
    this->leadingSince = now;
    // The former leader may have started a load just now.
    this->lastLoad = now;
  }
  std::erase_if(this->openOrders, [&](const auto& aItem) {
    const auto deployment = aDeployments.find(aItem.second.deployment);
    return deployment == aDeployments.end() ||
           HashDesiredState(deployment->second) != aItem.second.desiredHash;
  });
  for (const auto& [name, deployment] : aDeployments) {
    this->PlanDeployment(name, deployment, aTargets, actions);
  }
  return actions;
}

void
TargetOrders::PlanDeployment(const DeploymentName& aName,
                             const Deployment& aDeployment,
                             const TargetRegistry& aTargets,
                             std::vector<OrderAction>& aTo)
{
  const DesiredStateHash desiredHash = HashDesiredState(aDeployment);
  std::vector<const TargetRecord*> candidates;
  for (const TargetId& target : aDeployment.targets) {
    const TargetRecord* record = aTargets.Find(target);
    if (record == nullptr) {
      continue;
    }
    const bool hasOrder = this->Advance(*record, aDeployment, aTargets, aTo);
    if (!hasOrder && !HasDesiredState(*record, aDeployment) && aTargets.IsUsable(target)) {
      candidates.push_back(record);
    }
  }
  if (this->machine.FindStop(aName, desiredHash) != nullptr) {
    return;
  }
  if (const std::string failure = this->FindFailure(aName, desiredHash); !failure.empty()) {
    if (this->stopping.insert(aName).second) {
      aTo.push_back(StopRollout{ aName, desiredHash, failure });
    }
    return;
  }
  this->stopping.erase(aName);
  for (const TargetRecord* record : candidates) {
    const bool tooSoon = this->clock.MonotonicNow() - this->lastLoad < aDeployment.loadInterval;
    // Ordering this engine must leave enough others; an engine that does not serve the model is not
    // missed.
    const bool enoughOthers = !ServesAnyVersion(*record, aDeployment.model) ||
                              this->CountServing(aDeployment, aTargets) > aDeployment.keepServing;
    if (!tooSoon && enoughOthers && this->MayOrder(*record)) {
      this->Begin(aName, aDeployment, *record, aTo);
    }
  }
}

bool
TargetOrders::Advance(const TargetRecord& aRecord,
                      const Deployment& aDeployment,
                      const TargetRegistry& aTargets,
                      std::vector<OrderAction>& aTo)
{
  const auto found = this->openOrders.find(aRecord.id);
  if (found == this->openOrders.end()) {
    return false;
  }
  OpenOrder& order = found->second;
  if (order.stage == OrderStage::Failed) {
    return true;
  }
  if (order.stage == OrderStage::Issued && this->MayOrder(aRecord)) {
    order.stage = OrderStage::Sending;
    aTo.push_back(SendOrder{
      TargetOrder{ aRecord.id,
                   aRecord.endpoint,
                   order.fencing,
                   ServedModel{ aDeployment.model, aDeployment.version, aDeployment.adapters },
                   aDeployment.role } });
    return true;
  }
  if (order.stage == OrderStage::Accepted && HasDesiredState(aRecord, aDeployment)) {
    this->openOrders.erase(found);
    return false;
  }
  const Duration elapsed = this->clock.MonotonicNow() - order.since;
  if (order.stage == OrderStage::Accepted && !aTargets.IsUsable(aRecord.id)) {
    order.stage = OrderStage::Failed;
    order.failure = "became silent or left while it had an order";
  } else if (order.stage == OrderStage::Accepted && elapsed >= aDeployment.loadLimit) {
    if (!aRecord.checksFencing && !order.repeated) {
      // A late order of a former leader may have replaced this one; the engine then reports no
      // change either. Sending it again distinguishes this from an engine that cannot load.
      order.repeated = true;
      order.stage = OrderStage::Issued;
    } else {
      order.stage = OrderStage::Failed;
      order.failure = "did not report the desired state within the load limit";
    }
  }
  return true;
}

void
TargetOrders::Begin(const DeploymentName& aName,
                    const Deployment& aDeployment,
                    const TargetRecord& aRecord,
                    std::vector<OrderAction>& aTo)
{
  const MonotonicTime now = this->clock.MonotonicNow();
  OpenOrder order;
  order.deployment = aName;
  order.desiredHash = HashDesiredState(aDeployment);
  order.since = now;
  this->openOrders[aRecord.id] = std::move(order);
  this->lastLoad = now;
  aTo.push_back(IssueFencing{ aRecord.id });
}

bool
TargetOrders::MayOrder(const TargetRecord& aRecord) const
{
  const Duration leadingFor = this->clock.MonotonicNow() - this->leadingSince;
  return aRecord.checksFencing || leadingFor >= this->timings.lease + this->timings.orderInFlight;
}

std::string
TargetOrders::FindFailure(const DeploymentName& aName, DesiredStateHash aDesiredHash) const
{
  for (const auto& [target, order] : this->openOrders) {
    const bool failed = order.stage == OrderStage::Failed && order.desiredHash == aDesiredHash;
    if (failed && order.deployment == aName) {
      return Concat("engine '", target.Value(), "' ", order.failure);
    }
  }
  return "";
}

std::size_t
TargetOrders::CountServing(const Deployment& aDeployment, const TargetRegistry& aTargets) const
{
  return static_cast<std::size_t>(std::count_if(
    aDeployment.targets.begin(), aDeployment.targets.end(), [&](const TargetId& aTarget) {
      return aTargets.IsUsable(aTarget) && !this->openOrders.contains(aTarget);
    }));
}

void
TargetOrders::OnFencingIssued(const TargetId& aTarget, const Result<FencingNumber>& aFencing)
{
  const auto found = this->openOrders.find(aTarget);
  if (found == this->openOrders.end() || found->second.stage != OrderStage::Issuing) {
    return;
  }
  if (!aFencing) {
    this->openOrders.erase(found);
    return;
  }
  found->second.fencing = aFencing.value();
  found->second.stage = OrderStage::Issued;
}

void
TargetOrders::OnSent(const TargetId& aTarget, OrderOutcome aOutcome)
{
  const auto found = this->openOrders.find(aTarget);
  if (found == this->openOrders.end() || found->second.stage != OrderStage::Sending) {
    return;
  }
  switch (aOutcome) {
    case OrderOutcome::Accepted:
    case OrderOutcome::NotKnown:
    case OrderOutcome::LeaseEnded:
      // Later reports of the target tell whether the order had any effect.
      found->second.stage = OrderStage::Accepted;
      found->second.since = this->clock.MonotonicNow();
      return;
    case OrderOutcome::NotSent:
      this->openOrders.erase(found);
      return;
    case OrderOutcome::Refused:
      found->second.stage = OrderStage::Failed;
      found->second.failure = "refused its order";
      return;
  }
}

std::vector<DeploymentProgress>
TargetOrders::Progress(const DeploymentSet& aDeployments, const TargetRegistry& aTargets) const
{
  std::vector<DeploymentProgress> all;
  for (const auto& [name, deployment] : aDeployments) {
    std::size_t done = 0;
    for (const TargetId& target : deployment.targets) {
      const TargetRecord* record = aTargets.Find(target);
      done += aTargets.IsUsable(target) && HasDesiredState(*record, deployment) ? 1 : 0;
    }
    const std::string counts =
      Concat(done, " of ", deployment.targets.size(), " engines in the desired state");
    const RolloutStop* stop = this->machine.FindStop(name, HashDesiredState(deployment));
    if (stop != nullptr) {
      all.push_back(
        { name, "stopped", Concat(counts, "; ", stop->reason, "; raise attempt to try again") });
    } else {
      const bool complete = done == deployment.targets.size();
      all.push_back({ name, complete ? "complete" : "under way", counts });
    }
  }
  return all;
}

} // namespace damasklink
