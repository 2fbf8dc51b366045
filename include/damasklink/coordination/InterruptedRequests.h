// Requests whose answers broke off recently, kept until it is known whether their target crashed.
//
//   InterruptedRequests interrupted(clock);
//   interrupted.Add(report, target.endpoint);                // An answer broke off.
//   interrupted.OnAnswered(target, incarnation, sentAt);     // The target is alive.
//   for (report : interrupted.TakeConfirmedByStart(started)) ...    // It was started again.
//   for (report : interrupted.TakeConfirmedBySilence(target)) ...   // Its heartbeats stopped.
//
// A target whose process has ended refuses connections, unless another process listens at its
// address or it is restarted immediately. In these cases the crash is confirmed by the announcement
// of the next start, under the same id or another one, or by missing heartbeats. Not thread-safe.
#pragma once

#include <deque>
#include <vector>

#include "damasklink/coordination/ServingMessages.h"
#include "damasklink/state/Clock.h"

namespace damasklink {

class InterruptedRequests
{
public:
  // Longest time from a crash until the next start announces itself. A start that comes later has
  // replaced a target that went on running after the answer broke off.
  static constexpr Duration kRestartWindow = std::chrono::seconds(5);
  // Longest time from a crash until this host hears from a control host that the target is silent.
  static constexpr Duration kSilenceWindow = std::chrono::seconds(10);
  static constexpr std::size_t kMaxInterrupted = 1024;

  explicit InterruptedRequests(const Clock& aClock)
    : clock(aClock)
  {
  }

  bool IsEmpty() const { return this->requests.empty(); }

  void Add(CrashReport aReport, const Endpoint& aAddress);

  // The target answered a request that was sent at aSentAt. It is alive, so the requests that were
  // interrupted by then did not crash it, and they are removed.
  void OnAnswered(const TargetId& aTarget, Incarnation aIncarnation, MonotonicTime aSentAt);

  // This host reaches no target of the service, so the answers may have broken off for that reason.
  // Only the next start of a target confirms that it had crashed, and it accuses parts of prompts
  // only: that was long ago, and successful runs void crashes of parts, but not of whole requests,
  // also if they are reported later.
  void OnServiceUnreachable(const ServiceName& aService);

  // Removes and returns the requests whose target is shown to have crashed by the start of a target
  // with the same id, or with the same address under another id.
  std::vector<CrashReport> TakeConfirmedByStart(const TargetRecord& aStarted);

  // Removes and returns the requests of a target whose heartbeats have stopped.
  std::vector<CrashReport> TakeConfirmedBySilence(const TargetRecord& aTarget);

private:
  struct Interrupted
  {
    CrashReport report;
    Endpoint address;
    MonotonicTime interruptedAt;
    bool confirmedBySilence = true;
  };

  void RemoveExpired();
  template<typename Matches>
  std::vector<CrashReport> Take(const Matches& aMatches);

  const Clock& clock;
  // Oldest first.
  std::deque<Interrupted> requests;
};

} // namespace damasklink
