// Orders that bring engines to the state that their deployments specify.
#pragma once

#include <map>
#include <set>
#include <variant>
#include <vector>

#include "damasklink/coordination/OrderStateMachine.h"
#include "damasklink/coordination/TargetRegistry.h"

namespace damasklink {

// An order to an engine. It states the desired state, so carrying it out twice has the same effect
// as once.
struct TargetOrder
{
  TargetId target;
  Endpoint endpoint;
  FencingNumber fencing;
  ServedModel desired;
  DeploymentRole role = DeploymentRole::Keep;

  bool operator==(const TargetOrder&) const = default;
};

// Requests a fencing number from the control group; answered with OnFencingIssued().
struct IssueFencing
{
  TargetId target;
};

// Sends an order to its target; answered with OnSent(). The sender checks the lease immediately
// before the bytes leave.
struct SendOrder
{
  TargetOrder order;
};

// Records in the control group that a rollout has stopped.
struct StopRollout
{
  DeploymentName deployment;
  DesiredStateHash desiredHash = 0;
  std::string reason;
};

using OrderAction = std::variant<IssueFencing, SendOrder, StopRollout>;

// The result of sending an order.
enum class OrderOutcome
{
  Accepted,
  Refused,    // The target answered that it will not carry out the order.
  NotSent,    // The lease had ended before the bytes left, or the target could not be reached.
  NotKnown,   // Bytes left, but no answer came.
  LeaseEnded, // The lease ended right after sending: a new leader may have sent another order.
};

// Time limits that decide when a new leader may give orders.
struct OrderTimings
{
  // Upper bound on the duration of a leader's lease.
  Duration lease = std::chrono::seconds(2);
  // Upper bound on the time between the check of the lease and the last byte of an order.
  Duration orderInFlight = std::chrono::seconds(5);
};

// How far the rollout of one deployment has come; shown by the status command.
struct DeploymentProgress
{
  DeploymentName deployment;
  std::string state;
  std::string detail;
};

// Decides on orders while this host leads, by comparing what targets report with the desired state.
//
//   TargetOrders orders(clock, timings, machine);
//   for (auto& action : orders.Plan(leaseHeld, tree.Deployments(), registry)) { ... }
//
// - Only the holder of the lease gives orders. Targets that check fencing numbers can be ordered at
//   once, since a new leader's numbers are higher. Before ordering other targets, a new leader
//   waits until the former lease and the longest order in flight have ended.
// - The reports of targets are compared again on each call: an order of a former leader that
//   arrives late, or a restart with other weights, is corrected by a new order.
// - Consecutive loads are at least the deployment's load interval apart, and keep_serving of its
//   engines remain usable and without an order.
// - A rollout stops at the first engine that refuses its order, becomes silent while it has one, or
//   does not report the desired state within the load limit. No further engine is ordered until the
//   deployment's desired state or its attempt number changes. Engines that already have the desired
//   state keep it.
// - An engine that ignores fencing numbers gets its order a second time when the load limit ends,
//   before this counts as a failure: a late order of a former leader may have replaced the first
//   one.
//
// Not thread-safe.
class TargetOrders
{
public:
  TargetOrders(const Clock& aClock, OrderTimings aTimings, const OrderStateMachine& aMachine);

  // Returns the actions to take now. Must be called periodically; aLeaseHeld tells whether this
  // host holds the leader's lease.
  std::vector<OrderAction> Plan(bool aLeaseHeld,
                                const DeploymentSet& aDeployments,
                                const TargetRegistry& aTargets);

  // Takes the fencing number of an order. After an error the order is dropped and planned again.
  void OnFencingIssued(const TargetId& aTarget, const Result<FencingNumber>& aFencing);

  // Takes the result of sending an order.
  void OnSent(const TargetId& aTarget, OrderOutcome aOutcome);

  // The control group did not record the stop; the next Plan() requests it again.
  void OnStopNotRecorded(const DeploymentName& aDeployment) { this->stopping.erase(aDeployment); }

  // Returns the progress of each deployment, ordered by name.
  std::vector<DeploymentProgress> Progress(const DeploymentSet& aDeployments,
                                           const TargetRegistry& aTargets) const;

private:
  enum class OrderStage
  {
    Issuing, // Waiting for a fencing number.
    Issued,  // Has a fencing number and is to be sent.
    Sending,
    Accepted, // The target is carrying it out, or may be.
    Failed,
  };

  struct OpenOrder
  {
    DeploymentName deployment;
    DesiredStateHash desiredHash = 0;
    OrderStage stage = OrderStage::Issuing;
    FencingNumber fencing;
    // When it began, or when it was last sent.
    MonotonicTime since;
    // Whether it was sent a second time because the first had no effect.
    bool repeated = false;
    std::string failure;
  };

  void PlanDeployment(const DeploymentName& aName,
                      const Deployment& aDeployment,
                      const TargetRegistry& aTargets,
                      std::vector<OrderAction>& aTo);
  // Advances the open order of one target. Returns whether the target has an open order.
  bool Advance(const TargetRecord& aRecord,
               const Deployment& aDeployment,
               const TargetRegistry& aTargets,
               std::vector<OrderAction>& aTo);
  void Begin(const DeploymentName& aName,
             const Deployment& aDeployment,
             const TargetRecord& aRecord,
             std::vector<OrderAction>& aTo);
  // Returns whether this leader may give the target orders yet.
  bool MayOrder(const TargetRecord& aRecord) const;
  // Returns the failure of an order of the deployment as text, or an empty string.
  std::string FindFailure(const DeploymentName& aName, DesiredStateHash aDesiredHash) const;
  // Counts the usable engines of the deployment that have no open order.
  std::size_t CountServing(const Deployment& aDeployment, const TargetRegistry& aTargets) const;

  const Clock& clock;
  OrderTimings timings;
  const OrderStateMachine& machine;
  bool leading = false;
  MonotonicTime leadingSince;
  MonotonicTime lastLoad;
  std::map<TargetId, OpenOrder> openOrders;
  // Deployments whose stop is being recorded.
  std::set<DeploymentName> stopping;
};

// Returns whether the target reports the desired state of the deployment.
bool
HasDesiredState(const TargetRecord& aRecord, const Deployment& aDeployment);

} // namespace damasklink
