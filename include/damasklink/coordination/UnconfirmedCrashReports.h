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

  // A report about a target at this address.
  struct Entry
  {
    CrashReport report;
    Endpoint address;
    MonotonicTime addedAt;
  };

  void Add(CrashReport aReport, const Endpoint& aAddress);

  // Removes and returns the confirmed reports.
  std::vector<CrashReport> TakeConfirmed();

  // Removes and returns the reports of services that became unreachable. This host may be cut off,
  // or all targets of the service may have crashed.
  std::vector<Entry> TakeUnreachable();

private:
  const Clock& clock;
  const ServiceReachability& paths;
  std::deque<Entry> entries;
};

} // namespace damasklink
