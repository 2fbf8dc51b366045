#include "damasklink/coordination/CrashWatch.h"

#include <algorithm>
#include <utility>

namespace damasklink {

void
CrashWatch::OnCrash(CrashReport aReport)
{
  if (this->reports.size() >= kMostReports) {
    this->reports.erase(this->reports.begin());
  }
  this->reports.push_back(OwnReport{ std::move(aReport), this->clock.MonotonicNow(), false });
}

void
CrashWatch::OnSound(const SuccessfulRun& aRun)
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
CrashWatch::Take(const HostId& aFrom, const CrashingRequests& aTold)
{
  std::erase_if(this->words, [](const auto& aItem) { return !aItem.second.connected; });
  this->words[aFrom] = Word{ aTold, true };
  this->Merge();
}

void
CrashWatch::OnLost(const HostId& aHost)
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
CrashWatch::Merge()
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
CrashWatch::TellAllAnew()
{
  for (OwnReport& own : this->reports) {
    own.told = false;
  }
}

std::vector<CrashReport>
CrashWatch::TakeReports()
{
  const MonotonicTime now = this->clock.MonotonicNow();
  std::erase_if(this->reports, [&](const OwnReport& aOwn) { return now - aOwn.at >= kRetold; });
  std::vector<CrashReport> untold;
  for (OwnReport& own : this->reports) {
    if (!std::exchange(own.told, true)) {
      untold.push_back(own.report);
    }
  }
  return untold;
}

std::vector<SuccessfulRun>
CrashWatch::TakeSound()
{
  const std::set<SuccessfulRun> taken = std::exchange(this->sound, {});
  return std::vector<SuccessfulRun>(taken.begin(), taken.end());
}

} // namespace damasklink
