// Limits the new connections of a host to what its processor can serve.
//
//   ConnectionAdmission admission;
//   if (!admission.TryAdmit(lag)) ...    // Refuse the connection before anything is read.
//   admission.OnInterval(lag);           // Every kInterval.
//
// A load balancer may send one host the callers of a whole availability zone. What the host reads
// beyond its capacity waits, and in the end everything that it has read is late. A connection that
// is refused unread costs little, and its caller can try another host.
//
// The limit adapts to the delay of the event loop: it falls while the loop lags, and rises again
// otherwise. Not thread-safe.
#pragma once

#include <cstdint>

#include "damasklink/state/Clock.h"

namespace damasklink {

class ConnectionAdmission
{
public:
  static constexpr Duration kInterval = std::chrono::milliseconds(100);
  // A processor share that is granted by the tenth of a second may cause this delay by itself.
  static constexpr Duration kMaxLag = std::chrono::milliseconds(200);
  // Connections per interval. The first one bounds how much a host takes on before it notices that
  // this is too much.
  static constexpr std::uint64_t kInitialLimit = 64;
  static constexpr std::uint64_t kMinLimit = 1;
  static constexpr std::uint64_t kMaxLimit = 1024;

  // Returns whether a new connection may be served. aLag is how late the end of the interval is.
  bool TryAdmit(Duration aLag);

  // Ends an interval. aLag is how late the event loop was at its end.
  void OnInterval(Duration aLag);

  // Returns whether the loop lagged at the end of the last interval.
  bool IsOverloaded() const { return this->overloaded; }

  std::uint64_t Limit() const { return this->limit; }

  // Returns the number of connections that were not admitted in this interval.
  std::uint64_t Declined() const { return this->declined; }

private:
  std::uint64_t limit = kInitialLimit;
  std::uint64_t admitted = 0;
  std::uint64_t declined = 0;
  bool overloaded = false;
};

} // namespace damasklink
