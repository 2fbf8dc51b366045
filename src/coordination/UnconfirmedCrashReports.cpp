#include "damasklink/coordination/UnconfirmedCrashReports.h"

#include <utility>

namespace damasklink {

void
UnconfirmedCrashReports::Add(CrashReport aReport, const Endpoint& aAddress)
{
  this->entries.push_back(Entry{ std::move(aReport), aAddress, this->clock.MonotonicNow() });
}

std::vector<CrashReport>
UnconfirmedCrashReports::TakeConfirmed()
{
  const MonotonicTime now = this->clock.MonotonicNow();
  std::vector<CrashReport> confirmed;
  std::erase_if(this->entries, [&](const Entry& aEntry) {
    const ServiceName& service = aEntry.report.service;
    const bool isConfirmed =
      !this->paths.IsUnreachable(service) &&
      (this->paths.WasReachedAfter(service, aEntry.addedAt) || now - aEntry.addedAt >= kMaxAge);
    if (isConfirmed) {
      confirmed.push_back(aEntry.report.Aged(now - aEntry.addedAt));
    }
    return isConfirmed;
  });
  return confirmed;
}

std::vector<UnconfirmedCrashReports::Entry>
UnconfirmedCrashReports::TakeUnreachable()
{
  const MonotonicTime now = this->clock.MonotonicNow();
  std::vector<Entry> unreachable;
  std::erase_if(this->entries, [&](const Entry& aEntry) {
    const bool isUnreachable = this->paths.IsUnreachable(aEntry.report.service);
    if (isUnreachable) {
      unreachable.push_back(Entry{ aEntry.report.Aged(now - aEntry.addedAt), aEntry.address, now });
    }
    return isUnreachable;
  });
  return unreachable;
}

} // namespace damasklink
