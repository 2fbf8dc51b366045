// What an entry host tells control hosts, and what it does with what it hears from them. The rest
// of the class is in EntryHost.cpp.
#include <algorithm>

#include "EntryHostImpl.h"
#include "damasklink/protocol/ServingCodec.h"
#include "damasklink/state/Units.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

// How often an entry host sends its load report. A prefill takes 20 to 100 ms, so an older report
// would say little about the prompts that targets have yet to prefill.
constexpr Duration kLoadReportInterval = std::chrono::milliseconds(100);
static_assert(kLoadReportInterval == ConnectionAdmission::kInterval);

} // namespace

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

// Returns how late the next load report is because of this host's load. The system is asked for the
// thread's times only if it is late.
Duration
EntryHost::Impl::LagOfLoad() const
{
  const Duration lag = this->IntervalLag();
  if (lag <= ConnectionAdmission::kMaxLag) {
    return lag;
  }
  const Result<ThreadTimes> times = ReadThreadTimes();
  return times ? this->stalls.LagOfLoad(lag, times.value().running - this->loopTimes.running) : lag;
}

// Logs what a late event loop did since the last interval: it ran, waited for a processor, or was
// blocked for the rest.
void
EntryHost::Impl::LogLateness(Duration aLag, bool aOverloaded)
{
  const Result<ThreadTimes> times = ReadThreadTimes();
  const MonotonicTime now = this->clock.MonotonicNow();
  if (times && aLag > ConnectionAdmission::kMaxLag) {
    const Duration running = times.value().running - this->loopTimes.running;
    const Duration waiting =
      times.value().waitingForProcessor - this->loopTimes.waitingForProcessor;
    LogEvent(LogLevel::Warning, "event_loop_late")
      .With("lag_ms", WholeMilliseconds(aLag))
      .With("since_ms", WholeMilliseconds(now - this->loopTimesAt))
      .With("running_ms", WholeMilliseconds(running))
      .With("waiting_for_processor_ms", WholeMilliseconds(waiting))
      .With("overloaded", aOverloaded);
  }
  this->loopTimes = times ? times.value() : ThreadTimes{};
  this->loopTimesAt = now;
}

// Adapts the limit of new connections to the delay of the event loop.
void
EntryHost::Impl::UpdateAdmission()
{
  const Duration lag = this->IntervalLag();
  const RefusalCounts declined = this->refuser.TakeCounts();
  const bool before = this->admission.IsOverloaded();
  this->admission.OnInterval(this->LagOfLoad());
  this->stalls.OnInterval(lag);
  this->LogLateness(lag, this->admission.IsOverloaded());
  this->ends.OnInterval();
  this->context.overloaded = this->admission.IsOverloaded();
  const bool limited = declined.refused > 0 || declined.closedUnread > 0;
  if (limited || before != this->context.overloaded) {
    LogEvent(LogLevel::Info, "connections_limited")
      .With("overloaded", this->context.overloaded)
      .With("lag_ms", WholeMilliseconds(lag))
      .With("refused", declined.refused)
      .With("closed_unread", declined.closedUnread)
      .With("next_limit", this->admission.Limit());
    this->metrics.Add(Counter::ClosedUnread, MetricKey{}, declined.closedUnread);
    this->metrics.Add(
      Counter::Refusals, MetricKey{ WorkspaceId(), "connection_limit" }, declined.refused);
  }
}

// Averages the use of the services, which decides whether there is room for hedges.
void
EntryHost::Impl::UpdateHedges()
{
  HedgePolicy& policy = this->context.hedgePolicy;
  if (!policy.IsOn() || this->state.Routes() == nullptr) {
    return;
  }
  for (const ServingService& service : this->state.Routes()->Config().services) {
    std::uint64_t taken = 0;
    std::uint64_t slots = 0;
    for (const TargetRecord& target : this->state.Targets().Usable(service.name)) {
      taken += this->picker.LoadOf(target.id).requests;
      slots += target.load.slots;
    }
    if (slots > 0) {
      policy.ObserveUse(service.name, static_cast<double>(taken) / static_cast<double>(slots));
    }
  }
}

// Selects the hub, sends it what changed, and schedules the next call of itself.
void
EntryHost::Impl::ReportLoadPeriodically()
{
  this->UpdateAdmission();
  this->UpdateCrowded();
  this->UpdateHedges();
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

// Finds the services most of whose targets are loaded.
void
EntryHost::Impl::UpdateCrowded()
{
  if (this->state.Routes() == nullptr) {
    return;
  }
  const ServingConfig& config = this->state.Routes()->Config();
  std::erase_if(this->context.crowded, [&config](const ServiceName& aName) {
    const ServingService* service = config.FindService(aName);
    return service == nullptr || !service->engine;
  });
  for (const ServingService& service : config.services) {
    if (!service.engine) {
      continue;
    }
    const bool before = this->context.crowded.contains(service.name);
    const bool now = this->picker.IsCrowded(this->state.Targets().Usable(service.name),
                                            service.engine->cacheTokens);
    if (now == before) {
      continue;
    }
    if (now) {
      this->context.crowded.insert(service.name);
    } else {
      this->context.crowded.erase(service.name);
    }
    LogEvent(LogLevel::Info, now ? "service_crowded" : "service_not_crowded")
      .With("service", service.name)
      .With("targets", this->state.Targets().Usable(service.name).size())
      .With("hosts", this->state.EntryHosts())
      .With("waiting", this->room.Count());
  }
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
  this->context.hedges.SetHosts(this->state.EntryHosts());
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
  this->room.OnConfiguration();
  const Duration newIdleTimeout = this->Current().limits.idleTimeout;
  if (newIdleTimeout != this->idleTimeout) {
    this->idleTimeout = newIdleTimeout;
    for (const std::shared_ptr<CallerConnection>& channel : this->open) {
      channel->OnLimitsChanged();
    }
  }
  if (this->IsReady() && !this->wasReady) {
    this->wasReady = true;
    LogEvent(LogLevel::Info, "ready").With("version", this->state.Routes()->Config().version);
  }
}

} // namespace damasklink
