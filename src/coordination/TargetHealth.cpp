#include "damasklink/coordination/TargetHealth.h"

#include <algorithm>
#include <utility>

namespace damasklink {

void
TargetHealth::OnStart(const TargetId& aTarget)
{
  const auto found = this->entries.find(aTarget);
  if (found != this->entries.end() && found->second.ejections > 0) {
    found->second.probing = true;
  }
}

void
TargetHealth::OnEnd(const TargetId& aTarget, HealthSignal aSign)
{
  if (aSign == HealthSignal::Good) {
    this->OnGood(aTarget);
    return;
  }
  if (aSign == HealthSignal::None) {
    if (const auto found = this->entries.find(aTarget); found != this->entries.end()) {
      found->second.probing = false;
    }
    return;
  }
  Entry& entry = this->entries[aTarget];
  ++entry.failures;
  if (aSign == HealthSignal::Endless) {
    this->CountEndless(entry);
  }
  const bool probeFailed = entry.probing;
  entry.probing = false;
  const bool alreadyEjected = this->clock.MonotonicNow() < entry.ejectedUntil;
  if (aSign == HealthSignal::NotReached && !alreadyEjected &&
      this->pendingReports.size() < kMaxPendingReports) {
    this->PendingReportOf(aTarget).report.gone = 1;
  }
  const bool endless = aSign == HealthSignal::Endless && entry.endless >= kConsecutiveFailures;
  const bool failed =
    entry.failures >= kConsecutiveFailures || endless || aSign == HealthSignal::NotReached;
  if (!alreadyEjected && (probeFailed || failed)) {
    this->Eject(entry);
  }
}

void
TargetHealth::OnGood(const TargetId& aTarget)
{
  const auto found = this->entries.find(aTarget);
  if (found != this->entries.end() && found->second.reportedUnreachable) {
    this->PendingReportOf(aTarget).report.back = 1;
  }
  this->Clear(aTarget);
}

void
TargetHealth::OnPathRestored(const TargetId& aTarget)
{
  this->pendingReports.erase(aTarget);
  this->Clear(aTarget);
}

void
TargetHealth::Clear(const TargetId& aTarget)
{
  const auto found = this->entries.find(aTarget);
  if (found == this->entries.end()) {
    return;
  }
  Entry& entry = found->second;
  if (!this->HasEndless(entry)) {
    this->entries.erase(found);
    return;
  }
  entry.failures = 0;
  entry.probing = false;
  entry.reports = 0;
  entry.reportedUnreachable = false;
}

bool
TargetHealth::HasEndless(const Entry& aEntry) const
{
  return aEntry.endless > 0 && this->clock.MonotonicNow() - aEntry.lastEndless < kEndlessMemory;
}

void
TargetHealth::CountEndless(Entry& aEntry) const
{
  aEntry.endless = this->HasEndless(aEntry) ? aEntry.endless + 1 : 1;
  aEntry.lastEndless = this->clock.MonotonicNow();
}

bool
TargetHealth::SendsWithoutEnd(const TargetId& aTarget) const
{
  const auto found = this->entries.find(aTarget);
  return found != this->entries.end() && this->HasEndless(found->second) &&
         found->second.endless >= kConsecutiveFailures;
}

void
TargetHealth::OnRestart(const TargetId& aTarget)
{
  this->entries.erase(aTarget);
  this->pendingReports.erase(aTarget);
}

void
TargetHealth::Eject(Entry& aEntry)
{
  Duration length = kFirstEjection;
  for (int index = 0; index < aEntry.ejections && length < kMaxEjection; ++index) {
    length *= 2;
  }
  length = std::min(length, kMaxEjection);
  // Jitter keeps targets that were ejected together from coming back together.
  std::uniform_int_distribution<std::int64_t> jitter(0, length.count() / 4);
  aEntry.ejectedUntil = this->clock.MonotonicNow() + length + Duration(jitter(this->random));
  ++aEntry.ejections;
}

TargetHealth::PendingReport&
TargetHealth::PendingReportOf(const TargetId& aTarget)
{
  const auto [position, isNew] = this->pendingReports.try_emplace(aTarget);
  if (isNew) {
    position->second.report.target = aTarget;
    position->second.since = this->clock.MonotonicNow();
  }
  return position->second;
}

std::vector<TargetReachabilityReport>
TargetHealth::TakeReachabilityReports(const ConfirmFunction& aIsConfirmed)
{
  const MonotonicTime now = this->clock.MonotonicNow();
  std::vector<TargetReachabilityReport> reports;
  std::map<TargetId, PendingReport> kept;
  for (const auto& [target, pending] : this->pendingReports) {
    const bool isBack = pending.report.back > 0;
    if (isBack || !aIsConfirmed || aIsConfirmed(target, pending.since)) {
      reports.push_back(pending.report);
    } else if (now - pending.since < kReportRetention) {
      kept.emplace(target, pending);
    }
  }
  this->pendingReports = std::move(kept);
  return reports;
}

void
TargetHealth::Take(const std::vector<TargetReachabilityReport>& aReports)
{
  for (const TargetReachabilityReport& report : aReports) {
    if (report.back > 0) {
      std::erase_if(this->entries, [&](const auto& aItem) {
        return aItem.first == report.target && aItem.second.reportedUnreachable;
      });
    } else if (report.gone > 0) {
      this->TakeUnreachable(report);
    }
  }
}

void
TargetHealth::TakeUnreachable(const TargetReachabilityReport& aReport)
{
  const MonotonicTime now = this->clock.MonotonicNow();
  Entry& entry = this->entries[aReport.target];
  if (entry.reports == 0 || now - entry.reportsSince > kReportWindow) {
    entry.reports = 0;
    entry.reportsSince = now;
  }
  entry.reports += aReport.gone;
  // A target that has already been ejected because of reports needs only one more, of a failed
  // probe.
  if (!entry.reportedUnreachable && entry.reports < kReportsToEject) {
    return;
  }
  entry.reportedUnreachable = true;
  entry.ejections = std::max(entry.ejections, 1);
  std::uniform_int_distribution<std::int64_t> spread(0, kProbeSpread.count());
  const MonotonicTime until = now + kFirstEjection + Duration(spread(this->random));
  entry.ejectedUntil = std::max(entry.ejectedUntil, until);
}

bool
TargetHealth::IsEjected(const TargetId& aTarget) const
{
  const auto found = this->entries.find(aTarget);
  if (found == this->entries.end()) {
    return false;
  }
  return found->second.probing || this->clock.MonotonicNow() < found->second.ejectedUntil;
}

std::vector<TargetRecord>
TargetHealth::Filter(const std::vector<TargetRecord>& aTargets) const
{
  std::vector<TargetRecord> healthy;
  std::vector<const TargetRecord*> ejected;
  for (const TargetRecord& target : aTargets) {
    if (this->IsEjected(target.id)) {
      ejected.push_back(&target);
    } else {
      healthy.push_back(target);
    }
  }
  const std::size_t floor = (aTargets.size() + 1) / 2;
  for (const TargetRecord* target : ejected) {
    if (healthy.size() >= floor) {
      break;
    }
    healthy.push_back(*target);
  }
  return healthy;
}

} // namespace damasklink
