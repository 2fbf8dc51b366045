#include "damasklink/coordination/UnconfirmedCrashReports.h"

#include <utility>

namespace damasklink {

void
UnconfirmedCrashReports::Add(CrashReport aReport)
{
  this->entries.push_back(Entry{ std::move(aReport), this->clock.MonotonicNow() });
}

std::vector<CrashReport>
UnconfirmedCrashReports::TakeConfirmed()
{
  const MonotonicTime now = this->clock.MonotonicNow();
  std::vector<CrashReport> confirmed;
  std::deque<Entry> kept;
  for (Entry& entry : this->entries) {
    const ServiceName& service = entry.report.service;
    if (this->paths.IsUnreachable(service)) {
      continue;
    }
    const bool isConfirmed =
      this->paths.WasReachedAfter(service, entry.addedAt) || now - entry.addedAt >= kMaxAge;
    if (isConfirmed) {
      confirmed.push_back(std::move(entry.report));
    } else {
      kept.push_back(std::move(entry));
    }
  }
  this->entries = std::move(kept);
  return confirmed;
}

} // namespace damasklink
