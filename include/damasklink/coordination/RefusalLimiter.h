// Bounds how many new connections a host refuses with a response rather than closing them unread.
//
//   RefusalLimiter limiter(clock);
//   if (limiter.TryBegin()) ...   // Otherwise close the connection unread.
//   limiter.End();
//
// A refusal costs far less than a served request, but not nothing: a host that is offered more
// connections than it can even refuse must not spend on them what its admitted requests need.
//
// Not thread-safe.
#pragma once

#include <cstddef>

#include "damasklink/state/Clock.h"

namespace damasklink {

class RefusalLimiter
{
public:
  // Refusals that are in progress at the same time, each of which holds a descriptor.
  static constexpr std::size_t kMostAtOnce = 512;
  static constexpr double kPerSecond = 1000;
  // Callers that lose a host connect to another one at the same moment.
  static constexpr double kBurst = 500;

  explicit RefusalLimiter(const Clock& aClock)
    : clock(aClock)
    , refilledAt(aClock.MonotonicNow())
  {
  }

  // Returns whether one more connection may be refused with a response.
  bool TryBegin();

  // Ends a refusal for which TryBegin() returned true.
  void End();

  // Returns the number of refusals in progress.
  std::size_t Count() const { return this->count; }

private:
  void Refill();

  const Clock& clock;
  MonotonicTime refilledAt;
  double tokens = kBurst;
  std::size_t count = 0;
};

} // namespace damasklink
