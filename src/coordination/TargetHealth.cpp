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
    const auto found = this->entries.find(aTarget);
    if (found != this->entries.end()) {
      if (found->second.reportedUnreachable) {
        TargetFindings& findings = this->untold[aTarget];
        findings.target = aTarget;
        findings.back = 1;
      }
      this->entries.erase(found);
    }
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
  const bool probeFailed = entry.probing;
  entry.probing = false;
  const bool alreadyOut = this->clock.MonotonicNow() < entry.ejectedUntil;
  if (aSign == HealthSignal::NotReached && !alreadyOut &&
      this->untold.size() < kMaxPendingFindings) {
    TargetFindings& findings = this->untold[aTarget];
    findings.target = aTarget;
    findings.gone = 1;
  }
  const bool enough = entry.failures >= kConsecutiveFailures || aSign == HealthSignal::NotReached;
  if (!alreadyOut && (probeFailed || enough)) {
    this->Eject(entry);
  }
}

void
TargetHealth::OnRestart(const TargetId& aTarget)
{
  this->entries.erase(aTarget);
  this->untold.erase(aTarget);
}

void
TargetHealth::Eject(Entry& aEntry)
{
  Duration length = kFirstEjection;
  for (int index = 0; index < aEntry.ejections && length < kMaxEjection; ++index) {
    length *= 2;
  }
  length = std::min(length, kMaxEjection);
  // Jitter, so that targets ejected together do not come back together.
  std::uniform_int_distribution<std::int64_t> jitter(0, length.count() / 4);
  aEntry.ejectedUntil = this->clock.MonotonicNow() + length + Duration(jitter(this->random));
  ++aEntry.ejections;
}

std::vector<TargetFindings>
TargetHealth::TakeFindings()
{
  std::vector<TargetFindings> findings;
  for (const auto& [target, found] : std::exchange(this->untold, {})) {
    findings.push_back(found);
  }
  return findings;
}

void
TargetHealth::Take(const std::vector<TargetFindings>& aFindings)
{
  for (const TargetFindings& found : aFindings) {
    if (found.back > 0) {
      std::erase_if(this->entries, [&](const auto& aItem) {
        return aItem.first == found.target && aItem.second.reportedUnreachable;
      });
    } else if (found.gone > 0) {
      this->TakeUnreachable(found);
    }
  }
}

void
TargetHealth::TakeUnreachable(const TargetFindings& aFound)
{
  const MonotonicTime now = this->clock.MonotonicNow();
  Entry& entry = this->entries[aFound.target];
  if (entry.findings == 0 || now - entry.findingsSince > kReportWindow) {
    entry.findings = 0;
    entry.findingsSince = now;
  }
  entry.findings += aFound.gone;
  // Once it is believed, one host that tried in vain is enough.
  if (!entry.reportedUnreachable && entry.findings < kReportsToEject) {
    return;
  }
  entry.reportedUnreachable = true;
  entry.ejections = std::max(entry.ejections, 1);
  std::uniform_int_distribution<std::int64_t> spread(0, kProbeSpread.count());
  const MonotonicTime until = now + kFirstEjection + Duration(spread(this->random));
  entry.ejectedUntil = std::max(entry.ejectedUntil, until);
}

bool
TargetHealth::IsOut(const TargetId& aTarget) const
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
  std::vector<TargetRecord> fit;
  std::vector<const TargetRecord*> out;
  for (const TargetRecord& target : aTargets) {
    if (this->IsOut(target.id)) {
      out.push_back(&target);
    } else {
      fit.push_back(target);
    }
  }
  const std::size_t floor = (aTargets.size() + 1) / 2;
  for (const TargetRecord* target : out) {
    if (fit.size() >= floor) {
      break;
    }
    fit.push_back(*target);
  }
  return fit;
}

} // namespace damasklink
