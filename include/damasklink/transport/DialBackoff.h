// How long a host waits for a connection to a peer, and when it tries again.
//
//   DialBackoff pace(timing);
//   pace.ConnectTimeout();    // Give the attempt up after so long,
//   pace.RetryDelay();       // and begin the next one so long after it.
//   pace.OnFailed();
//   pace.OnUp();
//
// The first packet to a host without power is lost, and the kernel sends it again only after a
// second. Hosts that start together start within some tenths of a second of each other, so the
// first attempts are short and close together; a host that stays away is asked less often, and
// given the time that a full link takes. Not thread-safe.
#pragma once

#include "damasklink/state/Clock.h"

namespace damasklink {

struct DialTiming
{
  // Of the first attempts: several times the way there and back between zones.
  Duration firstConnectTimeout = std::chrono::milliseconds(150);
  Duration firstRetryDelay = std::chrono::milliseconds(50);
  int firstAttempts = 5;
  // Of all later ones.
  Duration patience = std::chrono::milliseconds(700);
  Duration pause = std::chrono::milliseconds(300);
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
    return this->IsEarly() ? this->timing.firstConnectTimeout : this->timing.patience;
  }

  Duration RetryDelay() const
  {
    return this->IsEarly() ? this->timing.firstRetryDelay : this->timing.pause;
  }

  void OnFailed() { ++this->failed; }

  // The next attempt is a first one again: the peer may only have started anew.
  void OnUp() { this->failed = 0; }

private:
  bool IsEarly() const { return this->failed < this->timing.firstAttempts; }

  DialTiming timing;
  // Attempts since the last connection.
  int failed = 0;
};

} // namespace damasklink
