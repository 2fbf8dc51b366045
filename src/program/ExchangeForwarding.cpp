// Forwarding of an Exchange's call to another entry host. The rest of the class is in Exchange.cpp,
// ExchangeRouting.cpp and ExchangeReporting.cpp.
#include "Exchange.h"

#include "damasklink/state/Units.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

// Longest wait for the result of a probe, when connections to targets have just failed.
constexpr Duration kMaxProbeWait = std::chrono::milliseconds(100);
constexpr Duration kProbeCheckInterval = std::chrono::milliseconds(5);

// Returns whether the status promises that the call was not run.
bool
IsRefusal(int aStatus)
{
  return aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
}

} // namespace

bool
Exchange::HasOpenConnections() const
{
  const ServiceReachability& paths = this->context.paths;
  return paths.IsUnreachable(this->service) &&
         paths.HadBytesWithin(this->service, ServiceReachability::kRecentBytes);
}

std::optional<HostId>
Exchange::ChooseForwardingHost()
{
  const bool mayForward = !this->forwardedLimits &&
                          this->context.paths.IsUnreachable(this->service) &&
                          this->plan->Sent() < this->plan->Limits().mostTargets;
  if (!mayForward) {
    return std::nullopt;
  }
  // A host outside the allowed regions must not get the call either.
  std::set<HostId> excluded = this->triedHosts;
  for (const auto& [host, zone] : this->context.forwarder.Hosts()) {
    if (!this->allowedRegions.Allows(zone)) {
      excluded.insert(host);
    }
  }
  return this->context.forwarder.Choose(this->service, excluded);
}

// The last of the failed connections may have started the probe that finds the service unreachable.
Awaitable<bool>
Exchange::MayStillForward(ExchangeStep aStep)
{
  if (aStep != ExchangeStep::Refuse || this->lastResult != AttemptResult::Unreachable) {
    co_return false;
  }
  const MonotonicTime until = this->context.clock.MonotonicNow() + kMaxProbeWait;
  asio::steady_timer pause(this->context.loop);
  while (this->context.paths.IsProbing(this->service) && this->interrupt == Interrupt::None &&
         this->context.clock.MonotonicNow() < until) {
    pause.expires_after(kProbeCheckInterval);
    co_await pause.async_wait(kAsValue);
  }
  const bool mayForward =
    this->interrupt == Interrupt::None && this->ChooseForwardingHost().has_value();
  co_return mayForward;
}

ForwardedCall
Exchange::MakeForwardedCall() const
{
  ForwardedCall forwardedCall;
  forwardedCall.head = this->request->head;
  RemoveHopByHopFields(forwardedCall.head.fields);
  forwardedCall.body = this->request->body;
  forwardedCall.service = this->service;
  forwardedCall.timeLeft = this->TimeLeft();
  forwardedCall.configuration = this->routes->Config().version;
  // This attempt counts as one of the sends.
  forwardedCall.sendsLeft = this->plan->Limits().mostTargets - (this->plan->Sent() - 1);
  forwardedCall.lastEvent =
    this->framer.LastEvent() ? this->framer.LastEvent() : this->call.lastEvent;
  forwardedCall.software = this->begunOn;
  return forwardedCall;
}

Awaitable<AttemptResult>
Exchange::Forward(HostId aHost)
{
  this->triedHosts.insert(aHost);
  this->ResetAttempt();
  this->attemptTarget = TargetRecord();
  this->plan->Begin(AttemptId(this->call.request.Value()), TargetId(aHost.Value()));
  const auto copies = this->context.memory.TryReserve(
    MemoryUse::ForwardedCalls, kForwardingCopies * this->request->body.size());
  if (!copies) {
    LogEvent(LogLevel::Info, "call_not_forwarded")
      .With("request", this->call.request)
      .With("reason", "no_memory")
      .With("held", this->context.memory.Held())
      .With("limit", this->context.memory.Limit());
  }
  bool connected = false;
  if (copies) {
    this->forwardingWait = this->context.forwarder.MakeWait();
    connected = co_await this->context.forwarder.ConnectWithRoom(
      aHost, this->request->body.size(), this->forwardingWait);
    this->forwardingWait = nullptr;
  }
  if (connected && this->interrupt == Interrupt::None) {
    this->plan->Sending();
    this->forwarded = this->context.forwarder.Send(aHost, this->MakeForwardedCall());
    this->forwarded->WatchForSilence([this] { this->OnSilent("host_silent"); });
    this->lastBytesAt = this->context.clock.MonotonicNow();
    LogEvent(LogLevel::Info, "call_forwarded")
      .With("request", this->call.request)
      .With("to", aHost)
      .With("service", this->service)
      .With("configuration", this->routes->Config().version)
      .With("left_ms", WholeMilliseconds(this->TimeLeft()));
    co_return co_await this->EndForward(aHost);
  }
  const bool interrupted = this->interrupt != Interrupt::None;
  const AttemptResult result = interrupted ? this->ResultOfInterrupt() : AttemptResult::Unreachable;
  this->CountForward(result);
  co_return result;
}

Awaitable<AttemptResult>
Exchange::EndForward(HostId aHost)
{
  AttemptResult result = co_await this->ReceiveForwarded(aHost);
  this->forwarded.reset();
  if (this->interrupt != Interrupt::None && result != AttemptResult::Delivered) {
    result = this->ResultOfInterrupt();
  }
  this->CountForward(result);
  co_return result;
}

void
Exchange::CountForward(AttemptResult aResult) const
{
  this->context.metrics.Add(Counter::ForwardedCalls,
                            MetricKey{ WorkspaceId(), std::string(AttemptResultName(aResult)) },
                            1);
}

Awaitable<AttemptResult>
Exchange::ReceiveForwarded(HostId aHost)
{
  std::optional<HttpResponseHead> head;
  while (true) {
    auto received = co_await this->forwarded->Next();
    if (!received) {
      this->DiscardPartialEvent();
      co_return AttemptResult::Broken;
    }
    this->lastBytesAt = this->context.clock.MonotonicNow();
    ForwardingMessage& message = received.value();
    std::string bytes;
    if (const auto* decline = std::get_if<ForwardingDecline>(&message)) {
      LogEvent(LogLevel::Info, "forwarding_declined")
        .With("request", this->call.request)
        .With("by", aHost)
        .With("service", this->service)
        .With("reason", DeclineReasonName(decline->reason));
      this->context.forwarder.OnDeclined(aHost, this->service, decline->reason);
      co_return AttemptResult::Declined;
    }
    if (auto* first = std::get_if<ForwardedHead>(&message)) {
      if (first->whole) {
        co_return co_await this->DeliverForwarded(std::move(*first));
      }
      if (!this->IsOnSoftwareThatBeganStream(*first)) {
        co_return AttemptResult::Broken;
      }
      this->attemptTarget.software = first->software.value_or(SoftwareVersion());
      head = std::move(first->head);
      bytes = std::move(first->bytes);
    } else if (auto* chunk = std::get_if<ForwardedChunk>(&message)) {
      bytes = std::move(chunk->bytes);
    } else if (const auto* end = std::get_if<ForwardedEnd>(&message)) {
      if (!end->complete || !head || this->framer.HasPartialEvent()) {
        this->DiscardPartialEvent();
        co_return AttemptResult::Broken;
      }
      this->succeeded = true;
      this->LogEnd("forwarded", head->status);
      const bool ended = co_await this->caller.EndStream();
      co_return ended ? AttemptResult::Delivered : AttemptResult::CallerLeft;
    }
    if (!head) {
      co_return AttemptResult::Broken;
    }
    this->CancelStandby();
    const std::string events = this->framer.Append(bytes);
    if (!events.empty() && !co_await this->ForwardEvents(*head, events)) {
      co_return AttemptResult::CallerLeft;
    }
    if (!this->CountPartialEvent()) {
      this->DiscardPartialEvent();
      this->forwarded->Close();
      co_return AttemptResult::Broken;
    }
  }
}

// A host that runs an older program neither observes nor states software versions.
bool
Exchange::IsOnSoftwareThatBeganStream(const ForwardedHead& aHead) const
{
  return !this->begunOn || this->begunOn == aHead.software;
}

// Passes on the response, unless it does not hold for the whole call: it refuses the call, and an
// earlier attempt may have run it, or the caller already has a part of another response.
Awaitable<AttemptResult>
Exchange::DeliverForwarded(ForwardedHead aHead)
{
  if (this->plan->PassedOn()) {
    co_return AttemptResult::Broken;
  }
  if (IsRefusal(aHead.head.status) && this->plan->Sent() > 1) {
    co_return AttemptResult::Refused;
  }
  this->CancelStandby();
  this->deadline->Disarm();
  this->succeeded = aHead.head.status < 300;
  this->LogEnd("forwarded", aHead.head.status);
  HttpResponseMessage response{ std::move(aHead.head), std::move(aHead.bytes) };
  const bool written = co_await this->WriteResponse(std::move(response));
  co_return written ? AttemptResult::Delivered : AttemptResult::CallerLeft;
}

} // namespace damasklink
