#include "damasklink/coordination/InterruptedRequests.h"

#include <utility>

namespace damasklink {

void
InterruptedRequests::RemoveExpired()
{
  const MonotonicTime now = this->clock.MonotonicNow();
  while (!this->requests.empty() && now - this->requests.front().interruptedAt > kSilenceWindow) {
    this->requests.pop_front();
  }
}

void
InterruptedRequests::Add(CrashReport aReport, const Endpoint& aAddress)
{
  this->RemoveExpired();
  if (this->requests.size() >= kMaxInterrupted) {
    this->requests.pop_front();
  }
  this->requests.push_back(Interrupted{ std::move(aReport), aAddress, this->clock.MonotonicNow() });
}

void
InterruptedRequests::OnAnswered(const TargetId& aTarget,
                                Incarnation aIncarnation,
                                MonotonicTime aSentAt)
{
  std::erase_if(this->requests, [&](const Interrupted& aRequest) {
    return aRequest.report.target == aTarget && aRequest.report.incarnation == aIncarnation &&
           aRequest.interruptedAt <= aSentAt;
  });
}

template<typename Matches>
std::vector<CrashReport>
InterruptedRequests::Take(const Matches& aMatches)
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

void
InterruptedRequests::RemoveService(const ServiceName& aService)
{
  std::erase_if(this->requests,
                [&](const Interrupted& aRequest) { return aRequest.report.service == aService; });
}

std::vector<CrashReport>
InterruptedRequests::TakeConfirmedByStart(const TargetRecord& aStarted)
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
InterruptedRequests::TakeConfirmedBySilence(const TargetRecord& aTarget)
{
  return this->Take([&](const Interrupted& aRequest) {
    return aRequest.report.target == aTarget.id &&
           aRequest.report.incarnation == aTarget.incarnation;
  });
}

} // namespace damasklink
