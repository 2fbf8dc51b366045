#include "damasklink/coordination/BrokenRuns.h"

#include <utility>

namespace damasklink {

void
BrokenRuns::RemoveExpired()
{
  const MonotonicTime now = this->clock.MonotonicNow();
  while (!this->requests.empty() && now - this->requests.front().interruptedAt > kSilenceWindow) {
    this->requests.pop_front();
  }
}

void
BrokenRuns::Add(CrashReport aReport, const Endpoint& aAddress)
{
  this->RemoveExpired();
  if (this->requests.size() >= kMaxInterrupted) {
    this->requests.pop_front();
  }
  this->requests.push_back(Interrupted{ std::move(aReport), aAddress, this->clock.MonotonicNow() });
}

void
BrokenRuns::OnAnswered(const TargetId& aTarget, Incarnation aIncarnation, MonotonicTime aSentAt)
{
  std::erase_if(this->requests, [&](const Interrupted& aRequest) {
    return aRequest.report.target == aTarget && aRequest.report.incarnation == aIncarnation &&
           aRequest.interruptedAt <= aSentAt;
  });
}

template<typename Matches>
std::vector<CrashReport>
BrokenRuns::Take(const Matches& aMatches)
{
  this->RemoveExpired();
  std::vector<CrashReport> taken;
  std::erase_if(this->requests, [&](const Interrupted& aRequest) {
    const bool matches = aMatches(aRequest);
    if (matches) {
      taken.push_back(aRequest.report);
    }
    return matches;
  });
  return taken;
}

std::vector<CrashReport>
BrokenRuns::TakeConfirmedByStart(const TargetRecord& aStarted)
{
  const MonotonicTime now = this->clock.MonotonicNow();
  return this->Take([&](const Interrupted& aRequest) {
    const bool sameTarget = aRequest.report.target == aStarted.id;
    const bool earlier = sameTarget ? aRequest.report.incarnation < aStarted.incarnation
                                    : aRequest.address == aStarted.endpoint;
    return earlier && now - aRequest.interruptedAt <= kRestartWindow;
  });
}

std::vector<CrashReport>
BrokenRuns::TakeConfirmedBySilence(const TargetRecord& aTarget)
{
  return this->Take([&](const Interrupted& aRequest) {
    return aRequest.report.target == aTarget.id &&
           aRequest.report.incarnation == aTarget.incarnation;
  });
}

} // namespace damasklink
