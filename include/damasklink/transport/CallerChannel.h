// Where the response to a call is written: the connection of its caller, or the host that forwarded
// the call.
#pragma once

#include <functional>
#include <string_view>

#include "damasklink/protocol/HttpMessage.h"
#include "damasklink/state/Ids.h"
#include "damasklink/transport/EventLoop.h"

namespace damasklink {

// Belongs to one event loop. The functions that write return false when the bytes could not be
// written, because the caller disconnected or does not read.
class CallerChannel
{
public:
  virtual ~CallerChannel() = default;

  // Writes a response of known length.
  virtual Awaitable<bool> WriteWhole(HttpResponseMessage aResponse, bool aClose) = 0;
  // Sets the software version of the target whose stream follows. Only another entry host is told.
  virtual void SetStreamSoftware(const SoftwareVersion& /*aSoftware*/) {}
  // Writes the head of a response of unknown length, together with its first chunk.
  virtual Awaitable<bool> BeginStream(const HttpResponseHead& aHead,
                                      std::string_view aChunk,
                                      bool aClose) = 0;
  virtual Awaitable<bool> WriteChunk(std::string_view aChunk) = 0;
  virtual Awaitable<bool> EndStream() = 0;

  // Returns whether the caller has left, as far as this host has heard.
  virtual bool HasLeft() { return false; }
  // Calls aHandler once if the caller leaves before StopWatching().
  virtual void WatchForDisconnect(std::function<void()> aHandler) = 0;
  virtual void StopWatching() = 0;

  // Closes immediately; a response that has begun does not look complete to the caller.
  virtual void Close() = 0;
};

} // namespace damasklink
