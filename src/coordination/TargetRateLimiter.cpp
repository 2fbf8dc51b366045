#include "damasklink/coordination/TargetRateLimiter.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace damasklink {
namespace {

// Returns the initial permits of a host that gets its first share of a cold target. The hosts start
// one after the other, so that all together send evenly from the first second on.
double
InitialPermits(const std::set<HostId>& aHosts, const HostId& aSelf)
{
  const auto position = std::distance(aHosts.begin(), aHosts.find(aSelf));
  return 1 - (static_cast<double>(position) / static_cast<double>(aHosts.size()));
}

} // namespace

bool
TargetRateLimiter::IsCold(const Entry& aEntry) const
{
  return this->clock.MonotonicNow() < aEntry.coldUntil;
}

bool
TargetRateLimiter::IsLimited(const Entry& aEntry) const
{
  return aEntry.limit || this->IsCold(aEntry);
}

double
TargetRateLimiter::PermitsNow(const Entry& aEntry) const
{
  const std::chrono::duration<double> since = this->clock.MonotonicNow() - aEntry.filledAt;
  return std::min(1.0, aEntry.permits + (aEntry.share.perSecond * since.count()));
}

bool
TargetRateLimiter::MaySend(const TargetId& aTarget) const
{
  const auto found = this->entries.find(aTarget);
  return found == this->entries.end() || !this->IsLimited(found->second) ||
         this->PermitsNow(found->second) >= 1;
}

void
TargetRateLimiter::OnSent(const TargetId& aTarget)
{
  const auto found = this->entries.find(aTarget);
  if (found != this->entries.end()) {
    Entry& entry = found->second;
    entry.permits = std::max(this->PermitsNow(entry) - 1, 0.0);
    entry.filledAt = this->clock.MonotonicNow();
    entry.sent = true;
  }
}

// Returns the time until this host may send a request. Without a share, it is the time until the
// target is warm, or nothing if the target also has a limit.
std::optional<Duration>
TargetRateLimiter::TimeUntilPermit(const Entry& aEntry) const
{
  if (aEntry.share.perSecond > 0) {
    const double missing = std::max(1 - this->PermitsNow(aEntry), 0.0);
    const std::chrono::duration<double> wait(missing / aEntry.share.perSecond);
    return std::chrono::duration_cast<Duration>(wait);
  }
  if (!aEntry.limit) {
    return aEntry.coldUntil - this->clock.MonotonicNow();
  }
  return std::nullopt;
}

std::optional<Duration>
TargetRateLimiter::TimeUntilPermit(const std::vector<TargetRecord>& aTargets) const
{
  std::optional<Duration> shortest;
  for (const TargetRecord& target : aTargets) {
    const auto found = this->entries.find(target.id);
    if (found == this->entries.end() || !this->IsLimited(found->second)) {
      continue;
    }
    if (const std::optional<Duration> wait = this->TimeUntilPermit(found->second)) {
      shortest = shortest ? std::min(*shortest, *wait) : *wait;
    }
  }
  return shortest;
}

void
TargetRateLimiter::OnAnswer(const TargetRecord& aTarget,
                            const std::optional<RequestRate>& aLimit,
                            MonotonicTime aSentAt)
{
  const auto found = this->entries.find(aTarget.id);
  const bool known = found != this->entries.end();
  if (known && aTarget.incarnation < found->second.incarnation) {
    return;
  }
  const bool wasLimited = known && found->second.limit;
  if (!aLimit) {
    if (wasLimited && aSentAt > found->second.knownSince) {
      this->Report(aTarget.id, found->second, true);
      found->second.limit.reset();
      this->RemoveWarmTargets();
    }
    return;
  }
  if (wasLimited && found->second.limit == aLimit &&
      found->second.incarnation == aTarget.incarnation) {
    return;
  }
  Entry& entry = this->entries[aTarget.id];
  if (!wasLimited) {
    entry.knownSince = this->clock.MonotonicNow();
  }
  if (!known) {
    entry.filledAt = this->clock.MonotonicNow();
  }
  entry.incarnation = aTarget.incarnation;
  entry.limit = aLimit;
  entry.reportedAt = this->clock.MonotonicNow();
  this->Report(aTarget.id, entry, false);
}

void
TargetRateLimiter::OnCold(const TargetRecord& aTarget, Duration aColdFor)
{
  const MonotonicTime now = this->clock.MonotonicNow();
  const auto [position, isNew] = this->entries.try_emplace(aTarget.id);
  Entry& entry = position->second;
  if (isNew) {
    entry.filledAt = now;
  } else if (aTarget.incarnation < entry.incarnation) {
    return;
  }
  entry.incarnation = aTarget.incarnation;
  entry.coldUntil = std::max(entry.coldUntil, now + aColdFor);
}

void
TargetRateLimiter::Report(const TargetId& aTarget, const Entry& aEntry, bool aLifted)
{
  LimitReport report{ aTarget, aEntry.incarnation, aEntry.limit };
  if (aLifted) {
    report.limit.reset();
  }
  this->pendingReports[aTarget] = report;
}

void
TargetRateLimiter::ApplyShare(const TargetLimit& aShare, Entry& aTo) const
{
  const MonotonicTime now = this->clock.MonotonicNow();
  const bool hadShare = aTo.share.perSecond > 0;
  aTo.permits = this->PermitsNow(aTo);
  aTo.filledAt = now;
  aTo.incarnation = aShare.incarnation;
  aTo.limit = aShare.limit;
  if (!aShare.hosts.contains(this->self)) {
    aTo.share = RequestRate();
    // The permits belonged to the share that another host has now.
    aTo.permits = 0;
    return;
  }
  aTo.share = aShare.share;
  if (!hadShare && !aTo.sent && !aTo.limit && this->IsCold(aTo)) {
    aTo.permits = InitialPermits(aShare.hosts, this->self);
  }
}

void
TargetRateLimiter::SetShares(const std::vector<TargetLimit>& aShares)
{
  const MonotonicTime now = this->clock.MonotonicNow();
  std::map<TargetId, Entry> updated;
  for (const TargetLimit& share : aShares) {
    Entry& entry = updated[share.target];
    const auto found = this->entries.find(share.target);
    if (found != this->entries.end()) {
      entry = found->second;
    } else {
      entry.knownSince = now;
      entry.filledAt = now;
      // For a known target the end of the cold period comes from OnCold().
      entry.coldUntil = now + share.coldFor;
    }
    this->ApplyShare(share, entry);
  }
  for (const auto& [target, entry] : this->entries) {
    const bool reportInFlight = entry.reportedAt && now - *entry.reportedAt < kReportInFlight;
    if (!reportInFlight && !this->IsCold(entry)) {
      continue;
    }
    const auto [position, inserted] = updated.try_emplace(target, entry);
    if (inserted && !reportInFlight) {
      position->second.limit.reset();
    }
  }
  this->entries = std::move(updated);
}

void
TargetRateLimiter::ResendAll()
{
  for (auto& [target, entry] : this->entries) {
    if (entry.limit) {
      entry.reportedAt = this->clock.MonotonicNow();
      this->Report(target, entry, false);
    }
  }
}

void
TargetRateLimiter::RemoveWarmTargets()
{
  std::erase_if(this->entries,
                [this](const auto& aItem) { return !this->IsLimited(aItem.second); });
}

std::vector<LimitReport>
TargetRateLimiter::TakeReports()
{
  this->RemoveWarmTargets();
  std::vector<LimitReport> reports;
  for (auto& [target, report] : std::exchange(this->pendingReports, {})) {
    reports.push_back(std::move(report));
  }
  return reports;
}

} // namespace damasklink
