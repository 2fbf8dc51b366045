#include "ForwardingRoom.h"

#include <algorithm>
#include <utility>

#include "damasklink/state/Units.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

constexpr Duration kMemoryCheckInterval = std::chrono::milliseconds(20);

// A wait for room that lasts longer is logged.
constexpr Duration kLongWait = std::chrono::seconds(1);

} // namespace

bool
ForwardingRoom::MayOvertake(const RoomRequest& aRequest)
{
  return aRequest.begins && aRequest.bytes <= kBeginningBytes;
}

Awaitable<bool>
ForwardingRoom::Wait(HostId aHost, RoomRequest aRequest, std::shared_ptr<RoomWait> aWait)
{
  HostQueues& queues = this->hosts[aHost];
  const Queue& queue = IsLarge(aRequest) ? queues.large : queues.small;
  const bool isNext = queue.empty() || MayOvertake(aRequest);
  bool hasRoom = isNext && this->HasRoom(aHost, aRequest) && this->HasMemory(aHost, aRequest);
  if (!hasRoom) {
    const MonotonicTime since = this->clock.MonotonicNow();
    aWait->request = aRequest;
    hasRoom = co_await this->WaitInQueue(aHost, std::move(aWait));
    const Duration waited = this->clock.MonotonicNow() - since;
    if (waited >= kLongWait) {
      LogEvent(LogLevel::Info, "forwarding_waited_for_room")
        .With("host", aHost)
        .With("bytes", aRequest.bytes)
        .With("queued", this->mesh.QueuedBytes(aHost))
        .With("waited_ms", WholeMilliseconds(waited))
        .With("has_room", hasRoom);
    }
  }
  if (hasRoom && IsLarge(aRequest)) {
    this->hosts[aHost].untilLargeWritten = this->mesh.QueuedBytes(aHost) + aRequest.bytes;
  }
  co_return hasRoom;
}

Awaitable<bool>
ForwardingRoom::WaitInQueue(HostId aHost, std::shared_ptr<RoomWait> aWait)
{
  const RoomRequest request = aWait->request;
  HostQueues& queues = this->hosts[aHost];
  Queue& queue = IsLarge(request) ? queues.large : queues.small;
  const auto place = queue.insert(MayOvertake(request) ? queue.begin() : queue.end(), aWait);
  std::optional<MonotonicTime> lacksMemorySince;
  bool hasRoom = false;
  while (!aWait->ended && !hasRoom) {
    const bool isNext = queue.front() == aWait && this->HasRoom(aHost, request);
    if (isNext && !this->HasMemory(aHost, request)) {
      const MonotonicTime now = this->clock.MonotonicNow();
      lacksMemorySince = lacksMemorySince.value_or(now);
      if (now - *lacksMemorySince >= kMaxMemoryWait) {
        LogEvent(LogLevel::Warning, "forwarded_message_given_up")
          .With("host", aHost)
          .With("bytes", request.bytes)
          .With("reason", "no_memory")
          .With("held", this->memory.Held())
          .With("limit", this->memory.Limit());
        break;
      }
      aWait->wakeUp.expires_after(kMemoryCheckInterval);
    } else if (isNext) {
      hasRoom = true;
      break;
    } else {
      aWait->wakeUp.expires_at(asio::steady_timer::time_point::max());
    }
    co_await aWait->wakeUp.async_wait(kAsValue);
  }
  queue.erase(place);
  // Woken up after this message is queued.
  WakeFirst(queues);
  co_return hasRoom;
}

bool
ForwardingRoom::HasRoom(const HostId& aHost, const RoomRequest& aRequest) const
{
  const std::size_t queued = this->mesh.QueuedBytes(aHost);
  if (queued == 0) {
    return true;
  }
  const HostQueues& queues = this->hosts.at(aHost);
  if (IsLarge(aRequest)) {
    return queues.untilLargeWritten == 0 && queued <= kQueuedBytes &&
           queued + aRequest.bytes <= kMaxSharing;
  }
  // Small messages would keep one that shares the queue with nothing waiting for ever.
  const bool mustEmpty =
    !queues.large.empty() && queues.large.front()->request.bytes + kQueuedBytes > kMaxSharing;
  const std::size_t beyond = MayOvertake(aRequest) ? kQueuedBeginnings : 0;
  return (!mustEmpty || MayOvertake(aRequest)) &&
         queued + aRequest.bytes <= kQueuedBytes + queues.untilLargeWritten + beyond;
}

// The connection counts what is queued as one reservation.
bool
ForwardingRoom::HasMemory(const HostId& aHost, const RoomRequest& aRequest) const
{
  return this->memory.Missing(this->mesh.QueuedBytes(aHost) + aRequest.bytes) == 0;
}

void
ForwardingRoom::WakeFirst(HostQueues& aQueues)
{
  for (const Queue* queue : { &aQueues.small, &aQueues.large }) {
    if (!queue->empty()) {
      queue->front()->wakeUp.cancel();
    }
  }
}

void
ForwardingRoom::OnWritten(const HostId& aHost, std::size_t aBytes)
{
  const auto found = this->hosts.find(aHost);
  if (found != this->hosts.end()) {
    std::size_t& left = found->second.untilLargeWritten;
    left -= std::min(left, aBytes);
    WakeFirst(found->second);
  }
}

void
ForwardingRoom::OnLost(const HostId& aHost)
{
  const auto found = this->hosts.find(aHost);
  if (found == this->hosts.end()) {
    return;
  }
  HostQueues& queues = found->second;
  queues.untilLargeWritten = 0;
  for (const Queue* queue : { &queues.small, &queues.large }) {
    for (const std::shared_ptr<RoomWait>& wait : *queue) {
      wait->End();
    }
  }
  if (queues.small.empty() && queues.large.empty()) {
    this->hosts.erase(found);
  }
}

} // namespace damasklink
