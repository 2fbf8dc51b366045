#include "EntryHost.h"

#include <algorithm>
#include <list>
#include <optional>
#include <random>
#include <vector>

#include "CallForwarder.h"
#include "ConfigurationUpdater.h"
#include "Exchange.h"
#include "MetricsServer.h"
#include "damasklink/coordination/ConnectionAdmission.h"
#include "damasklink/coordination/ControlHostSelector.h"
#include "damasklink/coordination/HubSelector.h"
#include "damasklink/coordination/ServiceLevelWindows.h"
#include "damasklink/protocol/ServingCodec.h"
#include "damasklink/state/MetricsRegistry.h"
#include "damasklink/state/Text.h"
#include "damasklink/state/Units.h"
#include "damasklink/transport/ConnectionListener.h"
#include "damasklink/transport/Log.h"
#include "damasklink/transport/PeerMesh.h"

namespace damasklink {
namespace {

// How often idle connections to targets and links to control hosts are checked.
constexpr Duration kHousekeepingInterval = std::chrono::seconds(1);

// How often an entry host sends its load report. A prefill takes 20 to 100 ms, so an older report
// would say little about the prompts that targets have yet to prefill.
constexpr Duration kLoadReportInterval = std::chrono::milliseconds(100);
static_assert(kLoadReportInterval == ConnectionAdmission::kInterval);

// Calls that still run are cut off this long before the end of stopWithin, so that the last
// responses still leave the host.
constexpr Duration kStopMargin = std::chrono::milliseconds(400);

// How long connections are still accepted after the signal to stop. The load balancer probes once a
// second and stops sending after two failed probes. A call that arrives after three seconds might
// not end in time.
constexpr Duration kAcceptAfterStop = std::chrono::milliseconds(2600);

// How often a stopping host checks whether all calls have ended.
constexpr Duration kStopCheckInterval = std::chrono::milliseconds(100);

std::uint64_t
RandomSeed()
{
  return std::random_device()();
}

} // namespace

class EntryHost::Impl final : public PeerMeshHandler
{
public:
  Impl(ServingSettings aSettings,
       const CallDialect& aCalls,
       const ControlDialect& aControl,
       SettingsReader aReader)
    : settings(std::move(aSettings))
    , calls(aCalls)
    , state(this->clock, this->settings.host)
    , firstConfiguration(this->loop)
    , retries(this->settings.retries, RandomSeed())
    , health(this->clock, RandomSeed())
    , reachability(this->clock, RandomSeed())
    , rests(this->clock)
    , picker(this->health, this->reachability, this->rests, RandomSeed())
    , pool(this->clock)
    , slowStores(RandomSeed())
    , startupDelay(RandomSeed())
    , retryScheduler(this->clock, RandomSeed())
    , probe(this->loop, this->clock)
    , crashFilter(this->clock)
    , interrupted(this->clock)
    , limits(this->clock, this->settings.host)
    , brittle(this->clock, RandomSeed())
    , prober(this->loop,
             this->clock,
             this->calls,
             this->state,
             this->paths,
             { [this](const auto& aService, auto aChange) {
                this->OnReachabilityChanged(aService, aChange);
              },
               [this](const auto& aTarget) { this->OnTargetUnreachable(aTarget); } },
             RandomSeed())
    , forwarder(this->loop,
                this->clock,
                this->settings,
                this->metrics,
                RandomSeed(),
                [this](const auto& aFrom, auto& aCall, const auto& aCaller) {
                  return this->TakeForwarded(aFrom, aCall, aCaller);
                })
    , originResolver(
        this->loop,
        this->clock,
        this->origins,
        [this] { return this->ReportingControlHosts(); },
        [this](const HostId& aTo, const StreamOriginRequest& aRequest) {
          this->SendToControlHost(aTo, aRequest);
        })
    , mesh(this->loop, this->settings.host, this->settings.peerPort, *this)
    , context{ this->loop,
               this->clock,
               this->settings,
               this->calls,
               this->metrics,
               this->state,
               this->firstConfiguration,
               this->retries,
               this->health,
               this->reachability,
               this->picker,
               this->pool,
               this->slowStores,
               this->startupDelay,
               this->retryScheduler,
               this->probe,
               this->crashFilter,
               this->interrupted,
               this->limits,
               this->rests,
               this->paths,
               this->prober,
               this->unconfirmedCrashes,
               this->forwarder,
               this->brittle,
               this->origins,
               this->originResolver,
               this->clock.MonotonicNow(),
               nullptr,
               false,
               false,
               {} }
    , configuration(this->loop,
                    this->clock,
                    aControl,
                    this->state,
                    this->mesh,
                    this->metrics,
                    [this] { this->OnConfigurationInstalled(); })
    , signals(this->loop, std::move(aReader))
    , housekeeping(this->loop)
    , loadReports(this->loop)
  {
    this->context.reportLoad = [this] { this->SendLoadReport(false); };
  }

  Result<void> Run();

  void OnPeerUp(const HostId& aPeer, LinkSide aSide) override;
  void OnPeerDown(const HostId& aPeer, LinkSide aSide) override;
  void OnPeerMessage(const HostId& aPeer, PeerMessage aMessage) override;

private:
  using Channels = std::list<std::shared_ptr<CallerConnection>>;

  Result<void> Listen();
  Awaitable<void> ServeCaller(std::shared_ptr<CallerConnection> aChannel);
  Awaitable<void> ServeProbes(std::shared_ptr<CallerConnection> aChannel);
  Awaitable<void> RespondToUnreadable(CallerConnection& aChannel, const Error& aError);
  std::optional<DeclineReason> TakeForwarded(const HostId& aFrom,
                                             ForwardedCall& aCall,
                                             const std::shared_ptr<ForwardedCaller>& aCaller);
  Awaitable<void> ServeForwarded(HostId aFrom,
                                 ForwardedCall aCall,
                                 std::shared_ptr<ForwardedCaller> aCaller);
  void RequestForwardingHosts();
  void CheckPaths();
  void OnReachabilityChanged(const ServiceName& aService, ReachabilityChange aChange);
  void OnTargetUnreachable(const TargetId& aTarget);
  bool IsFailureConfirmed(const TargetId& aTarget, MonotonicTime aSince);
  Awaitable<void> Stop();
  void RunHousekeeping();
  std::vector<HubCandidate> HubCandidates() const;
  std::vector<HostId> ReportingControlHosts() const;
  void ReportLoadPeriodically();
  void UpdateAdmission();
  Duration IntervalLag() const;
  void SendLoadReport(bool aHubChanged);
  void SendToControlHost(const HostId& aTo, const ServingMessage& aMessage);
  void AddSeeds(const std::vector<HostId>& aSeeds);
  void UpdateControlLinks();
  void ApplyUpdate(const HostId& aPeer, const ServingUpdate& aUpdate);
  void ApplyRateLimits(const LoadReport& aReport);
  void ApplyBrittleServices(const LoadReport& aReport);
  std::optional<ColdStartSpec> ColdStartSpecOf(const ServiceName& aService) const;
  void ApplyColdStarts(const std::vector<TargetUpdate>& aTargets);
  void ApplyEvacuations();
  void ConfirmTerminations(const ServingUpdate& aUpdate);
  void ReportCrashes(const std::vector<CrashReport>& aReports, std::string_view aEvidence);
  void AddCrash(CrashReport aReport);
  void ApplyCrashVerdicts(const HostId& aPeer, const CrashingRequests& aVerdicts);
  void OnConfigurationInstalled();
  bool IsReady() const;
  CallerLimits Limits() const;

  ServingSettings settings;
  const CallDialect& calls;
  SystemClock clock;
  ServiceLevelWindows serviceLevels{ this->clock, kMostMetricSeries };
  MetricsRegistry metrics{ this->clock, this->serviceLevels, kMostMetricSeries };
  asio::io_context loop{ 1 };
  EntryHostState state;
  FirstConfiguration firstConfiguration;
  ServiceRetryBudgets retries;
  TargetHealth health;
  ZoneReachability reachability;
  TargetRestPeriods rests;
  TargetSelector picker;
  TargetConnectionPool pool;
  SlowStoreDetector slowStores;
  StartupRetryDelay startupDelay;
  RetryScheduler retryScheduler;
  TargetProbe probe;
  CrashFilter crashFilter;
  InterruptedRequests interrupted;
  TargetRateLimiter limits;
  BrittleTargetLimiter brittle;
  ServiceReachability paths{ this->clock };
  UnconfirmedCrashReports unconfirmedCrashes{ this->clock, this->paths };
  ServiceProber prober;
  CallForwarder forwarder;
  StreamOriginTable origins{ this->clock };
  StreamOriginResolver originResolver;
  PeerMesh mesh;
  EntryContext context;
  ConfigurationUpdater configuration;
  MetricsServer metricsPage{ this->loop, this->metrics, this->settings.host };
  ServingSignals signals;
  asio::steady_timer housekeeping;
  asio::steady_timer loadReports;
  ConnectionListener callers{ this->loop };
  ConnectionListener probes{ this->loop };
  // The callers' connections.
  Channels open;
  ControlHostSelector links{ this->settings.host, this->settings.zone };
  // Selects the control host that gets this host's load reports.
  HubSelector hub{ this->clock, this->settings.zone };
  bool wasReady = false;
  ConnectionAdmission admission;
  // When the next load report is due.
  MonotonicTime nextInterval = this->clock.MonotonicNow();
};

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
    .With("callers", FormatEndpoint(this->settings.callers));
  this->AddSeeds(this->settings.seeds);
  this->signals.Wait([this](const ServingSettings& aSettings) { this->AddSeeds(aSettings.seeds); },
                     [this] {
                       this->context.shuttingDown = true;
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

CallerLimits
EntryHost::Impl::Limits() const
{
  const auto& routes = this->state.Routes();
  return routes == nullptr ? CallerLimits() : routes->Config().limits;
}

Awaitable<void>
EntryHost::Impl::ServeCaller(std::shared_ptr<CallerConnection> aChannel)
{
  if (!this->admission.TryAdmit(this->IntervalLag())) {
    aChannel->Close();
    co_return;
  }
  const auto position = this->open.insert(this->open.end(), aChannel);
  bool reusable = true;
  while (reusable) {
    auto request = co_await aChannel->Read(this->Limits());
    if (!request) {
      co_await this->RespondToUnreadable(*aChannel, request.error());
      break;
    }
    Exchange exchange(this->context, *aChannel, std::move(request.value()));
    reusable = co_await exchange.Run();
  }
  aChannel->Close();
  this->open.erase(position);
}

Awaitable<void>
EntryHost::Impl::RespondToUnreadable(CallerConnection& aChannel, const Error& aError)
{
  if (aError.kind == ErrorKind::Interrupted) {
    co_return;
  }
  LogEvent(LogLevel::Info, "request_unreadable").With("error", aError);
  HttpResponseMessage response = this->calls.FailureResponse(
    CallerError{ aError, RunOutcome::NotRun, std::nullopt }, RequestId());
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
    auto request = co_await aChannel->Read(CallerLimits());
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

// Readiness already fails when this begins. New connections are served as long as the load balancer
// may still open some (kAcceptAfterStop). Then idle connections are closed, and the loop stops with
// the last call.
Awaitable<void>
EntryHost::Impl::Stop()
{
  const MonotonicTime start = this->clock.MonotonicNow();
  const MonotonicTime deadline = start + this->settings.stopWithin - kStopMargin;
  asio::steady_timer timer(this->loop);
  while (true) {
    timer.expires_after(kStopCheckInterval);
    co_await timer.async_wait(kAsValue);
    const MonotonicTime now = this->clock.MonotonicNow();
    if (now < start + kAcceptAfterStop) {
      continue;
    }
    // A request on an idle connection might not end before the process does.
    this->callers.Close();
    for (const std::shared_ptr<CallerConnection>& channel : this->open) {
      channel->CloseIfIdle();
    }
    const auto busy = std::count_if(this->open.begin(), this->open.end(), [](const auto& aChannel) {
      return !aChannel->IsIdle();
    });
    if ((busy == 0 && this->forwarder.Served() == 0) || now >= deadline) {
      LogEvent(LogLevel::Info, "stop_ends").With("open", this->open.size()).With("busy", busy);
      break;
    }
  }
  this->forwarder.Stop();
  this->mesh.Stop();
  this->loop.stop();
}

void
EntryHost::Impl::RunHousekeeping()
{
  this->pool.CloseExpired();
  this->rests.RemoveExpired();
  this->brittle.RemoveExpired();
  this->origins.RemoveExpired();
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
    // What this host learnt of the targets while it could not reach them was its own fault.
    for (const TargetRecord& target : this->state.Targets().Usable(aService)) {
      this->health.OnRestart(target.id);
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

// Returns the control hosts that can be this host's hub: add up load reports and report stored
// parts.
std::vector<HubCandidate>
EntryHost::Impl::HubCandidates() const
{
  std::vector<HubCandidate> candidates;
  const ControlHostZones& zones = this->links.Known();
  for (const HostId& host : this->links.ByHubPreference()) {
    if (this->state.HasReported(host)) {
      candidates.push_back(HubCandidate{ host, zones.at(host), this->state.IsHealthy(host) });
    }
  }
  return candidates;
}

std::vector<HostId>
EntryHost::Impl::ReportingControlHosts() const
{
  std::vector<HostId> reporting;
  for (const auto& [host, zone] : this->links.Known()) {
    if (this->state.HasReported(host)) {
      reporting.push_back(host);
    }
  }
  return reporting;
}

// Returns how late the next load report is.
Duration
EntryHost::Impl::IntervalLag() const
{
  return std::max(this->clock.MonotonicNow() - this->nextInterval, Duration::zero());
}

// Adapts the limit of new connections to the delay of the event loop.
void
EntryHost::Impl::UpdateAdmission()
{
  const Duration lag = this->IntervalLag();
  const std::uint64_t declined = this->admission.Declined();
  const bool before = this->admission.IsOverloaded();
  this->admission.OnInterval(lag);
  this->context.overloaded = this->admission.IsOverloaded();
  if (declined > 0 || before != this->context.overloaded) {
    LogEvent(LogLevel::Info, "connections_limited")
      .With("overloaded", this->context.overloaded)
      .With("lag_ms", WholeMilliseconds(lag))
      .With("closed_unread", declined)
      .With("next_limit", this->admission.Limit());
    this->metrics.Add(Counter::ClosedUnread, MetricKey{}, declined);
  }
}

// Selects the hub, sends it what changed, and schedules the next call of itself.
void
EntryHost::Impl::ReportLoadPeriodically()
{
  this->UpdateAdmission();
  const std::optional<HostId> before = this->hub.Hub();
  const std::optional<HostId> chosen = this->hub.Choose(this->HubCandidates());
  const bool changed = chosen != before;
  if (changed && before && this->state.HasReported(*before)) {
    // The former hub must not count this host's load any more while the connection still exists.
    LoadReport lastReport;
    lastReport.host = this->settings.host;
    lastReport.last = true;
    this->SendToControlHost(*before, lastReport);
  }
  this->CheckPaths();
  if (changed) {
    this->RequestForwardingHosts();
    LogEvent(LogLevel::Info, "hub_chosen")
      .With("hub", chosen.value_or(HostId()))
      .With("before", before.value_or(HostId()));
    this->state.SelectStoreSource(chosen);
    this->picker.ResendAll();
    this->crashFilter.ResendAll();
    this->limits.ResendAll();
    this->origins.ResendAll();
    // The sums of the new hub contain everything that those of the former one did.
    this->picker.RemoveSumsBefore(this->clock.MonotonicNow());
  }
  this->SendLoadReport(changed);
  this->configuration.Step();
  this->picker.RemoveSumsBefore(this->clock.MonotonicNow() - InFlightLoadSum::kSilenceLimit);
  this->nextInterval = this->clock.MonotonicNow() + kLoadReportInterval;
  this->loadReports.expires_after(kLoadReportInterval);
  this->loadReports.async_wait([this](const IoError& aError) {
    if (!aError) {
      this->ReportLoadPeriodically();
    }
  });
}

void
EntryHost::Impl::SendLoadReport(bool aHubChanged)
{
  // Collected even without a hub, since it would pile up; a new hub is sent everything again.
  LoadReport report;
  report.host = this->settings.host;
  report.urgent = this->picker.HasUrgentSends();
  report.sends = this->picker.TakeSends();
  report.excesses = this->slowStores.TakeObservations();
  report.findings =
    this->health.TakeReachabilityReports([this](const TargetId& aTarget, MonotonicTime aSince) {
      return this->IsFailureConfirmed(aTarget, aSince);
    });
  report.crashes = this->crashFilter.TakeReports();
  report.sound = this->crashFilter.TakeSuccessfulRuns();
  report.limitReports = this->limits.TakeReports();
  report.brittle = this->brittle.TakeReports();
  report.origins = this->origins.TakeAdded();
  const bool hasContent = !report.sends.empty() || !report.excesses.empty() ||
                          !report.findings.empty() || !report.crashes.empty() ||
                          !report.sound.empty() || !report.limitReports.empty() ||
                          !report.brittle.empty() || !report.origins.empty();
  if (this->hub.Hub() && (aHubChanged || hasContent)) {
    this->SendToControlHost(*this->hub.Hub(), report);
    if (!report.sends.empty()) {
      this->hub.OnReportSent();
    }
  }
}

void
EntryHost::Impl::SendToControlHost(const HostId& aTo, const ServingMessage& aMessage)
{
  this->mesh.Send(aTo, PeerMessage{ Channel::Serving, GroupId(), EncodeServingMessage(aMessage) });
}

void
EntryHost::Impl::AddSeeds(const std::vector<HostId>& aSeeds)
{
  for (const HostId& host : aSeeds) {
    this->links.AddHost(host, ZoneId());
  }
  this->UpdateControlLinks();
}

// Connects to the selected control hosts. Disconnects from others once enough of these are healthy,
// and from unhealthy ones when as many are tried as may be at a time.
void
EntryHost::Impl::UpdateControlLinks()
{
  const auto isHealthy = [this](const HostId& aHost) { return this->state.IsHealthy(aHost); };
  const std::vector<HostId> selected = this->links.Select(isHealthy, this->clock.MonotonicNow());
  for (const HostId& host : selected) {
    this->mesh.Dial(host);
  }
  const auto healthy = std::count_if(selected.begin(), selected.end(), isHealthy);
  const bool enough = static_cast<std::size_t>(healthy) >= ControlHostSelector::kHealthyLinks;
  const bool manyPending = selected.size() >= ControlHostSelector::kMaxPending;
  for (const auto& [host, zone] : this->links.Known()) {
    const bool isSelected = std::find(selected.begin(), selected.end(), host) != selected.end();
    const bool isUseless = enough || (manyPending && !isHealthy(host));
    if (!isSelected && isUseless) {
      this->mesh.Disconnect(host);
    }
  }
}

void
EntryHost::Impl::OnPeerUp(const HostId& aPeer, LinkSide /*aSide*/)
{
  this->SendToControlHost(aPeer, Greeting{ HostRole::Entry, this->settings.zone, {} });
  this->state.OnConnection(aPeer, true);
}

void
EntryHost::Impl::OnPeerDown(const HostId& aPeer, LinkSide /*aSide*/)
{
  this->state.OnConnection(aPeer, false);
  this->configuration.OnDisconnected(aPeer);
  this->crashFilter.OnLost(aPeer);
  // The peer has dropped this host's reports. If it reconnects, it must be sent everything again.
  this->hub.OnLost(aPeer);
}

void
EntryHost::Impl::OnPeerMessage(const HostId& aPeer, PeerMessage aMessage)
{
  this->hub.OnMessageFrom(aPeer);
  auto message = DecodeServingMessage(aMessage.payload);
  if (!message) {
    LogEvent(LogLevel::Warning, "peer_message_unreadable")
      .With("from", aPeer)
      .With("error", message.error());
    return;
  }
  if (const auto* report = std::get_if<LoadReport>(&message.value())) {
    // Only the hub's sums are used: those of another control host cover the same calls.
    if (this->hub.Hub() == aPeer) {
      this->picker.ApplySum(*report, this->clock.MonotonicNow());
      this->ApplyRateLimits(*report);
      this->ApplyBrittleServices(*report);
    }
    this->slowStores.Merge(report->excesses);
    this->health.Take(report->findings);
    return;
  }
  if (const auto* chunk = std::get_if<DocumentChunk>(&message.value())) {
    this->configuration.OnChunk(aPeer, *chunk);
    return;
  }
  if (const auto* hosts = std::get_if<ForwardingHosts>(&message.value())) {
    this->forwarder.SetHosts(hosts->hosts);
    return;
  }
  if (const auto* response = std::get_if<StreamOriginResponse>(&message.value())) {
    this->originResolver.OnResponse(aPeer, *response);
    return;
  }
  if (const auto* update = std::get_if<ServingUpdate>(&message.value())) {
    this->ApplyUpdate(aPeer, *update);
  }
}

void
EntryHost::Impl::ApplyUpdate(const HostId& aPeer, const ServingUpdate& aUpdate)
{
  const bool wasHealthy = this->state.IsHealthy(aPeer);
  this->state.Apply(aPeer, aUpdate);
  if (!aUpdate.subsets.empty() && this->hub.Hub() == aPeer) {
    // The hub sends all totals of the targets that this host uses now.
    this->picker.RemoveSumsBefore(this->clock.MonotonicNow());
  }
  this->configuration.OnUpdate(aPeer, aUpdate);
  if (aUpdate.crashing) {
    this->ApplyCrashVerdicts(aPeer, *aUpdate.crashing);
  }
  this->ConfirmTerminations(aUpdate);
  for (const TargetRecord& target : this->state.Targets().TakeRestarted()) {
    this->ReportCrashes(this->interrupted.TakeConfirmedByStart(target), "restarted");
    LogEvent(LogLevel::Info, "target_restarted")
      .With("target", target.id)
      .With("incarnation", target.incarnation)
      .With("sequence", target.sequence);
    this->picker.OnRestart(target);
    this->health.OnRestart(target.id);
    this->limits.OnRestart(target.id);
  }
  this->ApplyColdStarts(aUpdate.targets);
  this->ApplyEvacuations();
  this->retries.SetHosts(this->state.EntryHosts());
  const bool discovered = this->links.AddHosts(this->state.TakeDiscoveredControlHosts());
  if (discovered || this->state.IsHealthy(aPeer) != wasHealthy) {
    this->UpdateControlLinks();
  }
}

// Finds out from an update which targets had ended when their responses broke off: they were
// replaced, or became silent. When most of a zone is silent at once, the network is the likelier
// cause.
void
EntryHost::Impl::ConfirmTerminations(const ServingUpdate& aUpdate)
{
  for (const TargetRecord& target : this->state.Targets().TakeDiscovered()) {
    this->ReportCrashes(this->interrupted.TakeConfirmedByStart(target), "replaced");
  }
  for (const TargetUpdate& update : aUpdate.targets) {
    const TargetRecord& record = update.record;
    const bool terminated = update.standing == TargetAvailability::Silent &&
                            !this->interrupted.IsEmpty() &&
                            !this->state.Targets().IsMostlySilent(record.zone);
    if (terminated) {
      this->ReportCrashes(this->interrupted.TakeConfirmedBySilence(record), "silent");
    }
  }
}

void
EntryHost::Impl::ReportCrashes(const std::vector<CrashReport>& aReports, std::string_view aEvidence)
{
  for (const CrashReport& report : aReports) {
    LogEvent(LogLevel::Info, "target_ended_under_request")
      .With("fingerprint", report.request)
      .With("target", report.target)
      .With("incarnation", report.incarnation)
      .With("proof", aEvidence);
    this->AddCrash(report);
  }
}

void
EntryHost::Impl::AddCrash(CrashReport aReport)
{
  this->metrics.Add(Counter::CrashReports, MetricKey{}, 1);
  this->crashFilter.OnCrash(std::move(aReport));
}

void
EntryHost::Impl::ApplyBrittleServices(const LoadReport& aReport)
{
  for (const BrittleService& report : aReport.brittle) {
    if (!this->brittle.IsBrittle(report.service)) {
      LogEvent(LogLevel::Info, "service_brittle")
        .With("from", aReport.host)
        .With("service", report.service)
        .With("tolerated_per_second", report.tolerated.perSecond)
        .With("run_ms", WholeMilliseconds(report.runTime));
    }
    this->brittle.OnReport(report);
  }
}

// Returns how cold targets of the service must be spared; nothing if they can take full load.
std::optional<ColdStartSpec>
EntryHost::Impl::ColdStartSpecOf(const ServiceName& aService) const
{
  const RoutesPtr& routes = this->state.Routes();
  const ServingService* service =
    routes == nullptr ? nullptr : routes->Config().FindService(aService);
  return service == nullptr ? std::nullopt : service->cold;
}

void
EntryHost::Impl::ApplyColdStarts(const std::vector<TargetUpdate>& aTargets)
{
  const bool unconfigured = this->state.Routes() == nullptr;
  for (const TargetUpdate& update : aTargets) {
    const TargetRecord& record = update.record;
    if (record.coldFor <= Duration::zero()) {
      continue;
    }
    const TargetRecord* newest = this->state.Targets().Find(record.id);
    const bool isNewest = newest != nullptr && newest->sequence <= record.sequence;
    if (isNewest && (unconfigured || this->ColdStartSpecOf(record.service))) {
      this->limits.OnCold(record, record.coldFor);
      LogEvent(LogLevel::Info, "target_cold")
        .With("target", record.id)
        .With("sequence", record.sequence)
        .With("cold_ms", WholeMilliseconds(record.coldFor));
    }
  }
}

// Applies zones that were evacuated or returned. Targets of a returned zone may have become cold in
// the meantime without having reported it yet, so they are treated as cold.
void
EntryHost::Impl::ApplyEvacuations()
{
  for (const ZoneId& zone : this->state.TakeEvacuated()) {
    for (const TargetRecord& target : this->state.Targets().InZone(zone)) {
      this->pool.CloseIdle(target.endpoint);
    }
    LogEvent(LogLevel::Info, "zone_evacuated").With("zone", zone);
  }
  for (const ZoneId& zone : this->state.TakeReturned()) {
    for (const TargetRecord& target : this->state.Targets().InZone(zone)) {
      if (const std::optional<ColdStartSpec> cold = this->ColdStartSpecOf(target.service)) {
        this->limits.OnCold(target, cold->lasts);
      }
    }
    LogEvent(LogLevel::Info, "zone_returned").With("zone", zone);
  }
}

void
EntryHost::Impl::ApplyRateLimits(const LoadReport& aReport)
{
  if (!aReport.limits) {
    return;
  }
  this->limits.SetShares(*aReport.limits);
  for (const TargetLimit& limit : *aReport.limits) {
    LogEvent(LogLevel::Info, "target_limit_told")
      .With("target", limit.target)
      .With("limit_per_second", limit.limit.value_or(RequestRate()).perSecond)
      .With("cold_ms", WholeMilliseconds(limit.coldFor))
      .With("hosts", limit.hosts.size())
      .With("share_per_second",
            limit.hosts.contains(this->settings.host) ? limit.share.perSecond : 0);
  }
}

void
EntryHost::Impl::ApplyCrashVerdicts(const HostId& aPeer, const CrashingRequests& aVerdicts)
{
  this->crashFilter.SetVerdicts(aPeer, aVerdicts);
  LogEvent(LogLevel::Info, "crashing_requests_told")
    .With("from", aPeer)
    .With("refused", aVerdicts.refused.size())
    .With("suspected", aVerdicts.suspected.size());
}

void
EntryHost::Impl::OnConfigurationInstalled()
{
  this->firstConfiguration.OnInForce();
  if (this->IsReady() && !this->wasReady) {
    this->wasReady = true;
    LogEvent(LogLevel::Info, "ready").With("version", this->state.Routes()->Config().version);
  }
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
