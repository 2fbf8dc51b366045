// Brings engines to the named weights, one holder at a time. Without I/O.
//
// The host that leads the control group orders; a new leader first waits until no order of the
// former one can still be taken for its own (OrderLease). Each order carries the count of orders
// that the engine had accepted when it was last read, so that an order which is carried out late
// changes nothing any more. An engine is read before its first order, and again until it has what
// is named: whatever became of an order, what counts is what the engine reports.
//
//   WeightRollout rollout(clock, options);
//   for (const RolloutAction& action : rollout.Plan(leaseHeld, wished, engines)) ...
//   rollout.OnReport(target, report);
//   rollout.OnOrdered(target, outcome);
//   rollout.Paused();                       // Engines that should get no new work for now.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "damasklink/coordination/Target.h"
#include "damasklink/state/Clock.h"

namespace damasklink {

struct RolloutOptions
{
  // Orders of two holders must be this far apart.
  Duration orderLease = std::chrono::milliseconds(3300);
  // Share of the engines of a model that are out of service at once, at most. The others read
  // prompts anew meanwhile, and have the less room for the load of those that are out.
  double maxUnavailableShare = 0.2;
  // How long an engine gets no new work before it is ordered. Most of its runs end in that time;
  // the others go on under the new weights, which is worth less to their callers than whole
  // answers, but takes the engine out for a second and not for as long as its longest run.
  Duration drain = std::chrono::milliseconds(400);
  // Until all engines should have been ordered. Orders are spread evenly over it: engines that load
  // at the same moment slow each other down, and each that waits for its runs serves nobody new.
  Duration spread = std::chrono::milliseconds(5500);
  // An engine loads within a second or two; much later its order was lost, or will be carried out
  // late.
  Duration orderTimeout = std::chrono::milliseconds(2500);
  // Between two questions to an engine that is under an order.
  Duration reportInterval = std::chrono::milliseconds(300);
};

// What an engine says of itself.
struct EngineReport
{
  bool busy = false;
  // Orders that it has accepted since its start.
  std::uint64_t ordersAccepted = 0;
  std::vector<ServedModel> models;
  // Which start of the engine says so; zero where it does not tell.
  Incarnation incarnation;
};

// Ask the engine for its report; answered with OnReport().
struct ReadEngine
{
  TargetId target;
  Endpoint endpoint;
};

// Order the engine to load; answered with OnOrdered(). The sender checks the lease just before the
// bytes leave.
struct OrderWeights
{
  TargetId target;
  Endpoint endpoint;
  ModelName model;
  std::uint64_t version = 0;
  std::uint64_t ordersAccepted = 0;
};

using RolloutAction = std::variant<ReadEngine, OrderWeights>;

class WeightRollout
{
public:
  WeightRollout(const Clock& aClock, RolloutOptions aOptions);

  // Returns what is to be done now. Requires to be called several times a second while weights are
  // not in place. aEngines are those that may get work.
  std::vector<RolloutAction> Plan(bool aLeaseHeld,
                                  const std::map<ModelName, std::uint64_t>& aWished,
                                  const std::vector<TargetRecord>& aEngines);

  // Takes what an engine reported; nothing when it did not answer. What an earlier start of the
  // engine reported changes nothing.
  void OnReport(const TargetId& aTarget, const std::optional<EngineReport>& aReport);

  // Tells that an order was answered, or was not. Only a later report tells what became of it.
  void OnOrdered(const TargetId& aTarget);

  // Returns the engines that are under an order or about to be.
  std::set<TargetId> Paused() const;

  // Returns the version that the engine reported last, 0 when it was not asked.
  std::uint64_t ReportedVersion(const TargetId& aTarget, const ModelName& aModel) const;

  // Returns the versions that engines reported, by engine and model.
  const std::map<std::pair<TargetId, ModelName>, std::uint64_t>& Reported() const
  {
    return this->reported;
  }

private:
  enum class Stage
  {
    Reading,  // A question is out.
    Read,     // Its report is known.
    Ordering, // An order is out.
    Ordered,  // It was answered, or nothing came.
  };

  struct Work
  {
    ModelName model;
    std::uint64_t version = 0;
    Stage stage = Stage::Reading;
    EngineReport report;
    bool known = false;
    MonotonicTime begunAt;
    MonotonicTime orderedAt;
    MonotonicTime nextRead;
  };

  bool MayOrder() const;
  bool AreUnchanged(const std::vector<TargetRecord>& aEngines) const;
  void UpdateEngines(const std::vector<TargetRecord>& aEngines);
  std::optional<RolloutAction> Advance(const TargetRecord& aEngine, Work& aWork);
  static std::uint64_t VersionOf(const std::vector<ServedModel>& aModels, const ModelName& aModel);

  const Clock& clock;
  RolloutOptions options;
  bool leading = false;
  MonotonicTime ledSince;
  MonotonicTime nextStart;
  std::map<TargetId, Work> works;
  // The start of each engine that works and reports are of.
  std::map<TargetId, Incarnation> starts;
  // By engine and model, as reported; kept until the engine is gone.
  std::map<std::pair<TargetId, ModelName>, std::uint64_t> reported;
};

} // namespace damasklink
