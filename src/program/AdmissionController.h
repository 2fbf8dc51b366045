// Admission control for the traffic threads, and the load and health of targets as seen there.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "HostContext.h"
#include "TrafficState.h"
#include "damasklink/coordination/AdmissionQueue.h"
#include "damasklink/coordination/ConcurrencyLimit.h"
#include "damasklink/coordination/DispatchRecord.h"
#include "damasklink/coordination/SubtreeLimiter.h"
#include "damasklink/coordination/TargetHealth.h"
#include "damasklink/protocol/ErrorBody.h"

namespace damasklink {

// A request for admission.
struct AdmissionCall
{
  const ResolvedPolicy& policy;
  PoolId pool;
  // Targets that can serve the request, whatever their health.
  std::vector<TargetRecord> targets{};
  // Requested by the caller; 0 is the highest. Enter() lowers it to that of the policy, if need be.
  std::uint64_t priority = 1;
  TokenCount promptTokens{};
  // What the request is charged to its workspace: thousands of prompt and answer tokens, plus one.
  double cost = 1;
  MonotonicTime deadline{};
};

// Decides which requests run now, and to which targets they may be sent. Combines AdmissionQueue,
// ConcurrencyLimit, SubtreeLimiter and TargetHealth behind one lock, and exchanges the use of each
// workspace with the other hosts of the zone. Traffic threads use it through AdmissionSlot.
//
// Thread-safe; OnPeerMessage() and OnTick() are called on the control thread.
class AdmissionController final : public ControlModule
{
public:
  AdmissionController(const HostContext& aContext, const TrafficState& aState);

  // Blocks until the request is admitted or refused. Returns nothing when it is admitted; Leave()
  // must then be called with the id. A refusal has the outcome "not run".
  std::optional<CallerError> Enter(const AdmissionCall& aCall, AdmissionId& aId);
  // Frees the place of an admitted request. aAnswered: whether the complete answer was sent.
  void Leave(const ResolvedPolicy& aPolicy, AdmissionId aId, bool aAnswered);

  // Returns the healthy targets with free capacity, or all healthy targets when none has any.
  std::vector<TargetRecord> Usable(const std::vector<TargetRecord>& aTargets) const;

  // Record the start and the end of an attempt for the target's load and health. aFirstToken is the
  // time to the first token, or to the whole answer of a service.
  void OnStart(const TargetId& aTarget);
  void OnEnd(const TargetId& aTarget, LoadSignal aLoad, HealthSignal aSign, Duration aFirstToken);

  void OnPeerMessage(const HostId& aFrom, const PeerMessage& aMessage) override;
  void OnTick(MonotonicTime aNow) override;

private:
  struct Waiter
  {
    bool decided = false;
    std::optional<AdmissionRefusal> refusal;
  };

  std::optional<AdmissionRefusal> WaitForTurn(const AdmissionCall& aCall, AdmissionId& aId)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
  void SetCapacity(const AdmissionCall& aCall) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
  void NotifyWaiters() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

  const HostContext& context;
  const TrafficState& state;
  std::vector<HostId> zonePeers;
  MonotonicTime nextReport;
  mutable absl::Mutex mutex;
  AdmissionQueue queue ABSL_GUARDED_BY(mutex);
  SubtreeLimiter limiter ABSL_GUARDED_BY(mutex);
  TargetHealth health ABSL_GUARDED_BY(mutex);
  std::map<TargetId, ConcurrencyLimit> limits ABSL_GUARDED_BY(mutex);
  std::map<AdmissionId, Waiter*> waiters ABSL_GUARDED_BY(mutex);
};

// The admission of one request; gives its place back when destroyed.
//
//   AdmissionSlot slot(controller);
//   if (auto refusal = slot.Enter(call)) ...
//   slot.MarkAnswered();
//
// Not thread-safe.
class AdmissionSlot
{
public:
  explicit AdmissionSlot(AdmissionController& aController)
    : controller(aController)
  {
  }
  ~AdmissionSlot()
  {
    if (this->admitted) {
      this->controller.Leave(this->policy, this->id, this->answered);
    }
  }
  AdmissionSlot(const AdmissionSlot&) = delete;
  AdmissionSlot& operator=(const AdmissionSlot&) = delete;

  // Blocks until the request is admitted. Returns the refusal when it is not.
  std::optional<CallerError> Enter(const AdmissionCall& aCall)
  {
    auto refusal = this->controller.Enter(aCall, this->id);
    this->admitted = !refusal;
    this->policy = aCall.policy;
    return refusal;
  }

  // Records that the complete answer was sent.
  void MarkAnswered() { this->answered = true; }

private:
  AdmissionController& controller;
  ResolvedPolicy policy;
  AdmissionId id;
  bool admitted = false;
  bool answered = false;
};

} // namespace damasklink
