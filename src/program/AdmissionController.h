// Lets traffic threads wait for their turn, and keeps the books on targets.
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

// What a request asks of the desk.
struct AdmissionCall
{
  const ResolvedPolicy& policy;
  PoolId pool;
  // Targets that could take the request.
  std::vector<TargetRecord> targets{};
  // As the caller asked; never ahead of what its policy allows.
  std::uint64_t priority = 1;
  TokenCount promptTokens{};
  // Prompt and answer tokens in thousands, plus one.
  double cost = 1;
  MonotonicTime deadline{};
};

// The decisions of AdmissionQueue, ConcurrencyLimit, SubtreeLimiter and TargetHealth behind one
// lock. Safe from any thread; OnPeerMessage() and OnTick() come on the control thread.
class AdmissionController final : public ControlModule
{
public:
  AdmissionController(const HostContext& aContext, const TrafficState& aState);

  // Waits for the request's turn. Returns a refusal, which says "not run", or nothing: then Leave()
  // must follow with the id.
  std::optional<CallerError> Enter(const AdmissionCall& aCall, AdmissionId& aId);
  // aAnswered tells whether the whole answer went out.
  void Leave(const ResolvedPolicy& aPolicy, AdmissionId aId, bool aAnswered);

  // Returns the targets that are fit and have room; without any with room, all that are fit.
  std::vector<TargetRecord> Usable(const std::vector<TargetRecord>& aTargets) const;

  // Keep the books on one attempt.
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
  void HandOut() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

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

// One request's place, given back when it goes.
class AdmissionSlot
{
public:
  explicit AdmissionSlot(AdmissionController& aDesk)
    : desk(aDesk)
  {
  }
  ~AdmissionSlot()
  {
    if (this->held) {
      this->desk.Leave(this->policy, this->id, this->answered);
    }
  }
  AdmissionSlot(const AdmissionSlot&) = delete;
  AdmissionSlot& operator=(const AdmissionSlot&) = delete;

  // Waits for the place. Returns the refusal when there is none.
  std::optional<CallerError> Enter(const AdmissionCall& aCall)
  {
    auto refusal = this->desk.Enter(aCall, this->id);
    this->held = !refusal;
    this->policy = aCall.policy;
    return refusal;
  }

  // Tells that the whole answer went out.
  void MarkAnswered() { this->answered = true; }

private:
  AdmissionController& desk;
  ResolvedPolicy policy;
  AdmissionId id;
  bool held = false;
  bool answered = false;
};

} // namespace damasklink
