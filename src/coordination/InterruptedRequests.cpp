#include "damasklink/coordination/InterruptedRequests.h"

#include <algorithm>
#include <utility>

namespace damasklink {
namespace {

// Longest time from when a request is sent until it crashes its target, as a rule.
constexpr Duration kCrashDelay = std::chrono::milliseconds(200);

} // namespace

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
      taken.push_back(aRequest.report.Aged(this->clock.MonotonicNow() - aRequest.interruptedAt));
    }
    return matches;
  });
  return taken;
}

void
InterruptedRequests::OnServiceUnreachable(const ServiceName& aService)
{
  const auto isOfService = [&](const Interrupted& aRequest) {
    return aRequest.report.service == aService;
  };
  std::erase_if(this->requests, [&](const Interrupted& aRequest) {
    return isOfService(aRequest) && aRequest.report.parts.empty();
  });
  for (Interrupted& request : this->requests) {
    if (isOfService(request)) {
      request.report.request = RequestFingerprint();
      request.confirmedBySilence = false;
    }
  }
}

std::vector<CrashReport>
InterruptedRequests::TakeConfirmedByStart(const TargetRecord& aStarted)
{
  const MonotonicTime now = this->clock.MonotonicNow();
  return this->Take([&](const Interrupted& aRequest) {
    const bool sameTarget = aRequest.report.target == aStarted.id;
    const bool earlier = sameTarget ? aRequest.report.incarnation < aStarted.incarnation
                                    : aRequest.address == aStarted.endpoint;
    // Only parts: a target that was silent for longer may have gone on with the request.
    const bool isOfSilentTarget =
      aRequest.report.silent && aRequest.report.request == RequestFingerprint();
    const Duration window = isOfSilentTarget ? kSilenceWindow : kRestartWindow;
    return earlier && now - aRequest.interruptedAt <= window;
  });
}

// Requests that were sent after the crash found the target silent, too. Those that were sent first
// may have caused it, and it happened when these were sent.
std::vector<CrashReport>
InterruptedRequests::TakeConfirmedBySilence(const TargetRecord& aTarget)
{
  std::vector<CrashReport> reports = this->Take([&](const Interrupted& aRequest) {
    return aRequest.confirmedBySilence && aRequest.report.target == aTarget.id &&
           aRequest.report.incarnation == aTarget.incarnation;
  });
  Duration firstSentAgo{ 0 };
  for (const CrashReport& report : reports) {
    if (!report.parts.empty()) {
      firstSentAgo = std::max(firstSentAgo, report.sentAgo);
    }
  }
  for (CrashReport& report : reports) {
    if (report.sentAgo + kCrashDelay < firstSentAgo) {
      report.parts.clear();
    }
    if (!report.parts.empty()) {
      report.brokenAgo =
        std::min(report.sentAgo, std::max(firstSentAgo, kCrashDelay) - kCrashDelay);
    }
  }
  return reports;
}

} // namespace damasklink
