// Where the time of a thread goes, as the system's scheduler counts it.
#pragma once

#include <string_view>

#include "damasklink/state/Clock.h"
#include "damasklink/state/Error.h"

namespace damasklink {

// Totals since the thread began. The rest of its time it waited for something else.
struct ThreadTimes
{
  Duration running = Duration::zero();
  // Could run, but no processor was free.
  Duration waitingForProcessor = Duration::zero();
};

// Returns the times of the calling thread. Fails with Unavailable where the system does not tell
// them.
Result<ThreadTimes>
ReadThreadTimes();

// Reads the text of /proc/thread-self/schedstat.
Result<ThreadTimes>
ParseThreadTimes(std::string_view aText);

} // namespace damasklink
