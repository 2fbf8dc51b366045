// Rolls out new weights to the engines of each model, a limited share of them at a time. Performs
// no I/O.
//
// The update of an engine ends with its load, also if a newer version was named meanwhile: engines
// with the oldest weights go first, so that each gets its turn while versions come quickly.
//
// The leader of the control group gives the orders. A new leader first waits until no order of the
// former one can still be in flight (RolloutOptions::orderLease). Each order carries the number of
// orders that the engine had accepted when it was last read; the engine refuses an order with
// another number, so a late order has no effect. An engine is read before its first order, and
// again until it reports the desired version: whatever the answer to an order, only the report of
// the engine counts.
//
//   WeightRollout rollout(clock, options);
//   for (const RolloutAction& action : rollout.Plan(leaseHeld, desired, engines)) ...
//   rollout.OnReport(target, report);
//   rollout.OnOrdered(target);
//   rollout.Paused();                       // Engines that should get no new work for now.
//
// Not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "damasklink/coordination/Target.h"
#include "damasklink/state/Clock.h"

namespace damasklink {

// Time limits and shares of a rollout.
struct RolloutOptions
{
  // Minimum time between the orders of two leaders.
  Duration orderLease = std::chrono::milliseconds(3300);
  // Largest share of a model's engines that an update takes out of service at the same time. The
  // others recompute prompts meanwhile, and have the less capacity for the load of those that are
  // out.
  double maxUnavailableShare = 0.2;
  // Largest share of a model's engines under update, those included that serve nobody before it.
  // Loads that run side by side take longer, and the first engine should serve soon.
  double maxUpdatingShare = 0.5;
  // How long an engine gets no new work before it is ordered. Most of its requests end in that
  // time. The others continue under the new weights, which is worth less to their callers than
  // complete answers, but takes the engine out of service for a second instead of the duration of
  // its longest request.
  Duration drain = std::chrono::milliseconds(400);
  // Time in which all engines should get their orders, evenly spread: engines that load at the same
  // moment slow each other down, and an engine that waits for its requests to end serves no new
  // ones.
  Duration rolloutDuration = std::chrono::milliseconds(5500);
  // An engine loads within a second or two. If it does not report the new weights much later than
  // that, its order was lost or will be carried out late.
  Duration orderTimeout = std::chrono::milliseconds(2500);
  // An engine that has not loaded for this long gives its place to others that wait for one, and is
  // tried again after as long.
  Duration updateTimeout = std::chrono::milliseconds(5000);
  // Time between two reads of an engine that has an order.
  Duration reportInterval = std::chrono::milliseconds(300);
};

// The weights that the engines of a model are to have.
struct DesiredWeights
{
  std::uint64_t version = 0;
  // The version below which calls no longer begin. An engine with an older one serves nobody, so
  // that its update takes nothing out of service.
  std::uint64_t least = 0;
};

// The state that an engine reports.
struct EngineReport
{
  bool busy = false;
  // Orders that the engine has accepted since it started.
  std::uint64_t ordersAccepted = 0;
  std::vector<ServedModel> models;
  // The incarnation of the engine; zero when it does not report one.
  Incarnation incarnation;
};

// Reads the report of an engine; answered with OnReport().
struct ReadEngine
{
  TargetId target;
  Incarnation incarnation;
  Endpoint endpoint;
};

// Orders an engine to load weights; answered with OnOrdered(). The sender checks the lease
// immediately before the bytes leave.
struct OrderWeights
{
  TargetId target;
  Incarnation incarnation;
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

  // Returns the actions to take now. Must be called several times a second while any engine has
  // outdated weights. aEngines has the engines that may get work, ordered by id.
  std::vector<RolloutAction> Plan(bool aLeaseHeld,
                                  const std::map<ModelName, DesiredWeights>& aDesired,
                                  const std::vector<TargetRecord>& aEngines);

  // Takes the report of an engine, or nothing when it did not answer. The report of an earlier
  // incarnation is ignored.
  void OnReport(const TargetId& aTarget, const std::optional<EngineReport>& aReport);

  // Tells that the sending of an order has ended, with or without an answer. Its effect is read
  // from a later report.
  void OnOrdered(const TargetId& aTarget);

  // Returns the engines that have an order or are about to get one.
  std::set<TargetId> Paused() const;

  // Returns the version that the engine reported last, or 0 when it has not been read.
  std::uint64_t ReportedVersion(const TargetId& aTarget, const ModelName& aModel) const;

  // Returns the versions that engines reported, by engine and model.
  const std::map<std::pair<TargetId, ModelName>, std::uint64_t>& Reported() const
  {
    return this->reported;
  }

private:
  enum class Stage
  {
    Reading,  // Waiting for a report.
    Read,     // A report has arrived, or the engine did not answer.
    Ordering, // An order is being sent.
    Ordered,  // The sending has ended, with or without an answer.
  };

  // The update of one engine.
  struct EngineUpdate
  {
    ModelName model;
    // The version of the last order; 0 before the first.
    std::uint64_t ordered = 0;
    Stage stage = Stage::Reading;
    EngineReport report;
    // Whether `report` is valid: of the current incarnation, and the last read succeeded.
    bool hasReport = false;
    MonotonicTime startedAt;
    // When the engine may be ordered: calls that it has taken had time to end.
    MonotonicTime drainedAt;
    MonotonicTime orderedAt;
    MonotonicTime nextRead;
  };

  bool MayOrder() const;
  bool AreUnchanged(const std::vector<TargetRecord>& aEngines) const;
  void UpdateEngines(const std::vector<TargetRecord>& aEngines);
  std::optional<RolloutAction> Advance(const TargetRecord& aEngine,
                                       std::uint64_t aVersion,
                                       EngineUpdate& aUpdate);
  void EndUpdates(const ModelName& aModel,
                  const DesiredWeights& aDesired,
                  const std::vector<TargetRecord>& aEngines);
  void NoteIdle(const ModelName& aModel,
                const DesiredWeights& aDesired,
                const std::vector<TargetRecord>& aEngines);
  std::vector<const TargetRecord*> Outdated(const ModelName& aModel,
                                            std::uint64_t aVersion,
                                            const std::vector<TargetRecord>& aEngines) const;
  bool HasPlace(const TargetRecord& aEngine, std::size_t aEngines) const;
  bool MayStart(const TargetRecord& aEngine) const;
  RolloutAction Start(const ModelName& aModel, const TargetRecord& aEngine, std::size_t aEngines);
  void GiveUpStuck();
  // Returns the newest version that the engine announced or reported.
  std::uint64_t KnownVersion(const TargetRecord& aEngine, const ModelName& aModel) const;
  static std::uint64_t VersionOf(const std::vector<ServedModel>& aModels, const ModelName& aModel);

  const Clock& clock;
  RolloutOptions options;
  bool leading = false;
  MonotonicTime leadingSince;
  MonotonicTime nextStart;
  std::map<TargetId, EngineUpdate> updates;
  // When engines that gave up their place may be tried again.
  std::map<TargetId, MonotonicTime> retryAt;
  // When each engine whose weights are too old to serve was first seen so.
  std::map<TargetId, MonotonicTime> idleSince;
  // The incarnation of each engine that `updates` and `reported` refer to.
  std::map<TargetId, Incarnation> incarnations;
  // Reported versions by engine and model; kept until the engine is removed.
  std::map<std::pair<TargetId, ModelName>, std::uint64_t> reported;
};

} // namespace damasklink
