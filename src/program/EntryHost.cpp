// Life of an entry host: its listeners, callers, forwarded calls and its end. What it hears from
// and tells control hosts is in EntryHostUpdates.cpp, how it stops in EntryHostStop.cpp.
#include "EntryHost.h"

#include "EntryHostImpl.h"
#include "damasklink/state/ProcessMemory.h"
#include "damasklink/state/Text.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

// How often idle connections to targets and links to control hosts are checked.
constexpr Duration kHousekeepingInterval = std::chrono::seconds(1);

// Priority of requests whose route is not known.
constexpr int kLeastUrgent = 9;

} // namespace

Result<void>
EntryHost::Impl::Run()
{
  if (auto listening = this->Listen(); !listening) {
    return listening;
  }
  LogEvent(LogLevel::Info, "entry_started")
    .With("host", this->settings.host)
    .With("name", this->settings.name)
    .With("zone", this->settings.zone)
    .With("callers", FormatEndpoint(this->settings.callers))
    .With("hedge_share", this->settings.hedgeShare);
  this->context.hedgePolicy = HedgePolicy(this->settings.hedgeShare);
  this->context.hedges = HedgeBudgets(this->settings.hedgeShare, RandomSeed());
  this->AddSeeds(this->settings.seeds);
  this->signals.Wait([this](const ServingSettings& aSettings) { this->AddSeeds(aSettings.seeds); },
                     [this] {
                       this->context.shuttingDown = true;
                       this->room.EndAll();
                       asio::co_spawn(this->loop, this->Stop(), asio::detached);
                     });
  this->RunHousekeeping();
  this->ReportLoadPeriodically();
  this->loop.run();
  LogEvent(LogLevel::Info, "entry_stopped").With("host", this->settings.host);
  return Success();
}

Result<void>
EntryHost::Impl::Listen()
{
  auto serveCaller = [this](auto aChannel) { return this->ServeCaller(std::move(aChannel)); };
  if (auto opened = this->callers.Listen(this->settings.callers, serveCaller); !opened) {
    return opened;
  }
  if (auto opened = this->forwarder.Listen(); !opened) {
    return opened;
  }
  auto serveProbes = [this](auto aChannel) { return this->ServeProbes(std::move(aChannel)); };
  if (auto opened = this->probes.Listen(this->settings.readiness, serveProbes); !opened) {
    return opened;
  }
  if (auto opened = this->metricsPage.Listen(this->settings.metrics); !opened) {
    return opened;
  }
  return Success();
}

LimitsInForce
EntryHost::Impl::Current() const
{
  const auto& routes = this->state.Routes();
  if (routes == nullptr) {
    return LimitsInForce{};
  }
  return LimitsInForce{ routes->Config().limits, routes->Config().version };
}

Awaitable<void>
EntryHost::Impl::ServeCaller(std::shared_ptr<CallerConnection> aChannel)
{
  if (!this->admission.TryAdmit(this->LagOfLoad())) {
    co_await this->refuser.Refuse(*aChannel);
    co_return;
  }
  this->refuser.OnAdmitted();
  const auto position = this->open.insert(this->open.end(), aChannel);
  bool reusable = true;
  while (reusable) {
    auto request = co_await aChannel->Read(*this, this->requestMemory);
    if (!request) {
      co_await this->RespondToUnreadable(*aChannel, request.error());
      break;
    }
    Exchange exchange(this->context, *aChannel, std::move(request.value()));
    reusable = co_await exchange.Run();
  }
  const LingerEnd lingerEnd = co_await this->lingering.End(*aChannel);
  this->ends.OnEnd(*aChannel, lingerEnd);
  this->open.erase(position);
}

Awaitable<void>
EntryHost::Impl::RespondToUnreadable(CallerConnection& aChannel, const Error& aError)
{
  if (aError.kind == ErrorKind::Interrupted) {
    co_return;
  }
  this->ends.OnUnreadable(aChannel, aError);
  CallerError refusal{ aError, RunOutcome::NotRun, std::nullopt };
  if (aError.kind == ErrorKind::Unavailable) {
    refusal.retryAfter = this->requestMemory.RetryDelay();
  }
  HttpResponseMessage response = this->calls.FailureResponse(refusal, RequestId());
  if (aError.kind == ErrorKind::DeadlineExceeded) {
    response.head.status = 408;
  } else if (aError.kind == ErrorKind::Overloaded) {
    response.head.status = 431;
  } else if (aError.kind == ErrorKind::NotPermitted) {
    response.head.status = 413;
  }
  co_await aChannel.WriteWhole(std::move(response), true);
}

// Answers readiness probes. They have an address of their own, so that a host that is full of
// callers' connections still answers them.
Awaitable<void>
EntryHost::Impl::ServeProbes(std::shared_ptr<CallerConnection> aChannel)
{
  while (true) {
    auto request = co_await aChannel->Read(CallerLimits(), this->probeMemory);
    if (!request) {
      break;
    }
    HttpResponseMessage response;
    const bool probe = this->calls.IsReadinessProbe(request.value().head);
    response.head.status = !probe ? 404 : this->IsReady() ? 200 : 503;
    if (!co_await aChannel->WriteWhole(std::move(response), false)) {
      break;
    }
  }
  aChannel->Close();
}

bool
EntryHost::Impl::IsReady() const
{
  return !this->context.shuttingDown && this->state.Routes() != nullptr;
}

RequestUrgency
EntryHost::Impl::UrgencyOf(const HttpRequestHead& aHead) const
{
  RequestUrgency urgency;
  urgency.priority = kLeastUrgent;
  const auto call = this->calls.ReadCall(aHead);
  const RoutesPtr& routes = this->state.Routes();
  if (!call) {
    return urgency;
  }
  urgency.request = call.value().request;
  urgency.patience = call.value().timeout.value_or(Duration::zero());
  const ServingRoute* route =
    routes == nullptr ? nullptr : routes->FindRoute(call.value().host, PathOf(aHead.target));
  if (route != nullptr) {
    const WorkspaceEntry* workspace = routes->FindWorkspace(call.value().key);
    urgency.priority = PriorityOf(*route, workspace);
    urgency.patience = std::min(call.value().timeout.value_or(route->timeout), route->timeout);
  }
  return urgency;
}

void
EntryHost::Impl::GiveBackBodies(std::size_t aBytes)
{
  std::size_t given = 0;
  for (Exchange* exchange : this->context.waiting) {
    if (given >= aBytes) {
      return;
    }
    given += exchange->GiveBackBody();
  }
}

void
EntryHost::Impl::UpdateMemory()
{
  this->requestMemory.CheckState();
  const auto resident = ReadResidentMemory();
  if (!resident) {
    LogEvent(LogLevel::Debug, "memory_not_read").With("error", resident.error());
    return;
  }
  this->ownMemory.Update(resident.value(), this->memory);
}

void
EntryHost::Impl::RunHousekeeping()
{
  this->UpdateMemory();
  this->pool.CloseExpired();
  this->rests.RemoveExpired();
  this->brittle.RemoveExpired();
  this->origins.RemoveExpired();
  this->stopAdmission.RemoveExpired();
  this->forwarder.CloseIdle();
  if (this->paths.AnyUnreachable() || !this->forwarder.HasHosts()) {
    this->RequestForwardingHosts();
  }
  if (!this->state.HasControlHost()) {
    // The file may name other seeds by now, even if no SIGHUP came.
    if (const std::optional<ServingSettings> current = this->signals.ReadSettings()) {
      this->AddSeeds(current->seeds);
    }
  }
  this->UpdateControlLinks();
  this->housekeeping.expires_after(kHousekeepingInterval);
  this->housekeeping.async_wait([this](const IoError& aError) {
    if (!aError) {
      this->RunHousekeeping();
    }
  });
}

std::optional<DeclineReason>
EntryHost::Impl::TakeForwarded(const HostId& aFrom,
                               ForwardedCall& aCall,
                               const std::shared_ptr<ForwardedCaller>& aCaller)
{
  const RoutesPtr& routes = this->state.Routes();
  std::optional<DeclineReason> declined;
  if (this->context.shuttingDown) {
    declined = DeclineReason::Stopping;
  } else if (routes == nullptr || routes->Config().version < aCall.configuration) {
    declined = DeclineReason::OlderConfiguration;
  } else if (this->paths.IsUnreachable(aCall.service)) {
    declined = DeclineReason::Unreachable;
  }
  const auto call = this->calls.ReadCall(aCall.head);
  LogEvent(LogLevel::Info, "forwarded_call")
    .With("request", call ? call.value().request : RequestId())
    .With("from", aFrom)
    .With("service", aCall.service)
    .With("outcome", declined ? DeclineReasonName(*declined) : "taken");
  if (!declined) {
    this->metrics.Add(Counter::ServedForwards, MetricKey{}, 1);
    asio::co_spawn(
      this->loop, this->ServeForwarded(aFrom, std::move(aCall), aCaller), asio::detached);
  }
  return declined;
}

Awaitable<void>
EntryHost::Impl::ServeForwarded(HostId aFrom,
                                ForwardedCall aCall,
                                std::shared_ptr<ForwardedCaller> aCaller)
{
  const CallNumber number = aCall.number;
  const ForwardedLimits forwardedLimits{
    aCall.timeLeft, aCall.sendsLeft, aCall.lastEvent, aCall.software
  };
  HttpRequestMessage request{ std::move(aCall.head), std::move(aCall.body) };
  Exchange exchange(this->context, *aCaller, std::move(request), forwardedLimits);
  co_await exchange.Run();
  aCaller->Close();
  this->forwarder.EndServed(aFrom, number);
}

// Asks the hub to which hosts calls may be forwarded, and tells it whether this host is cut off.
void
EntryHost::Impl::RequestForwardingHosts()
{
  if (!this->hub.Hub()) {
    return;
  }
  this->SendToControlHost(*this->hub.Hub(), ForwardingHostsRequest{ this->paths.AnyUnreachable() });
}

// Finds services and targets that have become silent, and confirms crashes.
void
EntryHost::Impl::CheckPaths()
{
  for (const ServiceName& service : this->paths.SuspiciousServices()) {
    this->prober.Probe(service);
  }
  this->prober.ProbeUnreachable();
  const std::set<Exchange*> waiting = this->context.waiting;
  for (Exchange* exchange : waiting) {
    exchange->CheckSilence();
  }
  for (UnconfirmedCrashReports::Entry& entry : this->unconfirmedCrashes.TakeUnreachable()) {
    const ServiceName service = entry.report.service;
    this->interrupted.Add(std::move(entry.report), entry.address);
    this->interrupted.OnServiceUnreachable(service);
  }
  for (CrashReport& report : this->unconfirmedCrashes.TakeConfirmed()) {
    this->AddCrash(std::move(report));
  }
}

void
EntryHost::Impl::OnReachabilityChanged(const ServiceName& aService, ReachabilityChange aChange)
{
  const bool lost = aChange == ReachabilityChange::Lost;
  LogEvent(LogLevel::Warning, lost ? "service_unreachable" : "service_reachable")
    .With("service", aService)
    .With("targets", this->state.Targets().Usable(aService).size())
    .With("forwarding_hosts", this->forwarder.Hosts().size());
  this->metrics.Add(
    Counter::ServiceReachability,
    MetricKey{ WorkspaceId(), Concat(lost ? "lost " : "regained ", aService.Value()) },
    1);
  if (lost) {
    this->interrupted.OnServiceUnreachable(aService);
  } else {
    for (const TargetRecord& target : this->state.Targets().Usable(aService)) {
      this->health.OnPathRestored(target.id);
      this->reachability.OnBytes(target.zone);
    }
  }
  this->RequestForwardingHosts();
}

void
EntryHost::Impl::OnTargetUnreachable(const TargetId& aTarget)
{
  this->health.OnEnd(aTarget, HealthSignal::NotReached);
  const std::set<Exchange*> waiting = this->context.waiting;
  for (Exchange* exchange : waiting) {
    exchange->OnTargetUnreachable(aTarget);
  }
}

// Returns whether this host reached other targets of the service since the target failed. Otherwise
// the fault may be this host's own.
bool
EntryHost::Impl::IsFailureConfirmed(const TargetId& aTarget, MonotonicTime aSince)
{
  const TargetRecord* record = this->state.Targets().Find(aTarget);
  return record == nullptr || this->paths.WasReachedAfter(record->service, aSince);
}

EntryHost::EntryHost(ServingSettings aSettings,
                     const CallDialect& aCalls,
                     const ControlDialect& aControl,
                     SettingsReader aReader)
  : impl(std::make_unique<Impl>(std::move(aSettings), aCalls, aControl, std::move(aReader)))
{
}

EntryHost::~EntryHost() = default;

Result<void>
EntryHost::Run()
{
  return this->impl->Run();
}

} // namespace damasklink
