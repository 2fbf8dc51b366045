// Refuses new connections that a host does not admit.
//
//   ConnectionRefuser refuser(clock, dialect, seed);
//   refuser.OnAdmitted();                     // A connection is served.
//   co_await refuser.Refuse(connection);      // One is not. It is closed afterwards.
//   refuser.TakeCounts();                     // Since the last time.
//
// The caller learns at once that its request was not run and when to come back. Nothing is parsed,
// relayed or kept. Beyond the bounds of RefusalLimiter, connections are closed unread.
//
// Not thread-safe: belongs to one event loop. Must outlive the refusals that are pending.
#pragma once

#include "damasklink/coordination/RefusalLimiter.h"
#include "damasklink/coordination/RetryScheduler.h"
#include "damasklink/protocol/ServingDialect.h"
#include "damasklink/transport/LingeringClose.h"

namespace damasklink {

// What became of connections that were not admitted.
struct RefusalCounts
{
  std::uint64_t refused = 0;
  std::uint64_t closedUnread = 0;
};

class ConnectionRefuser
{
public:
  // How long the first bytes of a request are waited for. A response to nothing would be taken for
  // that to the caller's next request.
  static constexpr Duration kMaxWait = std::chrono::seconds(1);

  ConnectionRefuser(const Clock& aClock, const CallDialect& aDialect, std::uint64_t aSeed)
    : dialect(aDialect)
    , limiter(aClock)
    , scheduler(aClock, aSeed)
  {
  }

  void OnAdmitted() { this->scheduler.OnAdmitted(); }

  Awaitable<void> Refuse(CallerConnection& aConnection);

  // Returns the counts and begins anew.
  RefusalCounts TakeCounts();

  // Returns the number of refusals in progress.
  std::size_t Pending() const { return this->limiter.Count(); }

private:
  HttpResponseMessage MakeResponse();

  const CallDialect& dialect;
  RefusalLimiter limiter;
  RetryScheduler scheduler;
  LingeringClose lingering{ LingerBounds{ kMaxWait, kMebibyte }, RefusalLimiter::kMostAtOnce };
  RefusalCounts counts;
};

} // namespace damasklink
