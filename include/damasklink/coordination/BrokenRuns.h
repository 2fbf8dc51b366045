// Runs whose answers broke off lately, kept for proof that comes late that their targets had ended.
//
//   BrokenRuns runs(clock);
//   runs.Note(report, target.endpoint);        // An answer broke off.
//   runs.OnAnswered(target, sentAt);           // The target lives: it broke a single answer.
//   for (report : runs.TakeEndedBy(started)) ...   // A later start is at its address.
//   for (report : runs.TakeSilent(target)) ...     // It was not heard any more.
//
// A target whose process has ended refuses connections, unless somebody else listens at its address
// or it is started again at once. What proves its end then is the announcement of the next start,
// under the same id or another one, or that it falls silent. Not thread-safe.
#pragma once

#include <deque>
#include <vector>

#include "damasklink/coordination/ServingMessages.h"
#include "damasklink/state/Clock.h"

namespace damasklink {

class BrokenRuns
{
public:
  // From the end of a target until its next start announces itself. One that comes later has
  // replaced a target that broke the answer and went on.
  static constexpr Duration kStartsWithin = std::chrono::seconds(5);
  // From the end of a target until control hosts count it as silent, and the news is here.
  static constexpr Duration kSilentWithin = std::chrono::seconds(10);
  static constexpr std::size_t kMostRuns = 1024;

  explicit BrokenRuns(const Clock& aClock)
    : clock(aClock)
  {
  }

  bool IsEmpty() const { return this->runs.empty(); }

  void Note(CrashReport aRun, const Endpoint& aAddress);

  // The target answered a request that was sent to it at a time, so what broke before that did not
  // end it.
  void OnAnswered(const TargetId& aTarget, Incarnation aIncarnation, MonotonicTime aSentAt);

  // Returns the runs that a target which has just started proves to have ended with their own.
  std::vector<CrashReport> TakeEndedBy(const TargetRecord& aStarted);

  // Returns the runs of a target that is silent.
  std::vector<CrashReport> TakeSilent(const TargetRecord& aTarget);

private:
  struct Run
  {
    CrashReport report;
    Endpoint address;
    MonotonicTime brokeAt;
  };

  void Forget();
  template<typename Matches>
  std::vector<CrashReport> Take(const Matches& aMatches);

  const Clock& clock;
  // The oldest first.
  std::deque<Run> runs;
};

} // namespace damasklink
