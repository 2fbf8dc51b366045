// Lets calls wait until an entry host has its first configuration.
#pragma once

#include <set>

#include "damasklink/coordination/StartupWaitLimiter.h"
#include "damasklink/transport/EventLoop.h"

namespace damasklink {

// Must be used on the thread of the event loop only. StartupWaitLimiter.h limits how many calls
// wait and how long.
class FirstConfiguration
{
public:
  explicit FirstConfiguration(asio::io_context& aLoop)
    : loop(aLoop)
  {
  }

  // Returns once a configuration is installed, or at the end of the call's wait. aPatience is how
  // long the caller waits for its response, aBytes the memory that the waiting call occupies.
  Awaitable<void> Wait(Duration aPatience, std::size_t aBytes);

  // Ends all waits. To be called when a configuration was installed.
  void OnInForce();

private:
  asio::io_context& loop;
  StartupWaitLimiter waits;
  // The timers of the waiting calls.
  std::set<asio::steady_timer*> waiting;
};

} // namespace damasklink
