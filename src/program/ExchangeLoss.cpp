// What an Exchange tells of a call whose caller gets no whole response. The rest of the class is in
// the other Exchange*.cpp files.
#include "Exchange.h"

#include "damasklink/state/Text.h"
#include "damasklink/state/Units.h"
#include "damasklink/transport/Log.h"

namespace damasklink {

std::string_view
Exchange::LossReason(std::string_view aOtherwise) const
{
  switch (this->interrupt) {
    case Interrupt::CallerLeft:
      return "caller_left";
    case Interrupt::Expired:
      return "deadline_passed";
    case Interrupt::HostStops:
      return "host_stopped";
    case Interrupt::None:
      break;
  }
  return aOtherwise;
}

void
Exchange::LogLoss(std::string_view aOtherwise) const
{
  const MonotonicTime now = this->context.clock.MonotonicNow();
  const bool sent = this->sentAt != MonotonicTime();
  const std::string_view reason = this->LossReason(aOtherwise);
  this->context.metrics.Add(
    Counter::Failures, MetricKey{ WorkspaceId(), Concat("lost ", reason) }, 1);
  // A caller that leaves loses nothing that it still wants.
  const bool left = this->interrupt == Interrupt::CallerLeft;
  LogEvent(left ? LogLevel::Info : LogLevel::Warning, "answer_lost")
    .With("request", this->call.request)
    .With("reason", reason)
    .With("target", this->destination)
    .With("service", this->service)
    .With("passed_on", this->plan && this->plan->PassedOn())
    .With("last_event", this->framer.LastEvent().value_or(0))
    .With("sends", this->plan ? this->plan->Sent() : 0)
    .With("silence_ms", sent ? WholeMilliseconds(now - this->lastBytesAt) : 0)
    .With("took_ms", WholeMilliseconds(now - this->arrived))
    .With("left_ms", this->plan ? WholeMilliseconds(this->TimeLeft()) : 0)
    .With("for_another_host", this->forwardedLimits.has_value())
    .With("stopping", this->context.shuttingDown)
    .With("configuration", this->routes == nullptr ? Revision() : this->routes->Config().version);
}

} // namespace damasklink
