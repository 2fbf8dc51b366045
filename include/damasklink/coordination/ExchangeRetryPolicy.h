// What is done with a call after each of its attempts. Without I/O.
//
//   ExchangeRetryPolicy plan(terms);
//   plan.Begin(attempt, target);
//   plan.Sending();                                  // Before the first byte leaves.
//   switch (plan.After(AttemptResult::Refused, clock.MonotonicNow(), budget)) {
//     case ExchangeStep::TryAnother: ...
//
// At most once: a call that may not be repeated goes to a second target only when the first said
// that it did not run it, or when no byte can have left. A failure that says "not run" is given
// only when the dispatch record says so.
#pragma once

#include "damasklink/coordination/DispatchRecord.h"
#include "damasklink/coordination/RetryBudget.h"
#include "damasklink/state/Clock.h"

namespace damasklink {

// What the route and the caller allow.
struct ExchangeLimits
{
  // May run more than once, or go on elsewhere where it is a stream.
  bool repeatable = false;
  // Targets that the call may be sent to in all.
  std::uint64_t mostTargets = 1;
  // The route's timeout or the caller's patience, whichever ends first.
  MonotonicTime endsAt;
};

// How an attempt ended.
enum class AttemptResult
{
  Delivered,   // The caller has the whole answer.
  Unreachable, // No connection: nothing left this host.
  Refused,     // The target promised that it did not run the call.
  Failed,      // The target answered that it failed; it may have run.
  Broken,      // No whole answer came.
  Expired,     // The time was over.
  CallerLeft,
};

std::string_view
AttemptResultName(AttemptResult aEnd);

// What to do next.
enum class ExchangeStep
{
  Done,
  TryAnother,
  PassOn, // Give the caller the target's own failure.
  Refuse, // Not run: the caller may come again.
  Fail,   // May have run.
  Expire, // The time is over; may have run.
  CutOff, // The caller has a part of the answer: close, so that it does not look whole.
};

std::string_view
ExchangeStepName(ExchangeStep aStep);

class ExchangeRetryPolicy
{
public:
  // Attempts that may end without a connection before the call is refused: each costs up to the
  // time to connect, and a fifth of the targets seldom fails together with the first four.
  static constexpr std::uint64_t kMaxUnreachable = 4;
  // With less time left another attempt cannot end in time.
  static constexpr Duration kMinTimeLeft = std::chrono::milliseconds(30);

  explicit ExchangeRetryPolicy(ExchangeLimits aTerms)
    : terms(aTerms)
  {
  }

  void Begin(AttemptId aAttempt, TargetId aTarget);

  // Requires to be called before the first byte of the attempt leaves.
  void Sending();

  // Tells that a part of the answer went to the caller.
  void NotePassedOn() { this->passedOn = true; }

  // Ends the attempt and returns what to do. Takes a retry out of the budget when it says
  // TryAnother and the attempt before may have arrived.
  ExchangeStep After(AttemptResult aEnd, MonotonicTime aNow, RetryBudget& aBudget);

  // Returns what to do when no target is left to be tried.
  ExchangeStep WithoutTarget() const;

  bool PassedOn() const { return this->passedOn; }
  std::uint64_t Sent() const { return this->sent; }
  const DispatchRecord& Record() const { return this->record; }
  const ExchangeLimits& Terms() const { return this->terms; }

private:
  bool MayTryAnother(AttemptResult aEnd, MonotonicTime aNow) const;
  ExchangeStep GiveUp(AttemptResult aEnd) const;
  bool CertainlyNotRun() const;

  ExchangeLimits terms;
  DispatchRecord record;
  std::uint64_t sent = 0;
  std::uint64_t unreachable = 0;
  bool passedOn = false;
};

} // namespace damasklink
