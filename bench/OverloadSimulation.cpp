#include "OverloadSimulation.h"

#include <algorithm>
#include <cmath>

namespace damasklink::bench {
namespace {

const PoolId kPool("model/bench");

Duration
Seconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(aSeconds));
}

} // namespace

OverloadSimulation::OverloadSimulation(Policy aPolicy,
                                       std::vector<Workload> aWorkloads,
                                       std::uint64_t aSeed)
  : admission(aPolicy != Policy::None)
  , workloads(std::move(aWorkloads))
  , random(aSeed)
{
  for (Target& target : this->targets) {
    target.limit.SetSlots(aPolicy == Policy::Admission ? kSlots : 0);
  }
  this->SetCapacity();
}

void
OverloadSimulation::Run(double aSeconds)
{
  for (std::size_t index = 0; index < this->workloads.size(); ++index) {
    this->ScheduleArrival(index);
  }
  while (!this->events.empty() && this->events.top().at < aSeconds) {
    const Event event = this->events.top();
    this->events.pop();
    this->now = event.at;
    this->clock.Advance(this->zero + Seconds(this->now) - this->clock.MonotonicNow());
    event.act();
    this->mostWaiting = std::max(this->mostWaiting, this->queue.Waiting());
  }
}

void
OverloadSimulation::At(double aTime, std::function<void()> aAct)
{
  this->events.push(Event{ aTime, ++this->lastEvent, std::move(aAct) });
}

void
OverloadSimulation::ScheduleArrival(std::size_t aWorkload)
{
  const double rate = this->workloads[aWorkload].rate(this->now);
  std::exponential_distribution<double> gap(std::max(rate, 1e-3));
  this->At(this->now + gap(this->random), [this, aWorkload] {
    this->requests.emplace_back().workload = aWorkload;
    this->Ask(this->requests.size() - 1);
    this->ScheduleArrival(aWorkload);
  });
}

void
OverloadSimulation::Ask(std::size_t aRequest)
{
  Request& request = this->requests[aRequest];
  request.asked = this->now;
  ++request.tries;
  const int tries = request.tries;
  this->At(this->now + kPatienceSeconds, [this, aRequest, tries] {
    if (this->requests[aRequest].tries == tries && !this->requests[aRequest].over) {
      this->GiveUp(aRequest);
    }
  });
  if (!this->admission) {
    this->Send(aRequest);
    return;
  }
  AdmissionRequest asked;
  asked.workspace = WorkspaceId(this->workloads[request.workload].workspace);
  asked.share = this->workloads[request.workload].share;
  asked.pool = kPool;
  asked.deadline = this->clock.MonotonicNow() + Seconds(kPatienceSeconds);
  request.admission = this->queue.Offer(asked);
  this->offered[request.admission] = aRequest;
  this->HandOut();
}

void
OverloadSimulation::HandOut()
{
  for (const AdmissionDecision& decision : this->queue.TakeDecisions()) {
    const std::size_t index = this->offered.at(decision.id);
    this->offered.erase(decision.id);
    if (!decision.refusal) {
      this->Send(index);
      continue;
    }
    const std::chrono::duration<double> wait = decision.refusal->retryAfter;
    this->AskLater(index, wait.count());
  }
}

// The caller comes back when it was told to, a little later.
void
OverloadSimulation::AskLater(std::size_t aRequest, double aWait)
{
  Request& request = this->requests[aRequest];
  if (request.tries >= kMostAsked) {
    request.over = true;
    return;
  }
  // Whatever still waits for this try must not find it.
  ++request.tries;
  std::uniform_real_distribution<double> jitter(1.0, 1.25);
  this->At(this->now + aWait * jitter(this->random), [this, aRequest] {
    --this->requests[aRequest].tries;
    this->Ask(aRequest);
  });
}

OverloadSimulation::Target&
OverloadSimulation::ChooseTarget()
{
  const auto load = [](const Target& aTarget) { return aTarget.running + aTarget.waiting.size(); };
  return *std::min_element(
    this->targets.begin(), this->targets.end(), [&](const Target& aLeft, const Target& aRight) {
      return load(aLeft) < load(aRight);
    });
}

void
OverloadSimulation::Send(std::size_t aRequest)
{
  Target& target = this->ChooseTarget();
  this->requests[aRequest].sent = this->now;
  this->requests[aRequest].target = static_cast<int>(&target - this->targets.data());
  target.limit.OnStart();
  target.waiting.push_back(aRequest);
  this->StartWaiting(target);
}

void
OverloadSimulation::StartWaiting(Target& aTarget)
{
  while (aTarget.running < kSlots && !aTarget.waiting.empty()) {
    const std::size_t index = aTarget.waiting.front();
    aTarget.waiting.pop_front();
    ++aTarget.running;
    Request& request = this->requests[index];
    request.running = true;
    std::uniform_real_distribution<double> seconds(0.5 * kMeanSeconds, 1.5 * kMeanSeconds);
    const int tries = request.tries;
    request.firstToken = this->now + kFirstTokenSeconds;
    if (this->now >= kWarmUpSeconds) {
      const std::string& workspace = this->workloads[request.workload].workspace;
      this->firstTokens[workspace].push_back(request.firstToken - request.asked);
    }
    this->At(this->now + seconds(this->random), [this, index, tries] {
      if (this->requests[index].tries == tries && !this->requests[index].over) {
        this->End(index, true);
      }
    });
  }
}

void
OverloadSimulation::End(std::size_t aRequest, bool aAnswered)
{
  Request& request = this->requests[aRequest];
  Target& target = this->targets[static_cast<std::size_t>(request.target)];
  if (request.running) {
    --target.running;
  } else {
    std::erase(target.waiting, aRequest);
  }
  target.limit.OnEnd(aAnswered ? LoadSignal::Served : LoadSignal::Failed,
                     Seconds(request.firstToken - request.sent));
  request.running = false;
  request.target = -1;
  if (aAnswered) {
    request.over = true;
    this->answeredAt.push_back(this->now);
  }
  this->StartWaiting(target);
  if (this->admission) {
    this->queue.Finish(request.admission, aAnswered);
    this->SetCapacity();
    this->HandOut();
  }
}

void
OverloadSimulation::GiveUp(std::size_t aRequest)
{
  Request& request = this->requests[aRequest];
  if (request.target >= 0) {
    this->End(aRequest, false);
  } else if (this->admission && this->queue.Cancel(request.admission)) {
    this->offered.erase(request.admission);
  }
  this->AskLater(aRequest, 0);
}

void
OverloadSimulation::SetCapacity()
{
  std::size_t capacity = 0;
  for (const Target& target : this->targets) {
    capacity += target.limit.Limit();
  }
  this->queue.SetCapacity(kPool, capacity);
}

double
OverloadSimulation::Goodput(double aFrom, double aTo) const
{
  const auto count = std::count_if(this->answeredAt.begin(),
                                   this->answeredAt.end(),
                                   [&](double aTime) { return aTime >= aFrom && aTime < aTo; });
  return static_cast<double>(count) / (aTo - aFrom) / kCapacityPerSecond;
}

double
OverloadSimulation::FirstToken(const std::string& aWorkspace, double aQuantile) const
{
  std::vector<double> times = this->firstTokens.at(aWorkspace);
  std::sort(times.begin(), times.end());
  return times[static_cast<std::size_t>(aQuantile * static_cast<double>(times.size() - 1))];
}

} // namespace damasklink::bench
