#include "damasklink/coordination/CrashFilter.h"

#include <algorithm>
#include <utility>

namespace damasklink {

void
CrashFilter::OnCrash(CrashReport aReport)
{
  if (this->reports.size() >= kMaxReports) {
    this->reports.erase(this->reports.begin());
  }
  this->reports.push_back(OwnReport{ std::move(aReport), this->clock.MonotonicNow(), false });
}

void
CrashFilter::OnSuccessfulRun(const SoundRun& aRun)
{
  const auto isOfRun = [&](const OwnReport& aOwn) {
    return aOwn.report.request == aRun.request && aOwn.report.service == aRun.service;
  };
  const bool wasReported = std::erase_if(this->reports, isOfRun) > 0;
  if (wasReported || this->watched.contains(aRun.request)) {
    this->sound.insert(aRun);
  }
}

void
CrashFilter::Take(const HostId& aFrom, const CrashingRequests& aTold)
{
  std::erase_if(this->words, [](const auto& aItem) { return !aItem.second.connected; });
  this->words[aFrom] = Word{ aTold, true };
  this->Merge();
}

void
CrashFilter::OnLost(const HostId& aHost)
{
  const auto found = this->words.find(aHost);
  if (found == this->words.end()) {
    return;
  }
  found->second.connected = false;
  const bool othersSpeak = std::any_of(this->words.begin(),
                                       this->words.end(),
                                       [](const auto& aItem) { return aItem.second.connected; });
  if (othersSpeak) {
    this->words.erase(found);
    this->Merge();
  }
}

void
CrashFilter::Merge()
{
  this->refused.clear();
  this->watched.clear();
  for (const auto& [host, word] : this->words) {
    this->refused.insert(word.told.refused.begin(), word.told.refused.end());
    this->watched.insert(word.told.suspected.begin(), word.told.suspected.end());
  }
  this->watched.insert(this->refused.begin(), this->refused.end());
}

void
CrashFilter::ResendAll()
{
  for (OwnReport& own : this->reports) {
    own.told = false;
  }
}

std::vector<CrashReport>
CrashFilter::TakeReports()
{
  const MonotonicTime now = this->clock.MonotonicNow();
  std::erase_if(this->reports,
                [&](const OwnReport& aOwn) { return now - aOwn.at >= kReportLifetime; });
  std::vector<CrashReport> untold;
  for (OwnReport& own : this->reports) {
    if (!std::exchange(own.told, true)) {
      untold.push_back(own.report);
    }
  }
  return untold;
}

std::vector<SoundRun>
CrashFilter::TakeSuccessfulRuns()
{
  const std::set<SoundRun> taken = std::exchange(this->sound, {});
  return std::vector<SoundRun>(taken.begin(), taken.end());
}

} // namespace damasklink
