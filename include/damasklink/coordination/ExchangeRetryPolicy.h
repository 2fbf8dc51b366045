// Decides what to do with a call after each of its attempts. Performs no I/O.
//
//   ExchangeRetryPolicy plan(limits);
//   plan.Begin(attempt, target);
//   plan.Sending();                                  // Before the first byte leaves.
//   switch (plan.After(AttemptResult::Refused, clock.MonotonicNow(), budget)) {
//     case ExchangeStep::TryAnother: ...
//
// At most once: a call that is not repeatable is sent to a second target only when the first one
// stated that it did not run it, or when no byte can have left. A failure that says "not run" is
// returned only when the dispatch record proves it. Not thread-safe.
#pragma once

#include "damasklink/coordination/DispatchRecord.h"
#include "damasklink/coordination/RetryBudget.h"
#include "damasklink/state/Clock.h"

namespace damasklink {

// What the route and the caller allow.
struct ExchangeLimits
{
  // The call may run more than once, or, for a stream, continue on another target.
  bool repeatable = false;
  // Number of targets that the call may be sent to.
  std::uint64_t mostTargets = 1;
  // The route's timeout or the caller's deadline, whichever is earlier.
  MonotonicTime endsAt;
};

// How an attempt ended.
enum class AttemptResult
{
  Delivered,   // The caller has the complete answer.
  Unreachable, // No connection, so nothing left this host.
  NotSent,     // The target became unavailable before anything was sent to it.
  Refused,     // The target stated that it did not run the call.
  Declined,    // The entry host that the call was forwarded to did not send it to a target.
  Failed,      // The target answered with a failure; the call may have run.
  Broken,      // No complete answer came.
  Overtaken,   // A hedge responded first, and this attempt was closed for it.
  Expired,     // The time limit was reached.
  CallerLeft,
};

// Returns the name used in logs.
std::string_view
AttemptResultName(AttemptResult aResult);

// The next step of the exchange.
enum class ExchangeStep
{
  Done,
  TryAnother,
  PassOn, // Return the target's own failure to the caller.
  Refuse, // Not run; the caller may retry.
  Fail,   // Failed; the call may have run.
  Expire, // The time limit was reached; the call may have run.
  CutOff, // Close the connection: the caller has part of the answer, which must not look complete.
};

// Returns the name used in logs.
std::string_view
ExchangeStepName(ExchangeStep aStep);

class ExchangeRetryPolicy
{
public:
  // Attempts without a connection before the call is refused. Each takes up to the connect timeout,
  // and when a fifth of the targets is unreachable, four in a row seldom are.
  static constexpr std::uint64_t kMaxUnreachable = 4;
  // Hosts that may decline a call before it is refused.
  static constexpr std::uint64_t kMaxDeclined = 4;
  // With less time left, another attempt cannot finish.
  static constexpr Duration kMinTimeLeft = std::chrono::milliseconds(30);

  explicit ExchangeRetryPolicy(ExchangeLimits aLimits)
    : limits(aLimits)
  {
  }

  // Starts an attempt.
  void Begin(AttemptId aAttempt, TargetId aTarget);

  // Must be called before the first byte of the attempt leaves.
  void Sending();

  // Starts a second attempt beside the one in progress, and tells that its first byte is about to
  // leave. Requires ReserveRetry(), or MayHedge() and a hedge of the budget for these.
  void BeginStandby(AttemptId aAttempt, TargetId aTarget);

  // The second attempt has ended without taking the place of the first one. aDeclined: the host
  // that it was forwarded to sent it to no target.
  void EndStandby(AttemptStage aStage, bool aDeclined);

  // The attempt in progress has ended with this result, and the second one takes its place.
  void ContinueAtStandby(AttemptResult aResult);

  // Tells that part of the answer has been passed on to the caller.
  void MarkPassedOn() { this->passedOn = true; }

  // Tells that no other attempt may follow one that was sent: nothing could continue its answer, or
  // the request is no longer kept. One that cannot have run may still be followed.
  void ForbidRepeats() { this->limits.repeatable = false; }

  // Ends the attempt and returns the next step. TryAnother takes a retry from the budget, unless no
  // earlier attempt can have reached a target.
  ExchangeStep After(AttemptResult aResult, MonotonicTime aNow, RetryBudget& aBudget);

  // Returns whether a retry may follow if the attempt in progress is abandoned now.
  bool MayRetry(MonotonicTime aNow, const RetryBudget& aBudget) const;

  // Returns whether the call may be sent to a second target while its first attempt, of which the
  // caller has nothing yet, goes on.
  bool MayHedge(MonotonicTime aNow) const;

  // Returns whether the call's own limits allow another attempt, whatever the budget allows.
  bool MaySendAgain() const;

  // Takes that retry from the budget. Returns false if none may follow.
  bool ReserveRetry(MonotonicTime aNow, RetryBudget& aBudget);

  // Returns the next step when there is no target left to try.
  ExchangeStep WithoutTarget() const;

  bool PassedOn() const { return this->passedOn; }
  std::uint64_t Sent() const { return this->sent; }
  // Attempts that found no connection.
  std::uint64_t Unreachable() const { return this->unreachable; }
  const DispatchRecord& Record() const { return this->record; }
  const ExchangeLimits& Limits() const { return this->limits; }

private:
  bool MayTryAnother(AttemptResult aResult, MonotonicTime aNow) const;
  bool TakeRetry(RetryBudget& aBudget);
  ExchangeStep GiveUp(AttemptResult aResult) const;
  bool CertainlyNotRun() const;

  ExchangeLimits limits;
  DispatchRecord record;
  // Indices in the record.
  std::size_t current = 0;
  std::size_t standby = 0;
  std::uint64_t sent = 0;
  std::uint64_t unreachable = 0;
  std::uint64_t declined = 0;
  bool passedOn = false;
  // A retry has been taken from the budget and not been sent yet.
  bool reserved = false;
  // Whether a target has answered with a failure, which the caller may still get.
  bool targetFailed = false;
};

} // namespace damasklink
