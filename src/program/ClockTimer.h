// Waits until a time of the project's clock.
#pragma once

#include "damasklink/state/Clock.h"
#include "damasklink/transport/EventLoop.h"

namespace damasklink {

// Sets the timer to a time of the clock. The clock also counts the time in which the machine was
// suspended, and timers don't, so a time of the clock must not be passed to a timer as it is.
inline void
ExpireAt(asio::steady_timer& aTimer, const Clock& aClock, MonotonicTime aTime)
{
  aTimer.expires_after(aTime - aClock.MonotonicNow());
}

} // namespace damasklink
