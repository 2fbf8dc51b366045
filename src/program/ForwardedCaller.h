// The caller of a call that another entry host forwarded to this one.
#pragma once

#include <functional>

#include "ForwardingRoom.h"
#include "damasklink/protocol/ForwardingCodec.h"
#include "damasklink/transport/CallerChannel.h"

namespace damasklink {

// Sends the response to the host that forwarded the call, as soon as there is room for it on the
// connection. Not thread-safe.
class ForwardedCaller final : public CallerChannel
{
public:
  using SendFunction = std::function<void(const ForwardingMessage&)>;

  ForwardedCaller(CallNumber aNumber, HostId aHost, ForwardingRoom& aRoom, SendFunction aSend)
    : number(aNumber)
    , host(std::move(aHost))
    , room(aRoom)
    , send(std::move(aSend))
  {
  }

  Awaitable<bool> WriteWhole(HttpResponseMessage aResponse, bool aClose) override;
  void SetStreamSoftware(const SoftwareVersion& aSoftware) override { this->software = aSoftware; }
  Awaitable<bool> BeginStream(const HttpResponseHead& aHead,
                              std::string_view aChunk,
                              bool aClose) override;
  Awaitable<bool> WriteChunk(std::string_view aChunk) override;
  Awaitable<bool> EndStream() override;
  void WatchForDisconnect(std::function<void()> aHandler) override;
  void StopWatching() override { this->onDisconnect = nullptr; }
  void Close() override;

  // The caller left, or the connection to the host that forwarded the call was lost.
  void OnCancelled();

private:
  bool IsOver() const { return this->finished || this->cancelled; }
  // Returns whether a message can be sent, which is done at once.
  Awaitable<bool> AwaitRoom(RoomRequest aRequest);
  void EndWait();
  bool Send(const ForwardingMessage& aMessage);

  CallNumber number;
  HostId host;
  ForwardingRoom& room;
  // Set while a message waits.
  std::shared_ptr<RoomWait> wait;
  SendFunction send;
  std::optional<SoftwareVersion> software;
  std::function<void()> onDisconnect;
  bool finished = false;
  bool cancelled = false;
};

} // namespace damasklink
