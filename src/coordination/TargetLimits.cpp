#include "damasklink/coordination/TargetLimits.h"

#include <algorithm>
#include <utility>

namespace damasklink {

double
TargetLimits::PermitsNow(const Entry& aEntry) const
{
  const std::chrono::duration<double> since = this->clock.MonotonicNow() - aEntry.filledAt;
  return std::min(1.0, aEntry.permits + (aEntry.share.perSecond * since.count()));
}

bool
TargetLimits::MaySend(const TargetId& aTarget) const
{
  const auto found = this->entries.find(aTarget);
  return found == this->entries.end() || this->PermitsNow(found->second) >= 1;
}

void
TargetLimits::OnSent(const TargetId& aTarget)
{
  const auto found = this->entries.find(aTarget);
  if (found != this->entries.end()) {
    Entry& entry = found->second;
    entry.permits = std::max(this->PermitsNow(entry) - 1, 0.0);
    entry.filledAt = this->clock.MonotonicNow();
  }
}

std::optional<Duration>
TargetLimits::UntilPermit(const std::vector<TargetRecord>& aTargets) const
{
  std::optional<Duration> soonest;
  for (const TargetRecord& target : aTargets) {
    const auto found = this->entries.find(target.id);
    if (found == this->entries.end() || found->second.share.perSecond <= 0) {
      continue;
    }
    const double missing = std::max(1 - this->PermitsNow(found->second), 0.0);
    const std::chrono::duration<double> wait(missing / found->second.share.perSecond);
    const auto rounded = std::chrono::duration_cast<Duration>(wait);
    soonest = soonest ? std::min(*soonest, rounded) : rounded;
  }
  return soonest;
}

void
TargetLimits::OnAnswer(const TargetRecord& aTarget,
                       const std::optional<RequestRate>& aLimit,
                       MonotonicTime aSentAt)
{
  const auto found = this->entries.find(aTarget.id);
  const bool known = found != this->entries.end();
  if (known && aTarget.incarnation < found->second.incarnation) {
    return;
  }
  if (!aLimit) {
    if (known && aSentAt > found->second.knownSince) {
      this->Report(aTarget.id, found->second, true);
      this->entries.erase(found);
    }
    return;
  }
  if (known && found->second.limit == *aLimit && found->second.incarnation == aTarget.incarnation) {
    return;
  }
  Entry& entry = this->entries[aTarget.id];
  if (!known) {
    entry.knownSince = this->clock.MonotonicNow();
    entry.filledAt = this->clock.MonotonicNow();
  }
  entry.incarnation = aTarget.incarnation;
  entry.limit = *aLimit;
  entry.reportedAt = this->clock.MonotonicNow();
  this->Report(aTarget.id, entry, false);
}

void
TargetLimits::Report(const TargetId& aTarget, const Entry& aEntry, bool aLifted)
{
  LimitReport report{ aTarget, aEntry.incarnation, aEntry.limit };
  if (aLifted) {
    report.limit.reset();
  }
  this->untold[aTarget] = report;
}

void
TargetLimits::Take(const std::vector<TargetLimit>& aTold)
{
  const MonotonicTime now = this->clock.MonotonicNow();
  std::map<TargetId, Entry> taken;
  for (const TargetLimit& told : aTold) {
    Entry& entry = taken[told.target];
    const auto found = this->entries.find(told.target);
    if (found != this->entries.end()) {
      entry = found->second;
      entry.permits = this->PermitsNow(entry);
    } else {
      entry.knownSince = now;
    }
    entry.incarnation = told.incarnation;
    entry.limit = told.limit;
    entry.filledAt = now;
    entry.share = told.hosts.contains(this->self) ? told.share : RequestRate();
    if (entry.share.perSecond <= 0) {
      // What was saved up belonged to the share that is another host's now.
      entry.permits = 0;
    }
  }
  for (const auto& [target, entry] : this->entries) {
    if (entry.reportedAt && now - *entry.reportedAt < kReportUnderWay) {
      taken.try_emplace(target, entry);
    }
  }
  this->entries = std::move(taken);
}

void
TargetLimits::TellAllAnew()
{
  for (auto& [target, entry] : this->entries) {
    entry.reportedAt = this->clock.MonotonicNow();
    this->Report(target, entry, false);
  }
}

std::vector<LimitReport>
TargetLimits::TakeReports()
{
  std::vector<LimitReport> reports;
  for (auto& [target, report] : std::exchange(this->untold, {})) {
    reports.push_back(std::move(report));
  }
  return reports;
}

} // namespace damasklink
