#include "damasklink/coordination/CrashingPartFinder.h"

#include <algorithm>
#include <tuple>

namespace damasklink {

void
CrashingPartFinder::Add(const CrashReport& aReport)
{
  if (aReport.parts.empty()) {
    return;
  }
  const TargetIncarnation incarnation{ aReport.target, aReport.incarnation };
  if (!this->crashes.contains(incarnation) && this->crashes.size() >= kMaxCrashes) {
    this->EvictOldest();
  }
  const MonotonicTime now = this->clock.MonotonicNow();
  const MonotonicTime brokenAt = now - aReport.brokenAgo;
  const auto [found, isNew] = this->crashes.try_emplace(incarnation);
  Crash& crash = found->second;
  crash.service = aReport.service;
  crash.brokenAt = isNew ? brokenAt : std::min(crash.brokenAt, brokenAt);
  if (isNew) {
    crash.reportDelay = aReport.brokenAgo;
  }
  const MonotonicTime sentAt = now - aReport.sentAgo;
  std::optional<MonotonicTime> heardAt;
  if (aReport.heardAgo > Duration::zero()) {
    heardAt = now - aReport.heardAgo;
  }
  const auto known =
    std::find_if(crash.reports.begin(), crash.reports.end(), [&](const Report& aKnown) {
      return aKnown.request == aReport.request && aKnown.parts == aReport.parts;
    });
  if (known != crash.reports.end()) {
    // Of several attempts at a silent target only the first one may have ended it.
    known->sentAt =
      aReport.silent ? std::min(known->sentAt, sentAt) : std::max(known->sentAt, sentAt);
  } else if (crash.reports.size() < kMaxReportsPerCrash) {
    crash.reports.push_back(
      Report{ aReport.request, aReport.workspace, aReport.parts, sentAt, aReport.silent, heardAt });
  }
  this->changed = true;
}

void
CrashingPartFinder::EvictOldest()
{
  const auto oldest = std::min_element(
    this->crashes.begin(), this->crashes.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.brokenAt < aRight.second.brokenAt;
    });
  this->crashes.erase(oldest);
}

// A silent target crashed after it was last heard, under the first request that it left unanswered
// or another one that was sent about then.
CrashingPartFinder::EndedTarget
CrashingPartFinder::EndOf(const Crash& aCrash)
{
  MonotonicTime heard = MonotonicTime::min();
  for (const Report& report : aCrash.reports) {
    heard = std::max(heard, report.heardAt.value_or(heard));
  }
  EndedTarget target{ &aCrash, aCrash.brokenAt, MonotonicTime::max() };
  for (const Report& report : aCrash.reports) {
    const MonotonicTime latest = report.sentAt + kCrashDelay;
    if (report.silent && latest > heard) {
      target.end = std::min(target.end, latest);
    }
    if (report.silent && report.sentAt > heard) {
      target.lastSuspect = std::min(target.lastSuspect, latest);
    }
  }
  return target;
}

void
CrashingPartFinder::AddSuccessfulRun(const SuccessfulRun& aRun)
{
  const auto hasPart = [&](const Report& aReport) {
    return std::find(aReport.parts.begin(), aReport.parts.end(), aRun.request) !=
           aReport.parts.end();
  };
  const bool wasInCrash =
    std::any_of(this->crashes.begin(), this->crashes.end(), [&](const auto& aItem) {
      const std::vector<Report>& reports = aItem.second.reports;
      return aItem.second.service == aRun.service &&
             std::any_of(reports.begin(), reports.end(), hasPart);
    });
  const PartAtService part{ aRun.request, aRun.service };
  const bool hasRoom = this->successes.contains(part) || this->successes.size() < kMaxSuccesses;
  if (wasInCrash && hasRoom) {
    this->successes[part] = this->clock.MonotonicNow();
    this->changed = true;
  }
}

void
CrashingPartFinder::Forget(RequestFingerprint aPart)
{
  for (auto& [incarnation, crash] : this->crashes) {
    for (Report& report : crash.reports) {
      std::erase(report.parts, aPart);
    }
  }
  this->changed = true;
}

std::set<RequestFingerprint>
CrashingPartFinder::Crashing() const
{
  this->Evaluate();
  std::set<RequestFingerprint> settled;
  for (const auto& [part, finding] : this->findings) {
    if (this->clock.MonotonicNow() - finding.since >= finding.settleTime) {
      settled.insert(part);
    }
  }
  return settled;
}

std::vector<RequestFingerprint>
CrashingPartFinder::Suspects(std::size_t aMost) const
{
  this->Evaluate();
  const auto count = static_cast<std::ptrdiff_t>(std::min(aMost, this->suspects.size()));
  return { this->suspects.begin(), this->suspects.begin() + count };
}

bool
CrashingPartFinder::IsExplained(RequestFingerprint aPart) const
{
  this->Evaluate();
  return std::any_of(this->findings.begin(), this->findings.end(), [&](const auto& aItem) {
    return aItem.second.explained.contains(aPart);
  });
}

WorkspaceId
CrashingPartFinder::WorkspaceOf(RequestFingerprint aPart) const
{
  for (const auto& [incarnation, crash] : this->crashes) {
    for (const Report& report : crash.reports) {
      if (std::find(report.parts.begin(), report.parts.end(), aPart) != report.parts.end()) {
        return report.workspace;
      }
    }
  }
  return WorkspaceId();
}

std::vector<CrashReport>
CrashingPartFinder::All() const
{
  const MonotonicTime now = this->clock.MonotonicNow();
  std::vector<CrashReport> reports;
  for (const auto& [incarnation, crash] : this->crashes) {
    for (const Report& report : crash.reports) {
      CrashReport& all = reports.emplace_back();
      all.workspace = report.workspace;
      all.service = crash.service;
      all.target = incarnation.first;
      all.incarnation = incarnation.second;
      all.parts = report.parts;
      all.sentAgo = now - report.sentAt;
      all.brokenAgo = now - crash.brokenAt;
      all.silent = report.silent;
      all.heardAgo = report.heardAt ? now - *report.heardAt : Duration::zero();
    }
  }
  return reports;
}

// Returns whether a prompt with the part was answered after the end of the target.
bool
CrashingPartFinder::IsVoid(RequestFingerprint aPart, const EndedTarget& aTarget) const
{
  const auto success = this->successes.find({ aPart, aTarget.crash->service });
  return success != this->successes.end() && success->second >= aTarget.end;
}

// Returns all parts that may be the cause of a crash.
std::vector<CrashingPartFinder::Candidate>
CrashingPartFinder::Candidates() const
{
  std::vector<EndedTarget> ordered;
  ordered.reserve(this->crashes.size());
  for (const auto& [incarnation, crash] : this->crashes) {
    ordered.push_back(EndOf(crash));
  }
  std::sort(
    ordered.begin(), ordered.end(), [](const EndedTarget& aLeft, const EndedTarget& aRight) {
      return aLeft.end < aRight.end;
    });
  std::map<RequestFingerprint, Candidate> byPart;
  for (std::size_t number = 0; number < ordered.size(); ++number) {
    this->AddCandidates(number, ordered[number], byPart);
  }
  std::vector<Candidate> candidates;
  candidates.reserve(byPart.size());
  for (auto& [part, candidate] : byPart) {
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

// Adds the parts of the requests that may have ended the target, as crash aNumber.
void
CrashingPartFinder::AddCandidates(std::size_t aNumber,
                                  const EndedTarget& aTarget,
                                  std::map<RequestFingerprint, Candidate>& aTo) const
{
  const Crash& crash = *aTarget.crash;
  for (const Report& report : crash.reports) {
    if (report.sentAt > aTarget.lastSuspect) {
      continue;
    }
    for (std::size_t position = 0; position < report.parts.size(); ++position) {
      const RequestFingerprint part = report.parts[position];
      if (this->IsVoid(part, aTarget)) {
        continue;
      }
      const auto [found, isNew] = aTo.try_emplace(part);
      Candidate& candidate = found->second;
      candidate.part = part;
      candidate.position = isNew ? position : std::min(candidate.position, position);
      candidate.hadSuccess =
        candidate.hadSuccess || this->successes.contains({ part, crash.service });
      std::vector<Occurrence>& occurrences = candidate.occurrences;
      if (occurrences.empty() || occurrences.back().crash != aNumber) {
        occurrences.push_back(Occurrence{ aNumber, aTarget.end, crash.reportDelay, report.sentAt });
      }
      occurrences.back().sentAt = std::max(occurrences.back().sentAt, report.sentAt);
    }
  }
}

// Returns the largest number of crashes of which each was caused by a request that was sent after
// the one before.
std::size_t
CrashingPartFinder::CountSequential(const Candidate& aCandidate,
                                    const std::set<std::size_t>& aExplained)
{
  std::size_t count = 0;
  MonotonicTime last;
  for (const Occurrence& occurrence : aCandidate.occurrences) {
    const bool follows = count == 0 || occurrence.sentAt >= last + kTimeTolerance;
    if (follows && !aExplained.contains(occurrence.crash)) {
      ++count;
      last = occurrence.at;
    }
  }
  return count;
}

// Returns whether so many sequential crashes show that the part is a cause.
bool
CrashingPartFinder::IsEnough(const Candidate& aCandidate,
                             std::size_t aSequential,
                             const std::set<std::size_t>& aExplained)
{
  if (aCandidate.hadSuccess) {
    return aSequential >= kCrashesAfterSuccess;
  }
  const auto crashes = static_cast<std::size_t>(std::count_if(
    aCandidate.occurrences.begin(), aCandidate.occurrences.end(), [&](const Occurrence& aOf) {
      return !aExplained.contains(aOf.crash);
    }));
  return aSequential >= kCrashesToRefuse ||
         (aSequential >= kWavesToRefuse && crashes >= kCrashesInWaves);
}

// Returns whether the other part was in all crashes of the candidate that are not explained.
bool
CrashingPartFinder::Covers(const Candidate& aOther,
                           const Candidate& aCandidate,
                           const std::set<std::size_t>& aExplained)
{
  return std::all_of(
    aCandidate.occurrences.begin(),
    aCandidate.occurrences.end(),
    [&](const Occurrence& aOccurrence) {
      return aExplained.contains(aOccurrence.crash) ||
             std::any_of(aOther.occurrences.begin(),
                         aOther.occurrences.end(),
                         [&](const Occurrence& aOf) { return aOf.crash == aOccurrence.crash; });
    });
}

void
CrashingPartFinder::Evaluate() const
{
  if (!std::exchange(this->changed, false)) {
    return;
  }
  std::vector<Candidate> candidates = this->Candidates();
  std::sort(
    candidates.begin(), candidates.end(), [](const Candidate& aLeft, const Candidate& aRight) {
      return std::tuple(aLeft.hadSuccess, aRight.position, aRight.occurrences.size(), aLeft.part) <
             std::tuple(aRight.hadSuccess, aLeft.position, aLeft.occurrences.size(), aRight.part);
    });
  std::set<std::size_t> explained;
  std::map<RequestFingerprint, Finding> found;
  for (const Candidate& candidate : candidates) {
    const std::size_t count = CountSequential(candidate, explained);
    if (!IsEnough(candidate, count, explained)) {
      continue;
    }
    const bool isOfOther =
      std::any_of(candidates.begin(), candidates.end(), [&](const Candidate& aOther) {
        return aOther.position < candidate.position && aOther.hadSuccess <= candidate.hadSuccess &&
               CountSequential(aOther, explained) >= count + kMoreCrashes &&
               Covers(aOther, candidate, explained);
      });
    if (isOfOther) {
      continue;
    }
    const auto before = this->findings.find(candidate.part);
    Finding& finding = found[candidate.part];
    finding.since =
      before == this->findings.end() ? this->clock.MonotonicNow() : before->second.since;
    for (const Occurrence& occurrence : candidate.occurrences) {
      explained.insert(occurrence.crash);
      finding.settleTime = std::max(finding.settleTime, occurrence.reportDelay);
    }
    for (const Candidate& other : candidates) {
      if (other.part != candidate.part && Covers(candidate, other, {})) {
        finding.explained.insert(other.part);
      }
    }
  }
  this->findings = std::move(found);
  this->suspects.clear();
  std::stable_sort(
    candidates.begin(), candidates.end(), [](const Candidate& aLeft, const Candidate& aRight) {
      return aLeft.occurrences.size() > aRight.occurrences.size();
    });
  for (const Candidate& candidate : candidates) {
    const bool isSuspect = candidate.occurrences.size() >= kCrashesToSuspect;
    if (isSuspect && !this->findings.contains(candidate.part)) {
      this->suspects.push_back(candidate.part);
    }
  }
}

} // namespace damasklink
