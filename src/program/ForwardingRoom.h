// Decides when messages about forwarded calls may be queued on the connection to another host.
//
// A connection bounds its queue by closing, and then all calls on it are lost. So whatever carries
// a body waits for room first:
//
//   auto wait = room.MakeWait();
//   if (co_await room.Wait(host, RoomRequest{ bytes }, wait)) {
//     send(message);   // At once: the room is not kept.
//   }
//
// One large message is on its way to a host at a time, and a few small ones may follow it.
// Not thread-safe: belongs to one event loop.
#pragma once

#include <list>
#include <map>

#include "damasklink/coordination/MemoryBudget.h"
#include "damasklink/transport/PeerMesh.h"

namespace damasklink {

// A message that is to be queued.
struct RoomRequest
{
  std::size_t bytes = 0;
  // The first message of an answer, or the only one.
  bool begins = false;
};

// The wait of one message. End() may be called at any time.
class RoomWait
{
public:
  explicit RoomWait(asio::io_context& aLoop)
    : wakeUp(aLoop)
  {
  }

  // Ends the wait without room.
  void End()
  {
    this->ended = true;
    this->wakeUp.cancel();
  }

private:
  friend class ForwardingRoom;

  asio::steady_timer wakeUp;
  RoomRequest request;
  bool ended = false;
};

class ForwardingRoom
{
public:
  // A message above this size is large.
  static constexpr std::size_t kSmallBytes = std::size_t{ 64 } * 1024;
  // Small messages wait when more is queued beside a large one.
  static constexpr std::size_t kQueuedBytes = std::size_t{ 256 } * 1024;
  // Beginnings of answers up to the first size may be queued up to the second one beyond that.
  static constexpr std::size_t kBeginningBytes = std::size_t{ 4 } * 1024;
  static constexpr std::size_t kQueuedBeginnings = std::size_t{ 512 } * 1024;
  // A larger message waits until nothing is queued.
  static constexpr std::size_t kMaxSharing = std::size_t{ 7 } * 1024 * 1024;
  // How long a message waits for memory.
  static constexpr Duration kMaxMemoryWait = std::chrono::seconds(2);

  ForwardingRoom(asio::io_context& aLoop,
                 const Clock& aClock,
                 const MemoryBudget& aMemory,
                 const PeerMesh& aMesh)
    : loop(aLoop)
    , clock(aClock)
    , memory(aMemory)
    , mesh(aMesh)
  {
  }

  std::shared_ptr<RoomWait> MakeWait() { return std::make_shared<RoomWait>(this->loop); }

  // Waits until the message can be queued for the host. Returns false if the wait was ended, the
  // connection was lost, or there was no memory for the message.
  Awaitable<bool> Wait(HostId aHost, RoomRequest aRequest, std::shared_ptr<RoomWait> aWait);

  // Bytes were written to the host.
  void OnWritten(const HostId& aHost, std::size_t aBytes);

  // A connection to the host was lost.
  void OnLost(const HostId& aHost);

private:
  using Queue = std::list<std::shared_ptr<RoomWait>>;

  struct HostQueues
  {
    Queue small;
    Queue large;
    // What is to be written until the last large message is.
    std::size_t untilLargeWritten = 0;
  };

  static bool IsLarge(const RoomRequest& aRequest) { return aRequest.bytes > kSmallBytes; }
  static bool MayOvertake(const RoomRequest& aRequest);

  Awaitable<bool> WaitInQueue(HostId aHost, std::shared_ptr<RoomWait> aWait);
  bool HasRoom(const HostId& aHost, const RoomRequest& aRequest) const;
  bool HasMemory(const HostId& aHost, const RoomRequest& aRequest) const;
  static void WakeFirst(HostQueues& aQueues);

  asio::io_context& loop;
  const Clock& clock;
  const MemoryBudget& memory;
  const PeerMesh& mesh;
  // Of hosts that messages were sent to since they were last connected.
  std::map<HostId, HostQueues> hosts;
};

} // namespace damasklink
