// The attempt that an Exchange makes beside one whose target is silent. The rest of the class is in
// the other Exchange*.cpp files.
#include <algorithm>
#include <utility>

#include "Exchange.h"
#include "damasklink/state/Units.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

using Stage = StandbyAttempt::Stage;

// A silent target accepts no connections, while others take a few milliseconds.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);

// Time without an answer after which the target of a standby attempt is checked, too.
constexpr Duration kMaxStandbySilence = std::chrono::milliseconds(600);

// How often a call looks for another way while there is none.
constexpr Duration kSearchInterval = std::chrono::milliseconds(50);

// Connections to targets of a service that a host makes at the same time for calls that look for
// another way. If all targets are silent, all calls do.
constexpr std::size_t kMaxConnecting = 32;

// Returns the outcome of a hedge as logged, which races with the first attempt.
std::string_view
HedgeOutcome(std::string_view aOutcome, bool aInterrupted)
{
  if (aOutcome == "accepted") {
    return "won";
  }
  return aOutcome == "cancelled" && !aInterrupted ? "lost" : aOutcome;
}

} // namespace

bool
Exchange::StartStandby(bool aHedge)
{
  // Whoever needs another way does not wait for a hedge that may be silent, too.
  if (!aHedge && this->IsHedging() && this->standby->stage != Stage::Accepted) {
    this->CancelStandby();
  }
  if (this->standby != nullptr || this->interrupt != Interrupt::None || this->bodyGivenBack) {
    return false;
  }
  this->standby = std::make_shared<StandbyAttempt>(this->context.loop);
  this->standby->hedge = aHedge;
  asio::co_spawn(this->context.loop, this->RunStandby(this->standby), asio::detached);
  return true;
}

// The shared state outlives the exchange, which must not be touched once that says so.
Awaitable<void>
Exchange::RunStandby(std::shared_ptr<StandbyAttempt> aStandby)
{
  EntryContext& shared = this->context;
  const MonotonicTime until = this->lastBytesAt + this->CallerPatience();
  asio::steady_timer pause(shared.loop);
  ++shared.standbys;
  while (!aStandby->cancelled && !aStandby->isLast && shared.clock.MonotonicNow() < until) {
    co_await this->TryStandby(aStandby);
    if (aStandby->cancelled || aStandby->stage == Stage::Accepted || aStandby->hedge) {
      break;
    }
    pause.expires_after(kSearchInterval);
    co_await pause.async_wait(kAsValue);
  }
  --shared.standbys;
  if (aStandby->cancelled) {
    co_return;
  }
  if (aStandby->stage == Stage::Accepted && aStandby->hedge) {
    this->GiveUpForHedge();
  } else if (aStandby->stage == Stage::Accepted) {
    this->GiveUpSilentAttempt();
  } else {
    aStandby->SetStage(Stage::Ended);
    this->ForgetStandby();
  }
}

// The exchange goes on with the standby attempt when the one in progress has ended.
void
Exchange::GiveUpSilentAttempt()
{
  const bool toHost = this->forwarded != nullptr;
  if (this->channel == nullptr && !toHost) {
    return;
  }
  this->givenUp = true;
  this->unacknowledged = true;
  if (toHost) {
    this->forwarded->Close();
  } else {
    this->channel->Close();
  }
}

Awaitable<void>
Exchange::TryStandby(std::shared_ptr<StandbyAttempt> aStandby)
{
  if (aStandby->hedge) {
    co_await this->TryHedge(std::move(aStandby));
    co_return;
  }
  const MonotonicTime now = this->context.clock.MonotonicNow();
  const RetryBudget& budget = this->context.retries.Of(this->service);
  const bool mayConnect = this->context.standbyConnections[this->service] < kMaxConnecting;
  if (!mayConnect || !this->plan->MayRetry(now, budget) || this->IsKnownToCrash()) {
    co_return;
  }
  // Not the verdict on the attempt in progress, which may still succeed.
  const bool overloadedBefore = this->overloaded;
  const NextDestination next = this->ChooseDestination();
  this->overloaded = overloadedBefore;
  if (next.host) {
    co_await this->TryStandbyHost(std::move(aStandby), *next.host);
  } else if (next.target != nullptr) {
    co_await this->TryStandbyTarget(std::move(aStandby), *next.target);
  } else {
    this->RetryUnreached(*aStandby);
  }
}

// Allows the targets that were not reached a while ago once more.
void
Exchange::RetryUnreached(StandbyAttempt& aStandby)
{
  for (const TargetId& target : aStandby.unreached) {
    this->selection.excluded.erase(target);
  }
  aStandby.unreached.clear();
}

// A pooled connection to a silent target looks open, so a new one is made, unless none can be made
// at all. The target of a hedge was heard lately.
Awaitable<void>
Exchange::TryStandbyTarget(std::shared_ptr<StandbyAttempt> aStandby, TargetRecord aTarget)
{
  EntryContext& shared = this->context;
  aStandby->target = aTarget;
  aStandby->host.reset();
  const bool onlyOpen = this->HasOpenConnections();
  aStandby->channel =
    onlyOpen || aStandby->hedge ? shared.pool.TakeIdle(aTarget.endpoint) : nullptr;
  if (aStandby->channel == nullptr) {
    aStandby->channel =
      std::make_unique<TargetConnection>(shared.loop.get_executor(), shared.clock);
    const ServiceName connecting = this->service;
    ++shared.standbyConnections[connecting];
    const auto connected = co_await aStandby->channel->Connect(aTarget.endpoint, kConnectTimeout);
    --shared.standbyConnections[connecting];
    if (aStandby->cancelled) {
      co_return;
    }
    if (!connected) {
      shared.health.OnEnd(aTarget.id, HealthSignal::NotReached);
      this->OnConnectFailed();
      aStandby->unreached.insert(aTarget.id);
      this->selection.excluded.insert(aTarget.id);
      this->LogStandbyEnd(*aStandby, "unreachable");
      co_return;
    }
  }
  // Other calls may have taken the target's places meanwhile.
  this->UpdateRateLimited();
  if (!this->StillTakesCalls(aTarget) ||
      (!onlyOpen && this->selection.rateLimited.contains(aTarget.id)) ||
      !this->ReserveStandby(*aStandby)) {
    co_return;
  }
  co_await this->SendStandby(std::move(aStandby));
}

// A hedge has been taken from the budget before its target was connected to.
bool
Exchange::ReserveStandby(const StandbyAttempt& aStandby)
{
  const MonotonicTime now = this->context.clock.MonotonicNow();
  if (aStandby.hedge) {
    return this->plan->MayHedge(now);
  }
  return this->plan->ReserveRetry(now, this->context.retries.Of(this->service));
}

// Tells all that count the calls of a target that it has one more.
void
Exchange::BeginStandby(StandbyAttempt& aStandby)
{
  const TargetRecord& target = aStandby.target;
  this->plan->BeginStandby(AttemptId(this->call.request.Value()), target.id);
  this->selection.excluded.insert(target.id);
  aStandby.givenUp = false;
  aStandby.checkedAt = MonotonicTime();
  aStandby.load = this->MakeLoad(target);
  aStandby.sentAt = this->context.clock.MonotonicNow();
  aStandby.SetStage(Stage::Sent);
  this->CountSend(target, aStandby.load);
  this->context.paths.OnSent(this->service);
}

Awaitable<void>
Exchange::SendStandby(std::shared_ptr<StandbyAttempt> aStandby)
{
  this->BeginStandby(*aStandby);
  const TargetRecord target = aStandby->target;
  const std::string fetchedBefore = this->fetchedFrom;
  const TargetCall toSend = this->CallFor(target);
  this->LogPromptSent(target, toSend, aStandby->load);
  aStandby->fetchedFrom = std::exchange(this->fetchedFrom, fetchedBefore);
  this->RecordResumption(target);
  const HttpRequestHead requestHead =
    this->context.dialect.MakeTargetRequestHead(this->request->head, toSend);
  // The exchange may end meanwhile, but not its request.
  const std::shared_ptr<const HttpRequestMessage> kept = this->request;
  co_await aStandby->channel->Send(requestHead, kept->body);
  if (aStandby->cancelled) {
    co_return;
  }
  auto head = co_await aStandby->channel->ReadHead();
  if (aStandby->cancelled) {
    co_return;
  }
  if (!head) {
    this->OnStandbyBroken(*aStandby, head.error());
    co_return;
  }
  if (!this->MayTakeHead(*aStandby, head.value())) {
    co_return;
  }
  aStandby->head = std::move(head.value());
  if (IsEventStream(aStandby->head)) {
    // A head alone is no reason to close a connection on which the stream may go on.
    const auto first = co_await aStandby->channel->ReadChunk();
    if (aStandby->cancelled) {
      co_return;
    }
    if (!first || !first.value()) {
      const Error ended{ ErrorKind::Interrupted, "no event came", "check the target's log" };
      this->OnStandbyBroken(*aStandby, first ? ended : first.error());
      co_return;
    }
    aStandby->firstBytes = *first.value();
  }
  aStandby->SetStage(Stage::Accepted);
  this->LogStandbyEnd(*aStandby, "accepted");
}

// Returns whether the response may take the place of the first attempt; otherwise ends the standby.
bool
Exchange::MayTakeHead(StandbyAttempt& aStandby, const HttpResponseHead& aHead)
{
  const TargetRecord& target = aStandby.target;
  const TargetResponseInfo facts = this->context.dialect.ReadResponse(aHead);
  this->CountBytes(target);
  this->ObserveNotices(target, facts);
  const bool foreign = !this->IsResponseToCall(*aStandby.channel, facts);
  // A part of another response was passed on already.
  const bool unfit = this->plan->PassedOn() && !IsEventStream(aHead);
  if (facts.notRun && !foreign) {
    this->ObserveResponse(target, facts, aStandby.sentAt);
    this->EndStandby(aStandby, AttemptStage::Refused, HealthSignal::Good, "refused");
    return false;
  }
  if (foreign || unfit || aHead.status >= 500) {
    this->EndStandby(aStandby, AttemptStage::Lost, HealthSignal::Bad, "failed");
    return false;
  }
  return true;
}

void
Exchange::OnStandbyBroken(StandbyAttempt& aStandby, const Error& aError)
{
  CrashReport report = this->MakeCrashReport(aStandby.target, aStandby.sentAt);
  report.parts = this->PartFingerprints();
  report.silent = aStandby.givenUp || aError.kind == ErrorKind::DeadlineExceeded;
  const TargetRecord target = aStandby.target;
  const bool wasRunning = this->IsLongerThanADrop(aStandby.sentAt);
  const HealthSignal signal = report.silent ? HealthSignal::NotReached : HealthSignal::Bad;
  this->EndStandby(aStandby, AttemptStage::Lost, signal, report.silent ? "silent" : "broken");
  if (this->context.state.Targets().Find(target.id) != nullptr) {
    this->SuspectCrash(target, std::move(report), wasRunning);
  }
}

Awaitable<void>
Exchange::TryStandbyHost(std::shared_ptr<StandbyAttempt> aStandby, HostId aHost)
{
  EntryContext& shared = this->context;
  aStandby->host = aHost;
  aStandby->target = TargetRecord();
  aStandby->triedHosts.insert(aHost);
  this->triedHosts.insert(aHost);
  aStandby->forwardingWait = shared.forwarder.MakeWait();
  const bool connected = co_await shared.forwarder.ConnectWithRoom(
    aHost, this->request->body.size(), aStandby->forwardingWait);
  aStandby->forwardingWait = nullptr;
  if (aStandby->cancelled) {
    co_return;
  }
  RetryBudget& budget = shared.retries.Of(this->service);
  if (!connected || !this->plan->ReserveRetry(shared.clock.MonotonicNow(), budget)) {
    this->LogStandbyEnd(*aStandby, "unreachable");
    co_return;
  }
  this->plan->BeginStandby(AttemptId(this->call.request.Value()), TargetId(aHost.Value()));
  aStandby->SetStage(Stage::Sent);
  aStandby->forwarded = shared.forwarder.Send(aHost, this->MakeForwardedCall());
  const ForwardingMessage* first = co_await aStandby->forwarded->Peek();
  if (aStandby->cancelled) {
    co_return;
  }
  this->OnStandbyHostAnswer(*aStandby, first);
}

void
Exchange::OnStandbyHostAnswer(StandbyAttempt& aStandby, const ForwardingMessage* aFirst)
{
  const auto* decline = aFirst == nullptr ? nullptr : std::get_if<ForwardingDecline>(aFirst);
  const auto* head = aFirst == nullptr ? nullptr : std::get_if<ForwardedHead>(aFirst);
  if (decline != nullptr) {
    this->context.forwarder.OnDeclined(*aStandby.host, this->service, decline->reason);
    this->EndStandby(aStandby, AttemptStage::Refused, HealthSignal::None, "declined");
  } else if (head == nullptr || !this->MayTakeForwarded(*head)) {
    this->EndStandby(aStandby, AttemptStage::Lost, HealthSignal::None, "failed");
  } else {
    aStandby.SetStage(Stage::Accepted);
    this->LogStandbyEnd(aStandby, "accepted");
  }
}

// Returns whether the response of the other host is better than waiting for the silent target.
bool
Exchange::MayTakeForwarded(const ForwardedHead& aHead) const
{
  if (aHead.whole) {
    return !this->plan->PassedOn() && aHead.head.status < 400;
  }
  return this->IsOnSoftwareThatBeganStream(aHead);
}

// Ends an attempt that was sent and does not take the place of the first one.
void
Exchange::EndStandby(StandbyAttempt& aStandby,
                     AttemptStage aStage,
                     HealthSignal aSignal,
                     std::string_view aOutcome)
{
  this->LogStandbyEnd(aStandby, aOutcome);
  const bool declined = aStandby.host.has_value() && aStage == AttemptStage::Refused;
  this->plan->EndStandby(aStage, declined);
  if (!aStandby.host) {
    const TargetRecord& target = aStandby.target;
    this->context.paths.OnEnded(this->service);
    this->context.picker.OnEnd(target.id, aStandby.load);
    this->context.brittle.OnEnded(target.id, target.incarnation, std::nullopt);
    this->context.health.OnEnd(target.id, aSignal);
    this->context.reachability.OnEnd(target.zone, target.id, aSignal);
  }
  if (!aStandby.cancelled) {
    aStandby.channel.reset();
    aStandby.forwarded.reset();
    aStandby.SetStage(Stage::Searching);
  }
}

void
Exchange::LogStandbyEnd(const StandbyAttempt& aStandby, std::string_view aOutcome) const
{
  const bool interrupted = this->interrupt != Interrupt::None;
  const std::string_view outcome = aStandby.hedge ? HedgeOutcome(aOutcome, interrupted) : aOutcome;
  const Duration waited = this->context.clock.MonotonicNow() - this->sentAt;
  LogEvent(LogLevel::Info, aStandby.hedge ? "hedge" : "standby_attempt")
    .With("request", this->call.request)
    .With("service", this->service)
    .With("beside", this->destination)
    .With("at", aStandby.host ? aStandby.host->Value() : aStandby.target.id.Value())
    .With(aStandby.hedge ? "waited_ms" : "silence_ms",
          WholeMilliseconds(aStandby.hedge ? waited : this->Silence()))
    .With("sends", this->plan->Sent())
    .With("outcome", outcome);
  this->context.metrics.Add(aStandby.hedge ? Counter::Hedges : Counter::StandbyAttempts,
                            MetricKey{ WorkspaceId(), std::string(outcome) },
                            1);
}

void
Exchange::CancelStandby()
{
  if (this->standby == nullptr) {
    return;
  }
  const std::shared_ptr<StandbyAttempt> ended = this->standby;
  const bool sent = ended->stage == Stage::Sent || ended->stage == Stage::Accepted;
  ended->Cancel();
  if (sent) {
    this->EndStandby(*ended, AttemptStage::Lost, HealthSignal::None, "cancelled");
  }
  this->ForgetStandby();
}

void
Exchange::ForgetStandby()
{
  this->RetryUnreached(*this->standby);
  for (const HostId& host : this->standby->triedHosts) {
    this->triedHosts.erase(host);
  }
  this->standby.reset();
}

// The attempt in progress has ended by itself. Returns whether the standby attempt takes its place.
Awaitable<bool>
Exchange::AwaitStandby()
{
  const std::shared_ptr<StandbyAttempt> next = this->standby;
  if (next == nullptr || this->interrupt != Interrupt::None) {
    co_return false;
  }
  next->isLast = true;
  this->received = false;
  // Its target is checked for silence meanwhile.
  this->context.waiting.insert(this);
  while (next->stage == Stage::Sent && this->interrupt == Interrupt::None) {
    next->changed.expires_at(asio::steady_timer::time_point::max());
    co_await next->changed.async_wait(kAsValue);
  }
  this->context.waiting.erase(this);
  co_return next->stage == Stage::Accepted&& this->interrupt == Interrupt::None;
}

// Checks the target of the standby attempt if it is silent, too.
void
Exchange::CheckStandby()
{
  if (this->standby == nullptr || this->standby->stage != Stage::Sent || this->standby->host) {
    return;
  }
  const MonotonicTime now = this->context.clock.MonotonicNow();
  const MonotonicTime heardAt = std::max(this->standby->sentAt, this->standby->checkedAt);
  if (now - heardAt >= kMaxStandbySilence) {
    this->standby->checkedAt = now;
    this->context.prober.CheckTarget(this->standby->target);
  }
}

// Another target is tried in the place of one that accepts no connections either.
void
Exchange::GiveUpStandbyAt(const TargetId& aTarget)
{
  if (this->standby == nullptr || this->standby->stage != Stage::Sent ||
      this->standby->target.id != aTarget) {
    return;
  }
  const MonotonicTime now = this->context.clock.MonotonicNow();
  const bool replaceable =
    this->plan->MayRetry(now, this->context.retries.Of(this->service)) && this->HasOtherWay();
  if (now - this->standby->sentAt >= kMaxStandbySilence && replaceable) {
    this->standby->givenUp = true;
    this->standby->channel->Close();
  }
}

// Makes the standby attempt the one in progress, and receives its response.
Awaitable<AttemptResult>
Exchange::ContinueAtStandby()
{
  const std::shared_ptr<StandbyAttempt> next = this->standby;
  this->ForgetStandby();
  this->ResetAttempt();
  this->attemptTarget = next->target;
  this->lastBytesAt = this->context.clock.MonotonicNow();
  if (next->host) {
    this->destination = next->host->Value();
    this->forwarded = std::move(next->forwarded);
    this->forwarded->WatchForSilence([this] { this->OnSilent("host_silent"); });
    co_return co_await this->EndForward(*next->host);
  }
  const TargetRecord target = next->target;
  this->destination = target.id.Value();
  this->channel = std::move(next->channel);
  this->load = next->load;
  this->fetchedFrom = next->fetchedFrom;
  this->sentAt = next->sentAt;
  this->context.waiting.insert(this);
  const AttemptResult result =
    co_await this->HandleResponse(target, std::move(next->head), std::move(next->firstBytes));
  co_return this->EndAttempt(target, result);
}

} // namespace damasklink
