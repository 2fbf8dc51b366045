// Crash reports that are held back until this host is known to reach other targets of the service.
//
//   UnconfirmedCrashReports unconfirmed(clock, paths);
//   unconfirmed.Add(report);
//   for (report : unconfirmed.TakeConfirmed()) ...   // Periodically.
//
// A host that is cut off from all targets sees the same as one whose target has crashed: its
// connections are reset and new ones are refused. Without this class it would accuse the requests
// that it had in progress. Not thread-safe.
#pragma once

#include <deque>
#include <vector>

#include "damasklink/coordination/ServiceReachability.h"
#include "damasklink/coordination/ServingMessages.h"

namespace damasklink {

class UnconfirmedCrashReports
{
public:
  // A report that nothing has contradicted for this long is confirmed: the service may have no
  // other target.
  static constexpr Duration kMaxAge = std::chrono::seconds(1);

  UnconfirmedCrashReports(const Clock& aClock, const ServiceReachability& aPaths)
    : clock(aClock)
    , paths(aPaths)
  {
  }

  void Add(CrashReport aReport);

  // Removes and returns the confirmed reports. Removes those of unreachable services.
  std::vector<CrashReport> TakeConfirmed();

private:
  struct Entry
  {
    CrashReport report;
    MonotonicTime addedAt;
  };

  const Clock& clock;
  const ServiceReachability& paths;
  std::deque<Entry> entries;
};

} // namespace damasklink
