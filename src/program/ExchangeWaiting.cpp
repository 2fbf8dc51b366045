// How an Exchange waits at its host for room at a target. The rest of the class is in the other
// Exchange*.cpp files.
#include "Exchange.h"

#include <algorithm>

#include "damasklink/state/Units.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

// Calls wait no longer than this many times their objective: a caller that is told when to come
// back has more of its time left then.
constexpr int kLongestWait = 2;

} // namespace

// A call that another host forwarded waits there no longer than one that it had sent to a target.
bool
Exchange::MayAwaitRoom() const
{
  return this->overloaded && this->context.crowded.contains(this->service) &&
         !this->context.paths.IsUnreachable(this->service) && this->FitsEmptyTarget() &&
         this->interrupt == Interrupt::None && !this->forwardedLimits && !this->begunOn &&
         !this->context.shuttingDown && this->plan->Sent() == 0;
}

AdmissionRequest
Exchange::MakeAdmissionRequest() const
{
  // The time that the call takes at a target that has nothing else to do.
  const TargetSelector& picker = this->context.picker;
  const std::chrono::duration<double, std::milli> own(
    picker.LatencyModelOf(this->call.model)
      .Expected(picker.UncachedTokens(this->selection, TargetId())));
  const auto ownTime = std::chrono::duration_cast<Duration>(own);
  AdmissionRequest made;
  made.rank = this->Rank();
  made.tokens = this->selection.promptTokens;
  made.beginBy = this->arrived + this->route->latencyObjective - ownTime;
  const Duration longest =
    std::min(this->CallerPatience(), kLongestWait * this->route->latencyObjective);
  made.leavesAt = std::min(this->arrived + longest, this->plan->Limits().endsAt) - ownTime;
  return made;
}

CallRank
Exchange::CurrentRank() const
{
  const std::shared_ptr<const RouteTable>& newest = this->context.state.Routes();
  const ServingRoute* current =
    newest->FindRoute(this->call.host, PathOf(this->request->head.target));
  if (current == nullptr) {
    return this->Rank();
  }
  const WorkspaceEntry* owner = current->open ? nullptr : newest->FindWorkspace(this->call.key);
  const bool keyIsGone = owner == nullptr && this->workspace != nullptr;
  return keyIsGone ? this->Rank() : RankOf(*current, owner);
}

Awaitable<std::optional<TargetRecord>>
Exchange::AwaitRoom()
{
  const MonotonicTime since = this->context.clock.MonotonicNow();
  std::optional<TargetRecord> found;
  RoomWaiters::Waiter waiter;
  waiter.findRoom = [this, &found] {
    if (const TargetRecord* target = this->ChooseTarget()) {
      found = *target;
    }
    return found.has_value();
  };
  waiter.rank = [this] { return this->CurrentRank(); };
  const AdmissionRequest admission = this->MakeAdmissionRequest();
  this->waitsForRoom = true;
  const RoomWaitEnd end =
    co_await this->context.room.Wait(admission, std::move(waiter), this->roomTicket);
  this->waitsForRoom = false;
  const Duration waited = this->context.clock.MonotonicNow() - since;
  if (end != RoomWaitEnd::Refused) {
    this->context.metrics.Observe(
      Sample::RoomWait, MetricKey{ WorkspaceId(), this->route->name }, waited);
  }
  LogEvent(LogLevel::Info, "room_wait")
    .With("request", this->call.request)
    .With("route", this->route->name)
    .With("workspace_priority", admission.rank.workspace)
    .With("route_priority", admission.rank.route)
    .With("tokens", admission.tokens)
    .With("outcome", RoomWaitEndName(end))
    .With("waited_ms", WholeMilliseconds(waited))
    .With("objective_ms", WholeMilliseconds(this->route->latencyObjective))
    .With("waiting", this->context.room.Count());
  if (end != RoomWaitEnd::Begun || this->interrupt != Interrupt::None) {
    co_return std::nullopt;
  }
  co_return found;
}

} // namespace damasklink
