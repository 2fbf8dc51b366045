// Tells an event loop that is late because of its load from one that stood still for once.
//
//   StallFilter stalls;
//   admission.TryAdmit(stalls.LagOfLoad(lag, running));
//   admission.OnInterval(stalls.LagOfLoad(lag, running));
//   stalls.OnInterval(lag);              // Every ConnectionAdmission::kInterval.
//
// A process that the machine stops for a second, or gives no processor, is late although it has
// little to do: what arrived meanwhile can be served. A host that is late again soon is short of
// processor time, and its lag counts. Not thread-safe.
#pragma once

#include <cstdint>

#include "damasklink/state/Clock.h"

namespace damasklink {

class StallFilter
{
public:
  // Intervals after a late one in which another one counts.
  static constexpr std::uint64_t kIntervals = 10;

  // Returns the lag to be taken for overload. aRunning is how long the loop had a processor since
  // the last interval.
  Duration LagOfLoad(Duration aLag, Duration aRunning) const;

  // Ends an interval. aLag is how late the event loop was at its end.
  void OnInterval(Duration aLag);

private:
  // The intervals that were on time since the last late one, up to kIntervals.
  std::uint64_t onTime = kIntervals;
};

} // namespace damasklink
