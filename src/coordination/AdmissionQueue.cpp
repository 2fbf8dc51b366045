#include "damasklink/coordination/AdmissionQueue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace damasklink {
namespace {

constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
// Requests that the moving averages reach over; the newest one weighs 1 / kMeanWindow.
constexpr int kMeanWindow = 16;
// Mean deviations that are added to the mean time of a request.
constexpr int kDeviations = 2;
// Limits how far use on other hosts moves a workspace's virtual finish time ahead, in requests of
// cost 1. Without it a workspace would wait for long after the others have stopped sending.
constexpr double kMaxLead = 64;
// Beyond this number, accounts that are idle and not ahead of virtual time are removed.
constexpr std::size_t kMaxIdleAccounts = 4096;

Error
FullError()
{
  return Error{ ErrorKind::Overloaded, "the queue is full", "retry after the time given" };
}

} // namespace

AdmissionQueue::AdmissionQueue(const Clock& aClock, std::size_t aMaxWaiting)
  : clock(aClock)
  , maxWaiting(aMaxWaiting)
{
}

AdmissionId
AdmissionQueue::Offer(const AdmissionRequest& aRequest)
{
  this->lastId = this->lastId.Next();
  const AdmissionId id = this->lastId;
  Pool& pool = this->pools[aRequest.pool];
  this->accounts[aRequest.workspace].share = std::max<std::uint64_t>(aRequest.share, 1);
  if (pool.running < pool.capacity && pool.waiting.empty()) {
    this->Admit(pool, Queued{ id, aRequest });
    return id;
  }
  const Duration wait = this->ExpectedWait(aRequest);
  if (!this->CanMeetDeadline(pool, aRequest, wait)) {
    this->RefuseAsTooLate(id, wait);
    return id;
  }
  if (this->waiting >= this->maxWaiting) {
    this->EvictFor(aRequest);
  }
  if (this->waiting >= this->maxWaiting) {
    this->Refuse(id, FullError(), wait);
    return id;
  }
  this->Enqueue(pool, Queued{ id, aRequest });
  return id;
}

bool
AdmissionQueue::CanMeetDeadline(const Pool& aPool,
                                const AdmissionRequest& aRequest,
                                Duration aWait) const
{
  // A request that is cut off at its deadline wastes capacity, so the estimate covers slower ones.
  const Duration needed = aPool.meanTime + kDeviations * aPool.meanDeviation;
  return this->clock.MonotonicNow() + aWait + needed <= aRequest.deadline;
}

void
AdmissionQueue::RefuseAsTooLate(AdmissionId aId, Duration aRetryAfter)
{
  this->Refuse(aId,
               Error{ ErrorKind::Overloaded,
                      "the deadline cannot be met now",
                      "retry after the time given, or set a later deadline" },
               aRetryAfter);
}

void
AdmissionQueue::EvictFor(const AdmissionRequest& aRequest)
{
  const auto load = [](const Account& aAccount) {
    return static_cast<double>(aAccount.waiting) / static_cast<double>(aAccount.share);
  };
  const auto largest = std::max_element(
    this->accounts.begin(), this->accounts.end(), [&](const auto& aLeft, const auto& aRight) {
      return load(aLeft.second) < load(aRight.second);
    });
  Account own = this->accounts.at(aRequest.workspace);
  ++own.waiting;
  if (load(largest->second) <= load(own)) {
    return;
  }
  for (auto& [name, pool] : this->pools) {
    const auto found = pool.waiting.find(largest->first);
    if (found == pool.waiting.end()) {
      continue;
    }
    const Queued last = found->second.back();
    const Duration wait = this->ExpectedWait(last.request);
    this->Cancel(last.id);
    this->Refuse(last.id, FullError(), wait);
    return;
  }
}

void
AdmissionQueue::Enqueue(Pool& aPool, Queued aQueued)
{
  ++this->waiting;
  ++this->accounts[aQueued.request.workspace].waiting;
  std::deque<Queued>& queue = aPool.waiting[aQueued.request.workspace];
  const auto hasLowerPriority = [&](const Queued& aOther) {
    return aOther.request.priority > aQueued.request.priority;
  };
  const auto place = std::find_if(queue.begin(), queue.end(), hasLowerPriority);
  queue.insert(place, std::move(aQueued));
}

void
AdmissionQueue::AdmitWaiting(Pool& aPool)
{
  while (aPool.running < aPool.capacity && !aPool.waiting.empty()) {
    const auto next = this->NextWorkspace(aPool);
    Queued queued = std::move(next->second.front());
    next->second.pop_front();
    if (next->second.empty()) {
      aPool.waiting.erase(next);
    }
    --this->waiting;
    --this->accounts[queued.request.workspace].waiting;
    if (this->CanMeetDeadline(aPool, queued.request, Duration(0))) {
      this->Admit(aPool, queued);
    } else {
      this->RefuseAsTooLate(queued.id, this->ExpectedWait(queued.request));
    }
  }
}

void
AdmissionQueue::Admit(Pool& aPool, const Queued& aQueued)
{
  const AdmissionRequest& request = aQueued.request;
  Account& account = this->accounts[request.workspace];
  this->virtualTime = std::max(this->virtualTime, this->StartTimeOf(request.workspace));
  account.finishTime =
    this->StartTimeOf(request.workspace) + request.cost / static_cast<double>(account.share);
  this->localUse[request.workspace] += request.cost;
  ++aPool.running;
  this->running[aQueued.id] = Running{ request.pool, this->clock.MonotonicNow() };
  this->decisions.push_back(AdmissionDecision{ aQueued.id, std::nullopt });
}

void
AdmissionQueue::Refuse(AdmissionId aId, Error aError, Duration aRetryAfter)
{
  AdmissionRefusal refusal{ std::move(aError), std::max(aRetryAfter, kMinRetryAfter) };
  this->decisions.push_back(AdmissionDecision{ aId, std::move(refusal) });
}

std::map<WorkspaceId, std::deque<AdmissionQueue::Queued>>::iterator
AdmissionQueue::NextWorkspace(Pool& aPool)
{
  return std::min_element(
    aPool.waiting.begin(), aPool.waiting.end(), [&](const auto& aLeft, const auto& aRight) {
      return this->StartTimeOf(aLeft.first) < this->StartTimeOf(aRight.first);
    });
}

double
AdmissionQueue::StartTimeOf(const WorkspaceId& aWorkspace) const
{
  const auto found = this->accounts.find(aWorkspace);
  const double finishTime = found == this->accounts.end() ? 0 : found->second.finishTime;
  return std::max(this->virtualTime, finishTime);
}

bool
AdmissionQueue::Cancel(AdmissionId aId)
{
  for (auto& [name, pool] : this->pools) {
    for (auto queue = pool.waiting.begin(); queue != pool.waiting.end(); ++queue) {
      const auto found = std::find_if(queue->second.begin(),
                                      queue->second.end(),
                                      [&](const Queued& aQueued) { return aQueued.id == aId; });
      if (found == queue->second.end()) {
        continue;
      }
      --this->waiting;
      --this->accounts[queue->first].waiting;
      queue->second.erase(found);
      if (queue->second.empty()) {
        pool.waiting.erase(queue);
      }
      return true;
    }
  }
  return false;
}

void
AdmissionQueue::Finish(AdmissionId aId, bool aAnswered)
{
  const auto found = this->running.find(aId);
  if (found == this->running.end()) {
    return;
  }
  Pool& pool = this->pools[found->second.pool];
  const Duration took = this->clock.MonotonicNow() - found->second.since;
  this->running.erase(found);
  --pool.running;
  if (aAnswered && pool.meanTime == Duration(0)) {
    pool.meanTime = took;
  } else if (aAnswered) {
    const Duration deviation = took > pool.meanTime ? took - pool.meanTime : pool.meanTime - took;
    pool.meanDeviation += (deviation - pool.meanDeviation) / kMeanWindow;
    pool.meanTime += (took - pool.meanTime) / kMeanWindow;
  }
  this->AdmitWaiting(pool);
}

void
AdmissionQueue::SetCapacity(const PoolId& aPool, std::size_t aCapacity)
{
  Pool& pool = this->pools[aPool];
  pool.capacity = aCapacity;
  this->AdmitWaiting(pool);
}

void
AdmissionQueue::AddRemoteUse(const WorkspaceId& aWorkspace, double aCost)
{
  Account& account = this->accounts[aWorkspace];
  const double finishTime =
    this->StartTimeOf(aWorkspace) + aCost / static_cast<double>(account.share);
  account.finishTime = std::min(finishTime, this->virtualTime + kMaxLead);
}

std::vector<AdmissionDecision>
AdmissionQueue::TakeDecisions()
{
  return std::exchange(this->decisions, {});
}

std::map<WorkspaceId, double>
AdmissionQueue::TakeLocalUse()
{
  if (this->accounts.size() > kMaxIdleAccounts) {
    std::erase_if(this->accounts, [&](const auto& aItem) {
      return aItem.second.waiting == 0 && aItem.second.finishTime <= this->virtualTime;
    });
  }
  return std::exchange(this->localUse, {});
}

Duration
AdmissionQueue::ExpectedWait(const AdmissionRequest& aRequest) const
{
  const auto found = this->pools.find(aRequest.pool);
  if (found == this->pools.end()) {
    return Duration(0);
  }
  const Pool& pool = found->second;
  if (pool.running < pool.capacity || pool.capacity == 0) {
    return Duration(0);
  }
  // A workspace gets the part of the pool that its share has among the waiting workspaces.
  std::size_t ahead = 1;
  double shares = static_cast<double>(aRequest.share);
  for (const auto& [workspace, queue] : pool.waiting) {
    if (workspace == aRequest.workspace) {
      ahead += queue.size();
    } else {
      shares += static_cast<double>(this->accounts.at(workspace).share);
    }
  }
  const double part = static_cast<double>(aRequest.share) / shares;
  const double rounds = static_cast<double>(ahead) / (static_cast<double>(pool.capacity) * part);
  return Duration(static_cast<std::int64_t>(static_cast<double>(pool.meanTime.count()) * rounds));
}

} // namespace damasklink
