// Which orders engines get so that they come to serve what deployments wish.
#pragma once

#include <map>
#include <set>
#include <variant>
#include <vector>

#include "damasklink/coordination/OrderStateMachine.h"
#include "damasklink/coordination/TargetRegistry.h"

namespace damasklink {

// An order states the wished end, so giving it twice does what giving it once does.
struct TargetOrder
{
  TargetId target;
  Endpoint endpoint;
  FencingNumber fencing;
  ServedModel wished;
  DeploymentRole role = DeploymentRole::Keep;

  bool operator==(const TargetOrder&) const = default;
};

// Asks the control group for a fencing number; answered with OnFencingIssued().
struct IssueFencing
{
  TargetId target;
};

// Sends an order; answered with OnSent(). The sender checks the lease just before the bytes leave.
struct SendOrder
{
  TargetOrder order;
};

// Has the control group remember that a rollout stopped.
struct StopRollout
{
  DeploymentName deployment;
  DesiredStateHash wish = 0;
  std::string reason;
};

using OrderAction = std::variant<IssueFencing, SendOrder, StopRollout>;

// What came of sending an order.
enum class OrderOutcome
{
  Taken,
  Refused,    // The target answered that it will not.
  NotSent,    // The lease was over before the bytes left, or the target could not be reached.
  NotKnown,   // Bytes left and no answer came.
  LeaseEnded, // Sent, and the lease was over right after: a successor may have ordered otherwise.
};

struct OrderTimings
{
  // No lease lasts longer.
  Duration lease = std::chrono::seconds(2);
  // Longest time between the check of the lease and the last byte of an order.
  Duration orderInFlight = std::chrono::seconds(5);
};

// How far one deployment is; for status.
struct DeploymentProgress
{
  DeploymentName deployment;
  std::string state;
  std::string detail;
};

// Decides on orders while this host leads, and compares what targets report with what is wished.
//
//   TargetOrders orders(clock, limits, machine);
//   for (auto& action : orders.Plan(true, tree.Deployments(), registry)) { ... }
//
// - Only the holder of the lease gives orders. A new leader first waits until the former lease and
//   the longest order in flight are over before it orders targets that ignore fencing numbers;
//   targets that check them take its higher number at once.
// - What a target reports is compared again and again: an order of a former leader that arrived
//   late, or a restart with other weights, is repaired by a new order.
// - Between two loads passes the load interval of the deployment, and keep_serving engines of it
//   stay usable and without an order.
// - The first engine that refuses its order, falls silent under it, or does not report the wished
//   end within the load limit stops the rollout: no further engine is ordered until the wish or
//   its attempt changes. Engines that have the wished end already stay as they are.
// - An engine that ignores fencing numbers is ordered once more when the load limit is over, before
//   that counts as a failure: an order of a former leader may have pushed out the one it had.
// Not thread-safe.
class TargetOrders
{
public:
  TargetOrders(const Clock& aClock, OrderTimings aLimits, const OrderStateMachine& aMachine);

  // Requires to be called now and then; aLeaseHeld tells whether this host may act.
  std::vector<OrderAction> Plan(bool aLeaseHeld,
                                const DeploymentSet& aDeployments,
                                const TargetRegistry& aTargets);

  // The group gave a number, or could not; then the order is tried again.
  void OnFencingIssued(const TargetId& aTarget, const Result<FencingNumber>& aFencing);

  void OnSent(const TargetId& aTarget, OrderOutcome aOutcome);

  // The group could not remember the stop; it is asked again.
  void OnStopNotRecorded(const DeploymentName& aDeployment) { this->stopping.erase(aDeployment); }

  std::vector<DeploymentProgress> Progress(const DeploymentSet& aDeployments,
                                           const TargetRegistry& aTargets) const;

private:
  enum class OrderStage
  {
    Issuing, // Waits for its fencing number.
    Issued,  // Has one; to be sent.
    Sending,
    Taken, // The target works on it.
    Failed,
  };

  struct OpenOrder
  {
    DeploymentName deployment;
    DesiredStateHash wish = 0;
    OrderStage stage = OrderStage::Issuing;
    FencingNumber fencing;
    MonotonicTime since;
    // Was sent a second time, since nothing came of the first.
    bool repeated = false;
    std::string failure;
  };

  void PlanDeployment(const DeploymentName& aName,
                      const Deployment& aDeployment,
                      const TargetRegistry& aTargets,
                      std::vector<OrderAction>& aTo);
  // Moves the open order of one target on. Returns whether the target has an order open.
  bool Advance(const TargetRecord& aRecord,
               const Deployment& aDeployment,
               const TargetRegistry& aTargets,
               std::vector<OrderAction>& aTo);
  void Begin(const DeploymentName& aName,
             const Deployment& aDeployment,
             const TargetRecord& aRecord,
             std::vector<OrderAction>& aTo);
  // Whether the target may be ordered by this leader now.
  bool MayOrder(const TargetRecord& aRecord) const;
  std::string FindFailure(const DeploymentName& aName, DesiredStateHash aWish) const;
  std::size_t CountServing(const Deployment& aDeployment, const TargetRegistry& aTargets) const;

  const Clock& clock;
  OrderTimings limits;
  const OrderStateMachine& machine;
  bool leading = false;
  MonotonicTime ledSince;
  MonotonicTime lastLoad;
  std::map<TargetId, OpenOrder> open;
  std::set<DeploymentName> stopping;
};

// Returns whether the target reports the wished end.
bool
HasDesiredState(const TargetRecord& aRecord, const Deployment& aDeployment);

} // namespace damasklink
