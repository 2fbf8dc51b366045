#include "damasklink/coordination/ClaimRefusal.h"

#include <algorithm>

namespace damasklink {
namespace {

// A run mostly ends long before its lease does, so a caller need not wait for all of it.
constexpr Duration kMaxRetryAfter = std::chrono::seconds(2);
constexpr Duration kFullRetryAfter = std::chrono::seconds(30);

ClaimRefusal
Make(ErrorKind aKind, const char* aMessage, const char* aRemedy, RunOutcome aEarlier)
{
  return ClaimRefusal{ Error{ aKind, aMessage, aRemedy }, aEarlier, std::nullopt };
}

} // namespace

ClaimRefusal
RefusalOf(const ClaimReply& aReply)
{
  switch (aReply.verdict) {
    case ClaimVerdict::Running: {
      ClaimRefusal refusal = Make(ErrorKind::Conflict,
                                  "a call with this key is running",
                                  "ask again with the same key for its answer",
                                  RunOutcome::MayHaveRun);
      refusal.retryAfter = std::min(aReply.retryAfter, kMaxRetryAfter);
      return refusal;
    }
    case ClaimVerdict::AnswerDropped:
      return Make(ErrorKind::Conflict,
                  "a call with this key ran, and its answer is no longer kept",
                  "look its result up at the service; do not send it under a new key",
                  RunOutcome::Ran);
    case ClaimVerdict::BodyMismatch:
      return Make(ErrorKind::Conflict,
                  "the key was used for a call with another path or body",
                  "use a new key for a new call",
                  RunOutcome::NotRun);
    case ClaimVerdict::Expired:
      return Make(ErrorKind::Conflict,
                  "the key is older than keys are remembered, so its call may have run",
                  "look its result up at the service before you send it under a new key",
                  RunOutcome::MayHaveRun);
    case ClaimVerdict::CreatedInFuture:
      return Make(ErrorKind::InvalidArgument,
                  "the key's birth lies in the future",
                  "send a key from POST /v1/keys unchanged",
                  RunOutcome::NotRun);
    case ClaimVerdict::Full: {
      ClaimRefusal refusal = Make(ErrorKind::Overloaded,
                                  "the zone has no room for another key",
                                  "try again later with the same key",
                                  RunOutcome::NotRun);
      refusal.retryAfter = kFullRetryAfter;
      return refusal;
    }
    case ClaimVerdict::NotReady: {
      ClaimRefusal refusal = Make(ErrorKind::Unavailable,
                                  "the zone's claims group is new and not yet known to all",
                                  "try again shortly with the same key",
                                  RunOutcome::NotRun);
      refusal.retryAfter = kMaxRetryAfter;
      return refusal;
    }
    case ClaimVerdict::Withdrawn:
      return Make(ErrorKind::Unavailable,
                  "the claim of the key was given up",
                  "try again with the same key",
                  RunOutcome::NotRun);
    default:
      return Make(ErrorKind::Conflict,
                  "a call with this key may have run, and its answer was lost",
                  "look its result up at the service before you send it under a new key",
                  RunOutcome::MayHaveRun);
  }
}

} // namespace damasklink
