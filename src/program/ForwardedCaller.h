// The caller of a call that another entry host forwarded to this one.
#pragma once

#include <functional>

#include "damasklink/protocol/ForwardingCodec.h"
#include "damasklink/transport/CallerChannel.h"

namespace damasklink {

// Sends the response to the host that forwarded the call. Not thread-safe.
class ForwardedCaller final : public CallerChannel
{
public:
  using SendFunction = std::function<void(const ForwardingMessage&)>;

  ForwardedCaller(CallNumber aNumber, SendFunction aSend)
    : number(aNumber)
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
  bool Send(const ForwardingMessage& aMessage);

  CallNumber number;
  SendFunction send;
  std::optional<SoftwareVersion> software;
  std::function<void()> onDisconnect;
  bool finished = false;
  bool cancelled = false;
};

} // namespace damasklink
