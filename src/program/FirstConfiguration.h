// Lets calls wait for the first configuration of an entry host, on its event loop.
#pragma once

#include <set>

#include "damasklink/coordination/StartupWait.h"
#include "damasklink/transport/EventLoop.h"

namespace damasklink {

// Belongs to the thread of the loop.
class FirstConfiguration
{
public:
  explicit FirstConfiguration(asio::io_context& aLoop)
    : loop(aLoop)
  {
  }

  // Returns once a configuration is in force, or the call may wait no longer. aPatience is how long
  // the caller waits in all, aBytes what the call takes up meanwhile.
  Awaitable<void> Wait(Duration aPatience, std::size_t aBytes);

  // A configuration is in force.
  void OnInForce();

private:
  asio::io_context& loop;
  StartupWait waits;
  std::set<asio::steady_timer*> waiting;
};

} // namespace damasklink
