#include "AdmissionController.h"

#include <algorithm>
#include <limits>
#include <random>

#include <absl/time/time.h>

#include "damasklink/protocol/UseReport.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

// How often a waiting request checks its deadline and whether the host stops.
constexpr absl::Duration kWaitInterval = absl::Milliseconds(100);
constexpr Duration kReportInterval = std::chrono::seconds(1);
// Workspaces in a report: at about 24 bytes each, a report stays below a kilobyte.
constexpr std::size_t kMaxReported = 32;
constexpr Duration kStopRetryAfter = std::chrono::seconds(1);

std::vector<HostId>
ZonePeers(const HostSettings& aSettings)
{
  std::vector<HostId> peers;
  for (const PeerSettings& peer : aSettings.peers) {
    if (peer.zone == aSettings.zone && peer.host != aSettings.host) {
      peers.push_back(peer.host);
    }
  }
  return peers;
}

CallerError
NotRun(const AdmissionRefusal& aRefusal)
{
  CallerError error;
  // Nothing was dispatched yet; the outcome of an empty record is NotRun.
  error.outcome = DispatchRecord().Outcome();
  error.error = aRefusal.error;
  if (aRefusal.retryAfter > Duration(0)) {
    error.retryAfter = aRefusal.retryAfter;
  }
  return error;
}

} // namespace

AdmissionController::AdmissionController(const HostContext& aContext, const TrafficState& aState)
  : context(aContext)
  , state(aState)
  , zonePeers(ZonePeers(aContext.settings))
  , queue(aContext.clock, aContext.settings.limits.queuedRequests)
  , limiter(aContext.clock, zonePeers.size() + 1)
  , health(aContext.clock, std::random_device{}())
{
}

std::optional<CallerError>
AdmissionController::Enter(const AdmissionCall& aCall, AdmissionId& aId)
{
  const MonotonicTime start = this->context.clock.MonotonicNow();
  absl::MutexLock lock(&this->mutex);
  if (const auto refusal = this->limiter.Enter(aCall.policy, aCall.promptTokens)) {
    return NotRun(*refusal);
  }
  const auto refusal = this->WaitForTurn(aCall, aId);
  this->context.metrics.Observe(Sample::QueueWait,
                                MetricKey{ aCall.policy.workspace, "" },
                                this->context.clock.MonotonicNow() - start);
  if (!refusal) {
    return std::nullopt;
  }
  this->limiter.Leave(aCall.policy);
  return NotRun(*refusal);
}

std::optional<AdmissionRefusal>
AdmissionController::WaitForTurn(const AdmissionCall& aCall, AdmissionId& aId)
{
  this->SetCapacity(aCall);
  AdmissionRequest request;
  request.workspace = aCall.policy.workspace;
  request.pool = aCall.pool;
  request.share = aCall.policy.share;
  request.priority = std::max(aCall.priority, aCall.policy.priority);
  request.cost = aCall.cost;
  request.deadline = aCall.deadline;
  Waiter waiter;
  aId = this->queue.Offer(request);
  this->waiters[aId] = &waiter;
  this->NotifyWaiters();
  const auto decided = [&] { return waiter.decided; };
  while (!this->mutex.AwaitWithTimeout(absl::Condition(&decided), kWaitInterval)) {
    const bool expired = this->context.clock.MonotonicNow() >= aCall.deadline;
    if (!expired && !this->state.MustStop()) {
      continue;
    }
    if (this->queue.Cancel(aId)) {
      this->waiters.erase(aId);
      const char* message = expired ? "the deadline passed in the queue" : "this host is stopping";
      return AdmissionRefusal{ Error{ ErrorKind::Overloaded, message, "send the call again" },
                               expired ? this->queue.ExpectedWait(request) : kStopRetryAfter };
    }
  }
  return waiter.refusal;
}

void
AdmissionController::Leave(const ResolvedPolicy& aPolicy, AdmissionId aId, bool aAnswered)
{
  absl::MutexLock lock(&this->mutex);
  this->limiter.Leave(aPolicy);
  this->queue.Finish(aId, aAnswered);
  this->NotifyWaiters();
}

// The capacity of a pool is the sum over its healthy targets. A pool without any target is
// unlimited, so that its requests reach the router, whose error says what is missing.
void
AdmissionController::SetCapacity(const AdmissionCall& aCall)
{
  std::size_t capacity = 0;
  for (const TargetRecord& target : this->health.Filter(aCall.targets)) {
    ConcurrencyLimit& limit = this->limits[target.id];
    limit.SetSlots(target.load.slots);
    capacity += limit.Limit();
  }
  this->queue.SetCapacity(
    aCall.pool, aCall.targets.empty() ? std::numeric_limits<std::uint32_t>::max() : capacity);
}

void
AdmissionController::NotifyWaiters()
{
  for (AdmissionDecision& decision : this->queue.TakeDecisions()) {
    const auto found = this->waiters.find(decision.id);
    if (found == this->waiters.end()) {
      continue;
    }
    found->second->decided = true;
    found->second->refusal = std::move(decision.refusal);
    this->waiters.erase(found);
  }
}

std::vector<TargetRecord>
AdmissionController::Usable(const std::vector<TargetRecord>& aTargets) const
{
  absl::MutexLock lock(&this->mutex);
  std::vector<TargetRecord> healthy = this->health.Filter(aTargets);
  std::vector<TargetRecord> free;
  for (const TargetRecord& target : healthy) {
    const auto found = this->limits.find(target.id);
    if (found == this->limits.end() || found->second.Free() > 0) {
      free.push_back(target);
    }
  }
  return free.empty() ? healthy : free;
}

void
AdmissionController::OnStart(const TargetId& aTarget)
{
  absl::MutexLock lock(&this->mutex);
  this->limits[aTarget].OnStart();
  this->health.OnStart(aTarget);
}

void
AdmissionController::OnEnd(const TargetId& aTarget,
                           LoadSignal aLoad,
                           HealthSignal aSign,
                           Duration aFirstToken)
{
  absl::MutexLock lock(&this->mutex);
  this->limits[aTarget].OnEnd(aLoad, aFirstToken);
  this->health.OnEnd(aTarget, aSign);
}

void
AdmissionController::OnPeerMessage(const HostId& aFrom, const PeerMessage& aMessage)
{
  const auto use = DecodeUseReport(aMessage.payload);
  const bool fromZone =
    std::find(this->zonePeers.begin(), this->zonePeers.end(), aFrom) != this->zonePeers.end();
  if (!use || !fromZone) {
    LogEvent(LogLevel::Warning, "use_report_refused").With("from", aFrom);
    return;
  }
  absl::MutexLock lock(&this->mutex);
  for (const auto& [workspace, cost] : use.value()) {
    this->queue.AddRemoteUse(workspace, cost);
  }
}

void
AdmissionController::OnTick(MonotonicTime aNow)
{
  if (aNow < this->nextReport) {
    return;
  }
  this->nextReport = aNow + kReportInterval;
  UseByWorkspace use;
  {
    absl::MutexLock lock(&this->mutex);
    use = this->queue.TakeLocalUse();
  }
  if (use.empty()) {
    return;
  }
  const std::string payload = EncodeUseReport(use, kMaxReported);
  for (const HostId& peer : this->zonePeers) {
    this->context.peers.Send(peer, PeerMessage{ Channel::Admission, GroupId(), payload });
  }
}

} // namespace damasklink
