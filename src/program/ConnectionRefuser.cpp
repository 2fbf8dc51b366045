#include "ConnectionRefuser.h"

#include <utility>

namespace damasklink {

Awaitable<void>
ConnectionRefuser::Refuse(CallerConnection& aConnection)
{
  if (!this->limiter.TryBegin()) {
    ++this->counts.closedUnread;
    aConnection.Close();
    co_return;
  }
  const bool asks = co_await aConnection.AwaitBytes(kMaxWait);
  if (asks && co_await aConnection.WriteWhole(this->MakeResponse(), true)) {
    ++this->counts.refused;
    co_await this->lingering.End(aConnection);
  } else {
    ++this->counts.closedUnread;
    aConnection.Close();
  }
  this->limiter.End();
}

RefusalCounts
ConnectionRefuser::TakeCounts()
{
  return std::exchange(this->counts, RefusalCounts{});
}

HttpResponseMessage
ConnectionRefuser::MakeResponse()
{
  CallerError error;
  error.error = Error{ ErrorKind::Unavailable,
                       "this host takes no further connections at the moment",
                       "retry after the given time" };
  error.outcome = RunOutcome::NotRun;
  error.retryAfter = this->scheduler.NextRetryDelay();
  return this->dialect.FailureResponse(error, RequestId());
}

} // namespace damasklink
