// Timeout and retry delay of a host's attempts to connect to a peer.
//
//   DialBackoff backoff(timing);
//   backoff.ConnectTimeout();   // Abandon the attempt after this long,
//   backoff.RetryDelay();       // and begin the next one this long after it.
//   backoff.OnFailed();
//   backoff.OnUp();
//
// The first packet to a host without power is lost, and the kernel resends it only after a second.
// Hosts that start together start within some tenths of a second of each other, so the first
// attempts are short and close together. An unreachable host is dialed less often, with a timeout
// that suffices on a congested link. Not thread-safe.
#pragma once

#include "damasklink/state/Clock.h"

namespace damasklink {

struct DialTiming
{
  // First attempts: several round trips between zones.
  Duration firstConnectTimeout = std::chrono::milliseconds(150);
  Duration firstRetryDelay = std::chrono::milliseconds(50);
  int firstAttempts = 5;
  // All later attempts.
  Duration connectTimeout = std::chrono::milliseconds(700);
  Duration retryDelay = std::chrono::milliseconds(300);
};

class DialBackoff
{
public:
  explicit DialBackoff(DialTiming aTiming)
    : timing(aTiming)
  {
  }

  Duration ConnectTimeout() const
  {
    return this->IsEarly() ? this->timing.firstConnectTimeout : this->timing.connectTimeout;
  }

  Duration RetryDelay() const
  {
    return this->IsEarly() ? this->timing.firstRetryDelay : this->timing.retryDelay;
  }

  void OnFailed() { ++this->failed; }

  // Begins again with the first attempts, since the peer may just have restarted.
  void OnUp() { this->failed = 0; }

private:
  bool IsEarly() const { return this->failed < this->timing.firstAttempts; }

  DialTiming timing;
  // Failed attempts since the last connection.
  int failed = 0;
};

} // namespace damasklink
