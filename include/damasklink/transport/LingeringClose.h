// Ends connections of a host with a lingering close, a limited number at a time.
//
//   LingeringClose lingering;
//   co_await lingering.End(connection);   // Closed afterwards.
//
// Not thread-safe: belongs to one event loop. Must outlive the ends that are pending.
#pragma once

#include "damasklink/transport/CallerConnection.h"

namespace damasklink {

class LingeringClose
{
public:
  static constexpr std::size_t kMost = 1024;

  explicit LingeringClose(LingerBounds aBounds = {}, std::size_t aMost = kMost)
    : bounds(aBounds)
    , most(aMost)
  {
  }

  // Ends the connection after its last response. Beyond the limit it is closed at once.
  Awaitable<LingerEnd> End(CallerConnection& aConnection);

  // Returns how many connections are lingering.
  std::size_t Count() const { return this->count; }

private:
  LingerBounds bounds;
  std::size_t most;
  std::size_t count = 0;
};

} // namespace damasklink
