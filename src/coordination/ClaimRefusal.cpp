#include "damasklink/coordination/ClaimRefusal.h"

#include <algorithm>

namespace damasklink {
namespace {

// A run usually ends long before its lease, so a caller need not wait until the lease expires.
constexpr Duration kMaxRetryAfter = std::chrono::seconds(2);
constexpr Duration kFullRetryAfter = std::chrono::seconds(30);

ClaimRefusal
MakeRefusal(ErrorKind aKind, const char* aMessage, const char* aRemedy, RunOutcome aEarlier)
{
  return ClaimRefusal{ Error{ aKind, aMessage, aRemedy }, aEarlier, std::nullopt };
}

} // namespace

ClaimRefusal
RefusalOf(const ClaimReply& aReply)
{
  switch (aReply.verdict) {
    case ClaimVerdict::Running: {
      ClaimRefusal refusal = MakeRefusal(ErrorKind::Conflict,
                                         "a call with this key is running",
                                         "retry with the same key to get its answer",
                                         RunOutcome::MayHaveRun);
      refusal.retryAfter = std::min(aReply.retryAfter, kMaxRetryAfter);
      return refusal;
    }
    case ClaimVerdict::AnswerDropped:
      return MakeRefusal(ErrorKind::Conflict,
                         "a call with this key ran, and its answer is no longer kept",
                         "look its result up at the service; do not send it under a new key",
                         RunOutcome::Ran);
    case ClaimVerdict::BodyMismatch:
      return MakeRefusal(ErrorKind::Conflict,
                         "the key was used for a call with another path or body",
                         "use a new key for a new call",
                         RunOutcome::NotRun);
    case ClaimVerdict::Expired:
      return MakeRefusal(ErrorKind::Conflict,
                         "the key is older than the retention of keys, so its call may have run",
                         "look its result up at the service before you send it under a new key",
                         RunOutcome::MayHaveRun);
    case ClaimVerdict::CreatedInFuture:
      return MakeRefusal(ErrorKind::InvalidArgument,
                         "the key's creation time is in the future",
                         "send a key from POST /v1/keys unchanged",
                         RunOutcome::NotRun);
    case ClaimVerdict::Full: {
      ClaimRefusal refusal = MakeRefusal(ErrorKind::Overloaded,
                                         "the zone cannot store another key",
                                         "try again later with the same key",
                                         RunOutcome::NotRun);
      refusal.retryAfter = kFullRetryAfter;
      return refusal;
    }
    case ClaimVerdict::NotReady: {
      ClaimRefusal refusal = MakeRefusal(ErrorKind::Unavailable,
                                         "the zone's claims group is new and not yet ready",
                                         "try again shortly with the same key",
                                         RunOutcome::NotRun);
      refusal.retryAfter = kMaxRetryAfter;
      return refusal;
    }
    case ClaimVerdict::Withdrawn:
      return MakeRefusal(ErrorKind::Unavailable,
                         "the claim of the key was released",
                         "try again with the same key",
                         RunOutcome::NotRun);
    default:
      return MakeRefusal(ErrorKind::Conflict,
                         "a call with this key may have run, and its answer was lost",
                         "look its result up at the service before you send it under a new key",
                         RunOutcome::MayHaveRun);
  }
}

} // namespace damasklink
