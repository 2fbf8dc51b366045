#include "ControlHost.h"

#include <algorithm>

#include "ControlCallHandler.h"
#include "MetricsServer.h"
#include "RefusalProposer.h"
#include "RolloutExecutor.h"
#include "ServingGroup.h"
#include "ServingSignals.h"
#include "ServingUpdatePublisher.h"
#include "SoftwareVersionProposer.h"
#include "StoreWatcher.h"
#include "TargetTracker.h"
#include "damasklink/coordination/OwnMemory.h"
#include "damasklink/coordination/ServiceLevelWindows.h"
#include "damasklink/coordination/StableWeightVersions.h"
#include "damasklink/coordination/WeightAgeTracker.h"
#include "damasklink/protocol/ServingCodec.h"
#include "damasklink/state/MetricsRegistry.h"
#include "damasklink/state/ProcessMemory.h"
#include "damasklink/transport/ConnectionListener.h"
#include "damasklink/transport/Log.h"
#include "damasklink/transport/PeerMesh.h"

namespace damasklink {
namespace {

// Interval at which the timers of the control group are checked. An election may be late by as
// much.
constexpr Duration kTick = std::chrono::milliseconds(25);

// Interval at which changes of targets are published, in batches.
constexpr Duration kPublishInterval = std::chrono::milliseconds(100);

// Interval at which the load reports of entry hosts are summed and passed on. Entry hosts report
// every 100 ms at different moments; a shorter interval would only cause more messages.
constexpr Duration kLoadInterval = std::chrono::milliseconds(50);

// A target counts as silent after this many heartbeats plus kFailoverTime without one. The latter
// allows for its search for a control host that answers: a second for each that does not, with
// pauses between. The long limit is harmless since a target that is unreachable is detected by
// failing connections long before.
constexpr int kMaxMissedHeartbeats = 3;
constexpr Duration kFailoverTime = std::chrono::seconds(4);

// Added to the time that must pass between orders of two lease holders, since an order may wait
// this long in a queue after the lease was checked.
constexpr Duration kOrderMargin = std::chrono::milliseconds(300);

// Share of the time allowed for new weights within which orders to all engines are sent. The rest
// is for the last engines to finish their runs and load the weights, and for lost orders.
constexpr double kRolloutShare = 0.5;

// Delay between a failure of the log and the end of the process: a process that is restarted at
// once would only fail again.
constexpr Duration kFailureExitDelay = std::chrono::milliseconds(1500);

// Delay between the moment at which the last engine has newer weights and the freeing of parts made
// by older weights. A transfer may take two seconds, and engines report their weights some hundred
// milliseconds late.
constexpr Duration kWeightsSettleTime = std::chrono::seconds(4);

// Interval between two searches for unused parts. Each search visits all stored parts.
constexpr Duration kFreeInterval = std::chrono::seconds(1);

// Interval between two removals of expired records. Each visits all of them.
constexpr Duration kExpiryInterval = std::chrono::seconds(1);

// Time for the transfer of leadership to reach the successor before the process ends.
constexpr Duration kLeadershipTransferTime = std::chrono::milliseconds(400);

// Returns how long after its beginning a stream may be resumed. A caller that resumes a stream has
// the time of its route once more.
Duration
LongestStream(const ServingConfig& aConfig)
{
  Duration longest{ 0 };
  for (const ServingRoute& route : aConfig.routes) {
    if (route.resumable) {
      longest = std::max(longest, route.timeout);
    }
  }
  return longest * 2;
}

} // namespace

class ControlHost::Impl final : public PeerMeshHandler
{
public:
  Impl(ServingSettings aSettings,
       const ControlDialect& aDialect,
       const StoreDialect& aStores,
       const EngineDialect& aEngines,
       SettingsReader aReader)
    : settings(std::move(aSettings))
    , dialect(aDialect)
    , mesh(this->loop, this->settings.host, this->settings.peerPort, this->memory, *this)
    , group(this->loop,
            this->clock,
            this->settings,
            this->metrics,
            this->mesh,
            [this] { this->OnStateApplied(); })
    , tracker(this->clock, this->SilenceLimit())
    , stores(this->loop,
             this->clock,
             aStores,
             this->storePlan,
             this->memory,
             { [this](const auto& aUpdates) { this->publisher.PublishStores(aUpdates); },
               [this](const auto& aUpdates) { this->publisher.RelayStores(aUpdates); } })
    , rollout(this->loop,
              this->clock,
              aEngines,
              this->memory,
              this->Options(),
              [this] { return this->group.Authority(); })
    , calls(this->clock,
            this->settings,
            aDialect,
            this->group,
            this->tracker,
            this->metrics,
            this->account,
            this->memory,
            this->loop,
            [this] { this->PublishTargets(); })
    , signals(this->loop, std::move(aReader))
    , ticker(this->loop)
  {
    this->tracker.SetCommittedDepartures(this->group.State().Departed());
  }

  Result<void> Run();

  void OnPeerUp(const HostId& aPeer, LinkSide aSide) override;
  void OnPeerDown(const HostId& aPeer, LinkSide aSide) override;
  void OnPeerMessage(const HostId& aPeer, PeerMessage aMessage) override;

private:
  Duration SilenceLimit() const;
  RolloutOptions Options() const;
  std::map<ModelName, DesiredWeights> DesiredWeightsOfModels() const;
  void StepRollout();
  void FreeUnusedParts();
  void Stop();
  void Tick();
  void StepGroup();
  void StepWeightAges();
  void LogWeightAges(const HostId& aFrom);
  bool StopAfterFailure();
  // Measures what the process uses for itself.
  void UpdateMemory();
  void PublishTargets();
  void OnStateApplied();
  void ApplyServices();
  void ApplyDepartures();
  void ApplyEvacuations();
  void RecordEvacuation(const ZoneId& aZone, bool aEvacuated);
  Result<ServingMessage> Decode(const std::string& aPayload);
  void OnServingMessage(const HostId& aPeer, const ServingMessage& aMessage);
  void OnGreeting(const HostId& aPeer, const Greeting& aGreeting);
  void AddControlHosts(const std::vector<HostId>& aHosts);
  void AddControlHost(const HostId& aHost, const ZoneId& aZone);

  ServingSettings settings;
  const ControlDialect& dialect;
  SystemClock clock;
  ServiceLevelWindows serviceLevels{ this->clock, kMostMetricSeries };
  MetricsRegistry metrics{ this->clock, this->serviceLevels, kMostMetricSeries };
  WorkStatistics account{ this->clock, this->metrics };
  // Outlives what is cut off when the loop is destroyed.
  MemoryBudget memory{ this->settings.memory };
  OwnMemory ownMemory;
  asio::io_context loop{ 1 };
  PeerMesh mesh;
  ServingGroup group;
  TargetTracker tracker;
  StoreWatchPlan storePlan{ this->settings.host, this->settings.zone };
  StoreWatcher stores;
  RolloutExecutor rollout;
  WeightAgeTracker weightAges{ this->clock, this->settings.weightsWithin };
  StableWeightVersions settledWeights{ this->clock, kWeightsSettleTime };
  HostRegistry hosts{ this->settings.host, this->settings.zone };
  CrashRegistry crashes{ this->clock };
  RefusalProposer refusals{ this->loop, this->group, this->crashes };
  SoftwareVersionProposer software{ this->loop, this->group, this->tracker.Versions() };
  ServingUpdatePublisher publisher{ this->clock,   this->settings, this->group,   this->stores,
                                    this->tracker, this->hosts,    this->crashes, this->weightAges,
                                    this->mesh,    this->metrics,  this->account };
  MetricsServer metricsPage{ this->loop, this->metrics, this->memory, this->settings.host };
  ControlCallHandler calls;
  ConnectionListener callers{ this->loop };
  ServingSignals signals;
  asio::steady_timer ticker;
  // The version of the configuration whose services were applied last.
  Revision appliedVersion;
  // The number of departures that were applied.
  std::uint64_t appliedDepartures = 0;
  // The changes of the ages of weights that were logged.
  std::uint64_t loggedWeightAges = 0;
  // Zones that were evacuated in the state that was applied last.
  std::set<ZoneId> evacuated;
  MonotonicTime nextPublish;
  MonotonicTime nextFreeing;
  MonotonicTime nextLoads;
  MonotonicTime nextExpiry;
  MonotonicTime failureExitAt;
};

// Returns how long a target may be silent before it counts as gone.
Duration
ControlHost::Impl::SilenceLimit() const
{
  return this->settings.targetHeartbeat * kMaxMissedHeartbeats + kFailoverTime;
}

RolloutOptions
ControlHost::Impl::Options() const
{
  RolloutOptions options;
  options.orderLease = this->settings.orderLease + kOrderMargin;
  options.rolloutDuration =
    std::chrono::duration_cast<Duration>(this->settings.weightsWithin * kRolloutShare);
  return options;
}

// Frees parts made by older weights and parts that were never completely written: they use space in
// the stores and cannot be read.
void
ControlHost::Impl::FreeUnusedParts()
{
  if (this->clock.MonotonicNow() < this->nextFreeing) {
    return;
  }
  this->nextFreeing = this->clock.MonotonicNow() + kFreeInterval;
  this->settledWeights.Update(this->tracker.RemainingEngines());
  if (this->group.HasRecentLeader()) {
    this->stores.FreeUnused(this->settledWeights.MinimumVersions(), this->group.HoldsLease());
  }
}

std::map<ModelName, DesiredWeights>
ControlHost::Impl::DesiredWeightsOfModels() const
{
  const Duration allowed = this->settings.weightsWithin - kMaxEngineQueueTime;
  std::map<ModelName, DesiredWeights> desired;
  for (const auto& [model, version] : this->group.State().Weights()) {
    desired[model] = DesiredWeights{ version, this->weightAges.Ages().NewestOfAge(model, allowed) };
  }
  return desired;
}

void
ControlHost::Impl::StepRollout()
{
  const WorkTimer timer(this->account, Work::TargetSteps);
  this->rollout.Step(this->DesiredWeightsOfModels(), this->tracker.UsableEngines());
  this->FreeUnusedParts();
  this->tracker.SetPaused(this->rollout.Rollout().Paused());
  this->tracker.SetReportedWeights(this->rollout.Rollout().Reported());
}

Result<void>
ControlHost::Impl::Run()
{
  if (auto opened = this->group.Open(); !opened) {
    return opened;
  }
  if (auto listening = this->mesh.Listen(); !listening) {
    return listening;
  }
  auto serve = [this](auto aChannel) { return this->calls.Serve(std::move(aChannel)); };
  if (auto listening = this->callers.Listen(this->settings.control, serve); !listening) {
    return listening;
  }
  if (auto listening = this->metricsPage.Listen(this->settings.metrics); !listening) {
    return listening;
  }
  LogEvent(LogLevel::Info, "control_started")
    .With("host", this->settings.host)
    .With("name", this->settings.name)
    .With("zone", this->settings.zone)
    .With("first_start", this->settings.firstStart)
    .With("control", FormatEndpoint(this->settings.control));
  this->AddControlHosts(this->settings.seeds);
  this->signals.Wait(
    [this](const ServingSettings& aFresh) {
      this->settings.regions = aFresh.regions;
      this->AddControlHosts(aFresh.seeds);
    },
    [this] { this->Stop(); });
  this->Tick();
  this->loop.run();
  LogEvent(LogLevel::Info, "control_stopped").With("host", this->settings.host);
  if (const std::optional<Error> failure = this->group.Failure()) {
    return Fail(*failure);
  }
  return Success();
}

void
ControlHost::Impl::Tick()
{
  this->StepGroup();
  this->StepWeightAges();
  this->account.Step();
  if (this->StopAfterFailure()) {
    return;
  }
  this->stores.UpdateRoles();
  if (this->clock.MonotonicNow() >= this->nextPublish) {
    this->PublishTargets();
  }
  if (this->clock.MonotonicNow() >= this->nextExpiry) {
    this->nextExpiry = this->clock.MonotonicNow() + kExpiryInterval;
    this->UpdateMemory();
    // Members that are not seeds are dialed, too: after a restart of all hosts nobody else may name
    // them. The log may be read only later, when the disk works.
    this->AddControlHosts(this->group.Members());
    this->publisher.RemoveExpired();
    this->tracker.Versions().RemoveExpired();
  }
  if (this->clock.MonotonicNow() >= this->nextLoads || this->publisher.HasUrgentReport()) {
    this->nextLoads = this->clock.MonotonicNow() + kLoadInterval;
    this->publisher.PublishLoads();
    this->stores.PublishChanges();
  }
  this->ticker.expires_after(kTick);
  this->ticker.async_wait([this](const IoError& aError) {
    if (!aError) {
      this->Tick();
    }
  });
}

void
ControlHost::Impl::UpdateMemory()
{
  const auto resident = ReadResidentMemory();
  if (!resident) {
    LogEvent(LogLevel::Debug, "memory_not_read").With("error", resident.error());
    return;
  }
  this->ownMemory.Update(resident.value(), this->memory);
}

void
ControlHost::Impl::StepGroup()
{
  const WorkTimer timer(this->account, Work::Agreement);
  this->group.Step();
}

void
ControlHost::Impl::StepWeightAges()
{
  this->weightAges.Step(this->group.HasRecentLeader());
  this->LogWeightAges(this->settings.host);
  this->publisher.PublishWeights();
}

// Logs what this host knows of the ages of weights if that has changed.
void
ControlHost::Impl::LogWeightAges(const HostId& aFrom)
{
  if (std::exchange(this->loggedWeightAges, this->weightAges.Changes()) ==
      this->weightAges.Changes()) {
    return;
  }
  for (const AnnouncedWeights& announced : this->weightAges.Ages().All()) {
    LogEvent(LogLevel::Info, "weights_known")
      .With("model", announced.model)
      .With("version", announced.version)
      .With("age_known", announced.age.has_value())
      .With("age_ms", WholeMilliseconds(announced.age.value_or(Duration::zero())))
      .With("from", aFrom);
  }
}

// Stops the event loop when the log has failed for good, and returns whether it did; Run() then
// returns the error. A disk that only refuses writes is no such failure: the log is retried, this
// host sends nothing to the group meanwhile, so the others elect a leader without it, and it still
// serves targets and entry hosts.
bool
ControlHost::Impl::StopAfterFailure()
{
  const MonotonicTime now = this->clock.MonotonicNow();
  if (!this->group.Failure()) {
    this->failureExitAt = now + kFailureExitDelay;
    return false;
  }
  if (now < this->failureExitAt) {
    return false;
  }
  this->mesh.Stop();
  this->loop.stop();
  return true;
}

void
ControlHost::Impl::PublishTargets()
{
  this->tracker.Versions().OnStep();
  if (!this->group.HasRecentLeader()) {
    this->tracker.Versions().OnIsolated();
  }
  this->ApplyDepartures();
  this->StepRollout();
  this->refusals.Step();
  this->software.Step();
  this->nextPublish = this->clock.MonotonicNow() + kPublishInterval;
  this->publisher.PublishChanges();
}

void
ControlHost::Impl::OnStateApplied()
{
  const ServingStateMachine& state = this->group.State();
  LogEvent(LogLevel::Info, "configuration_applied")
    .With("version", state.Version())
    .With("entry_hosts", this->hosts.EntryHosts().size());
  this->ApplyEvacuations();
  this->weightAges.OnApplied(state.Weights());
  this->publisher.PublishGroupState();
  this->publisher.PublishWeights();
  if (state.Version() != this->appliedVersion) {
    this->appliedVersion = state.Version();
    this->ApplyServices();
  }
}

// Parses the whole document, which takes long with thousands of routes. Therefore it is called only
// for a new version of the document, not for each change of weights.
void
ControlHost::Impl::ApplyServices()
{
  const auto config = this->dialect.ReadConfig(this->group.State().Document());
  if (!config) {
    LogEvent(LogLevel::Error, "configuration_unreadable")
      .With("version", this->appliedVersion)
      .With("error", config.error());
    return;
  }
  this->stores.Follow(config.value().services);
  std::set<ServiceName> services;
  std::map<ServiceName, ColdStartSpec> cold;
  for (const ServingService& service : config.value().services) {
    services.insert(service.name);
    if (service.cold) {
      cold.emplace(service.name, *service.cold);
    }
  }
  this->tracker.Versions().SetRetention(LongestStream(config.value()) + this->SilenceLimit());
  this->tracker.SetServices(std::move(services));
  this->tracker.SetColdStartSpecs(std::move(cold));
}

// Targets may be known as usable from heartbeats that were handled before the departures were
// applied, as after a restart.
void
ControlHost::Impl::ApplyDepartures()
{
  const DepartedTargets& departed = this->group.State().Departed();
  for (const DepartedTarget& departure : departed.After(this->appliedDepartures)) {
    this->tracker.OnDepartureCommitted(departure);
  }
  this->appliedDepartures = departed.Count();
}

void
ControlHost::Impl::ApplyEvacuations()
{
  std::set<ZoneId> now = this->group.State().Evacuated().Current().zones;
  for (const ZoneId& zone : this->evacuated) {
    if (!now.contains(zone)) {
      this->RecordEvacuation(zone, false);
      this->tracker.OnZoneReturned(zone);
    }
  }
  for (const ZoneId& zone : now) {
    if (!this->evacuated.contains(zone)) {
      this->RecordEvacuation(zone, true);
    }
  }
  this->evacuated = std::move(now);
}

void
ControlHost::Impl::RecordEvacuation(const ZoneId& aZone, bool aEvacuated)
{
  LogEvent(LogLevel::Info, "evacuation_applied").With("zone", aZone).With("evacuated", aEvacuated);
  this->metrics.Add(
    Counter::Evacuations, MetricKey{ WorkspaceId(), aEvacuated ? "evacuated" : "returned" }, 1);
}

void
ControlHost::Impl::OnPeerUp(const HostId& aPeer, LinkSide aSide)
{
  this->group.OnPeerUp(aPeer);
  if (aSide == LinkSide::Dialed) {
    this->storePlan.OnConnection(aPeer, true);
    this->publisher.SendGreeting(aPeer);
  }
}

void
ControlHost::Impl::OnPeerDown(const HostId& aPeer, LinkSide aSide)
{
  if (aSide == LinkSide::Dialed) {
    this->storePlan.OnConnection(aPeer, false);
    return;
  }
  this->hosts.OnDisconnected(aPeer);
  this->publisher.OnLost(aPeer);
  this->stores.OnDisconnected(aPeer);
}

void
ControlHost::Impl::OnPeerMessage(const HostId& aPeer, PeerMessage aMessage)
{
  if (aMessage.channel == Channel::Agreement) {
    const WorkTimer timer(this->account, Work::Agreement);
    this->account.CountReceived(Work::Agreement, aMessage.payload.size());
    this->group.OnPeerMessage(aPeer, aMessage);
    return;
  }
  auto message = this->Decode(aMessage.payload);
  if (!message) {
    LogEvent(LogLevel::Warning, "message_refused")
      .With("from", aPeer)
      .With("error", message.error());
    return;
  }
  const Work work = WorkOf(message.value());
  const WorkTimer timer(this->account, work);
  this->account.CountReceived(work, aMessage.payload.size());
  this->OnServingMessage(aPeer, message.value());
}

Result<ServingMessage>
ControlHost::Impl::Decode(const std::string& aPayload)
{
  const WorkTimer timer(this->account, Work::Decoding);
  return DecodeServingMessage(aPayload);
}

void
ControlHost::Impl::OnServingMessage(const HostId& aPeer, const ServingMessage& aMessage)
{
  if (const auto* greeting = std::get_if<Greeting>(&aMessage)) {
    this->OnGreeting(aPeer, *greeting);
  } else if (const auto* report = std::get_if<LoadReport>(&aMessage)) {
    this->publisher.OnLoadReport(aPeer, *report);
  } else if (const auto* request = std::get_if<DocumentRequest>(&aMessage)) {
    this->publisher.Answer(aPeer, *request);
  } else if (const auto* lookup = std::get_if<StreamOriginRequest>(&aMessage)) {
    this->publisher.Answer(aPeer, *lookup);
  } else if (const auto* query = std::get_if<ForwardingHostsRequest>(&aMessage)) {
    this->hosts.SetCutOff(aPeer, query->cutOff, this->clock.MonotonicNow());
    this->publisher.SendForwardingHosts(aPeer);
  } else if (const auto* list = std::get_if<EntryHostList>(&aMessage)) {
    this->hosts.SetEntryHostsOf(aPeer, *list);
  } else if (const auto* update = std::get_if<ServingUpdate>(&aMessage)) {
    for (const TargetUpdate& target : update->targets) {
      this->tracker.OnRelayedRecord(target.record);
    }
    this->stores.OnRelayed(aPeer, update->stores);
    this->weightAges.OnTold(update->weights);
    this->LogWeightAges(aPeer);
  }
}

void
ControlHost::Impl::OnGreeting(const HostId& aPeer, const Greeting& aGreeting)
{
  if (aGreeting.role == HostRole::Entry) {
    this->hosts.OnEntryHostConnected(aPeer, aGreeting.zone);
    this->publisher.SendSnapshot(aPeer);
    return;
  }
  this->AddControlHost(aPeer, aGreeting.zone);
  for (const auto& [host, zone] : aGreeting.controlHosts) {
    this->AddControlHost(host, zone);
  }
}

void
ControlHost::Impl::AddControlHosts(const std::vector<HostId>& aHosts)
{
  for (const HostId& host : aHosts) {
    this->AddControlHost(host, ZoneId());
  }
}

// Registers and dials a control host that was not known. The zone is empty if the source does not
// know it.
void
ControlHost::Impl::AddControlHost(const HostId& aHost, const ZoneId& aZone)
{
  this->storePlan.AddHost(aHost, aZone);
  if (!this->hosts.AddControlHost(aHost, aZone)) {
    return;
  }
  LogEvent(LogLevel::Info, "control_host_learnt").With("peer", aHost);
  this->group.AddDiscoveredHost(aHost);
  this->mesh.Dial(aHost);
}

void
ControlHost::Impl::Stop()
{
  this->group.TransferLeadership();
  const auto last = std::make_shared<asio::steady_timer>(this->loop, kLeadershipTransferTime);
  last->async_wait([this, last](const IoError&) {
    this->mesh.Stop();
    this->loop.stop();
  });
}

ControlHost::ControlHost(ServingSettings aSettings,
                         const ControlDialect& aDialect,
                         const StoreDialect& aStores,
                         const EngineDialect& aEngines,
                         SettingsReader aReader)
  : impl(
      std::make_unique<Impl>(std::move(aSettings), aDialect, aStores, aEngines, std::move(aReader)))
{
}

ControlHost::~ControlHost() = default;

Result<void>
ControlHost::Run()
{
  return this->impl->Run();
}

} // namespace damasklink
