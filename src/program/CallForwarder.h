// Hands calls to other entry hosts, and takes the calls that they hand to this one.
//
//   CallForwarder forwarder(loop, clock, settings, metrics, handler);
//   forwarder.Listen();
//   if (auto host = forwarder.Choose(service, tried);
//       host && co_await forwarder.ConnectWithRoom(*host, bytes, wait)) {
//     auto response = forwarder.Send(*host, std::move(call));
//     auto message = co_await response->Next();
//   }
//
// A call is forwarded once: a host never hands on what another one forwarded to it. Connections to
// other hosts are made when they are needed and closed when they are idle. Not thread-safe: belongs
// to one event loop.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "ForwardedCaller.h"
#include "ForwardingRoom.h"
#include "damasklink/coordination/ForwardingPeers.h"
#include "damasklink/protocol/ForwardingCodec.h"
#include "damasklink/state/Metrics.h"
#include "damasklink/state/ServingSettings.h"
#include "damasklink/transport/PeerMesh.h"

namespace damasklink {

class CallForwarder;

// The response to one forwarded call. Destroying it cancels the call unless the response is
// complete.
class ForwardedResponse
{
public:
  ForwardedResponse(CallForwarder& aForwarder,
                    asio::io_context& aLoop,
                    HostId aHost,
                    CallNumber aNumber,
                    MemoryReservation aMemory);
  ~ForwardedResponse();
  ForwardedResponse(const ForwardedResponse&) = delete;
  ForwardedResponse& operator=(const ForwardedResponse&) = delete;

  // Returns the next message about the call. Fails with Interrupted when the connection to the
  // other host was lost, or after Close().
  Awaitable<Result<ForwardingMessage>> Next();

  // Waits for the next message and returns it without taking it, null where Next() would fail.
  // Valid until Next() or Close().
  Awaitable<const ForwardingMessage*> Peek();

  // Cancels the call; a pending Next() fails.
  void Close();

  // Calls the handler each time that the other host has been silent for a while. The call goes on
  // unless the handler closes it.
  void WatchForSilence(std::function<void()> aHandler) { this->onSilence = std::move(aHandler); }

private:
  friend class CallForwarder;

  void OnMessage(ForwardingMessage aMessage);
  void OnLost();
  void OnSilence();

  // Null once the forwarder is destroyed.
  CallForwarder* forwarder;
  HostId host;
  CallNumber number;
  asio::steady_timer wakeUp;
  std::function<void()> onSilence;
  // Messages that were not taken yet, and what they count.
  std::deque<ForwardingMessage> messages;
  MemoryReservation memory;
  // No more messages will arrive.
  bool ended = false;
  // The other host has ended the call.
  bool answered = false;
};

class CallForwarder final : public PeerMeshHandler
{
public:
  // Runs a call of another host, or returns why it is declined.
  using CallHandler =
    std::function<std::optional<DeclineReason>(const HostId& aFrom,
                                               ForwardedCall& aCall,
                                               const std::shared_ptr<ForwardedCaller>& aCaller)>;

  // Limits of the calls that this host runs for others, so that these do not displace its own.
  static constexpr std::size_t kMaxServed = 256;
  static constexpr std::size_t kMaxServedBytes = std::size_t{ 8 } * 1024 * 1024;

  CallForwarder(asio::io_context& aLoop,
                const Clock& aClock,
                const ServingSettings& aSettings,
                Metrics& aMetrics,
                MemoryBudget& aMemory,
                std::uint64_t aSeed,
                CallHandler aHandler);
  ~CallForwarder() override;
  CallForwarder(const CallForwarder&) = delete;
  CallForwarder& operator=(const CallForwarder&) = delete;

  // Starts to accept calls of other hosts. Does nothing when the settings name no port for it.
  Result<void> Listen();

  // Replaces the hosts to which calls may be forwarded.
  void SetHosts(EntryHostZones aHosts);

  // Returns the hosts to which calls may be forwarded.
  const EntryHostZones& Hosts() const { return this->peers.Hosts(); }
  // Returns whether hosts are known, or none are needed as forwarding is disabled.
  bool HasHosts() const { return !this->enabled || !this->peers.Hosts().empty(); }

  // Returns the host to forward a call to, or nothing when there is none.
  std::optional<HostId> Choose(const ServiceName& aService, const std::set<HostId>& aTried);

  // Connects to the host unless it is connected. Returns whether it is.
  Awaitable<bool> Connect(HostId aHost);

  std::shared_ptr<RoomWait> MakeWait() { return this->room.MakeWait(); }

  // Connects to the host, and waits until a call of this size can be sent there. Returns false if
  // there is no connection, or the wait was ended.
  Awaitable<bool> ConnectWithRoom(HostId aHost,
                                  std::size_t aBytes,
                                  std::shared_ptr<RoomWait> aWait);

  // Forwards the call. Requires a connection to the host with room for the call.
  std::unique_ptr<ForwardedResponse> Send(const HostId& aHost, ForwardedCall aCall);

  // The host declined a call for the service.
  void OnDeclined(const HostId& aHost, const ServiceName& aService, DeclineReason aReason);

  // The call that this host ran for another one has ended.
  void EndServed(const HostId& aFrom, CallNumber aNumber);

  // Closes connections that were not used for a while. Must be called periodically.
  void CloseIdle();

  // Returns whether this host runs no call for another, and the answers have reached the hosts that
  // wait for them.
  bool IsFinished() const { return this->served.empty() && !this->mesh.HasUnsent(); }

  void Stop() { this->mesh.Stop(); }

  void OnPeerUp(const HostId& aPeer, LinkSide aSide) override;
  void OnPeerDown(const HostId& aPeer, LinkSide aSide) override;
  bool OnPeerSilent(const HostId& aPeer) override;
  void OnPeerMessage(const HostId& aPeer, PeerMessage aMessage) override;
  void OnPeerWritten(const HostId& aPeer, std::size_t aBytes) override
  {
    this->room.OnWritten(aPeer, aBytes);
  }

private:
  friend class ForwardedResponse;

  using CallKey = std::pair<HostId, CallNumber>;

  // A call that this host runs for another.
  struct ServedCall
  {
    std::shared_ptr<ForwardedCaller> caller;
    std::size_t bytes = 0;
    MemoryReservation memory;
  };

  // Returns whether calls to or from the host are in progress.
  bool HasCalls(const HostId& aHost) const;
  void SendMessage(const HostId& aHost, const ForwardingMessage& aMessage);
  void OnCall(const HostId& aFrom, ForwardedCall aCall);
  void Remove(const ForwardedResponse& aResponse);

  asio::io_context& loop;
  const Clock& clock;
  bool enabled;
  Metrics& metrics;
  MemoryBudget& memory;
  CallHandler handler;
  ForwardingPeers peers;
  PeerMesh mesh;
  ForwardingRoom room;
  CallNumber lastNumber;
  std::map<CallKey, ForwardedResponse*> forwarded;
  std::map<CallKey, ServedCall> served;
  std::size_t servedBytes = 0;
  // Calls that wait for a connection to a host.
  std::map<HostId, std::vector<std::shared_ptr<asio::steady_timer>>> connecting;
  // When a call was last forwarded to a host.
  std::map<HostId, MonotonicTime> usedAt;
};

} // namespace damasklink
