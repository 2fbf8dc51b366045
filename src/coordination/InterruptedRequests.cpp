#include "damasklink/coordination/InterruptedRequests.h"

#include <utility>

namespace damasklink {

void
InterruptedRequests::Forget()
{
  const MonotonicTime now = this->clock.MonotonicNow();
  while (!this->runs.empty() && now - this->runs.front().brokeAt > kSilenceWindow) {
    this->runs.pop_front();
  }
}

void
InterruptedRequests::Note(CrashReport aRun, const Endpoint& aAddress)
{
  this->Forget();
  if (this->runs.size() >= kMaxInterrupted) {
    this->runs.pop_front();
  }
  this->runs.push_back(Run{ std::move(aRun), aAddress, this->clock.MonotonicNow() });
}

void
InterruptedRequests::OnAnswered(const TargetId& aTarget,
                                Incarnation aIncarnation,
                                MonotonicTime aSentAt)
{
  std::erase_if(this->runs, [&](const Run& aRun) {
    return aRun.report.target == aTarget && aRun.report.incarnation == aIncarnation &&
           aRun.brokeAt <= aSentAt;
  });
}

template<typename Matches>
std::vector<CrashReport>
InterruptedRequests::Take(const Matches& aMatches)
{
  this->Forget();
  std::vector<CrashReport> taken;
  std::erase_if(this->runs, [&](const Run& aRun) {
    const bool matches = aMatches(aRun);
    if (matches) {
      taken.push_back(aRun.report);
    }
    return matches;
  });
  return taken;
}

std::vector<CrashReport>
InterruptedRequests::TakeConfirmedByStart(const TargetRecord& aStarted)
{
  const MonotonicTime now = this->clock.MonotonicNow();
  return this->Take([&](const Run& aRun) {
    const bool sameTarget = aRun.report.target == aStarted.id;
    const bool earlier = sameTarget ? aRun.report.incarnation < aStarted.incarnation
                                    : aRun.address == aStarted.endpoint;
    return earlier && now - aRun.brokeAt <= kRestartWindow;
  });
}

std::vector<CrashReport>
InterruptedRequests::TakeConfirmedBySilence(const TargetRecord& aTarget)
{
  return this->Take([&](const Run& aRun) {
    return aRun.report.target == aTarget.id && aRun.report.incarnation == aTarget.incarnation;
  });
}

} // namespace damasklink
