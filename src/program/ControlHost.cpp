#include "ControlHost.h"

#include "ControlCalls.h"
#include "ControlPicture.h"
#include "MetricsPage.h"
#include "PictureTeller.h"
#include "RefusalDesk.h"
#include "ServingGroup.h"
#include "ServingSignals.h"
#include "StoreWatcher.h"
#include "WeightsDesk.h"
#include "damasklink/coordination/ServiceLevelWindows.h"
#include "damasklink/coordination/SettledWeights.h"
#include "damasklink/protocol/ServingCodec.h"
#include "damasklink/state/MetricsRegistry.h"
#include "damasklink/transport/ChannelListener.h"
#include "damasklink/transport/Log.h"
#include "damasklink/transport/PeerMesh.h"

namespace damasklink {
namespace {

// Between two looks at timers of agreement; an election is late by as much at most.
constexpr Duration kTick = std::chrono::milliseconds(25);

// What is heard of targets is passed on in batches this far apart.
constexpr Duration kSpreadStep = std::chrono::milliseconds(100);

// What entry hosts tell of their loads is added up for so long before it is passed on: they tell
// every 100 ms, not all at once, and a shorter wait would only make more messages.
constexpr Duration kTellStep = std::chrono::milliseconds(50);

// Heartbeats that may be missed before a target counts as silent, and how long its search for a
// control host that answers may take on top: a second for each that does not, with pauses between.
// A target that is gone shows by its connections long before.
constexpr int kMissedHeartbeats = 3;
constexpr Duration kHeartbeatSearch = std::chrono::seconds(4);

// On top of the time that orders of two holders must be apart: an order may wait this long in a
// queue after its lease was checked.
constexpr Duration kOrderMargin = std::chrono::milliseconds(300);

// Share of the time for new weights in which all engines are ordered; the rest is for the last ones
// to finish their runs and load, and for orders that are lost.
constexpr double kRolloutShare = 0.5;

// From a failure of the log until the process ends: one that starts again at once would only fail
// again.
constexpr Duration kFailurePause = std::chrono::milliseconds(1500);

// From the moment at which the last engine has newer weights until what older ones made is freed:
// a transfer waits two seconds at most, and an engine says what it has some hundred milliseconds
// late.
constexpr Duration kSettling = std::chrono::seconds(4);

// Between two looks for parts that nobody will read any more: each goes through all that the stores
// hold.
constexpr Duration kFreeInterval = std::chrono::seconds(1);

// For the handover of leadership to reach the successor before the process ends.
constexpr Duration kHandoverTime = std::chrono::milliseconds(400);

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
    , mesh(this->loop, this->settings.host, this->settings.peerPort, *this)
    , group(this->loop,
            this->clock,
            this->settings,
            this->metrics,
            this->mesh,
            [this] { this->PushDocument(); })
    , picture(this->clock, this->settings.targetHeartbeat * kMissedHeartbeats + kHeartbeatSearch)
    , stores(this->loop,
             this->clock,
             aStores,
             [this](const auto& aStatements) { this->teller.TellStores(aStatements); })
    , weights(this->loop,
              this->clock,
              aEngines,
              this->Options(),
              [this] { return this->group.Authority(); })
    , calls(this->clock,
            this->settings,
            aDialect,
            this->group,
            this->picture,
            this->metrics,
            this->account,
            [this] { this->SpreadTargets(); })
    , signals(this->loop, std::move(aReader))
    , ticker(this->loop)
  {
  }

  Result<void> Run();

  void OnPeerUp(const HostId& aPeer, LinkSide aSide) override;
  void OnPeerDown(const HostId& aPeer, LinkSide aSide) override;
  void OnPeerMessage(const HostId& aPeer, PeerMessage aMessage) override;

private:
  RolloutOptions Options() const;
  void StepWeights();
  void FreeUnusedParts();
  void Stop();
  void Tick();
  void StepGroup();
  bool EndsAfterFailure();
  void SpreadTargets();
  void PushDocument();
  void FollowServices();
  void FollowEvacuations();
  void NoteEvacuation(const ZoneId& aZone, bool aEvacuated);
  Result<ServingMessage> Decode(const std::string& aPayload);
  void TakeServingMessage(const HostId& aPeer, const ServingMessage& aMessage);
  void TakeGreeting(const HostId& aPeer, const Greeting& aGreeting);
  void KnowControlHosts(const std::vector<HostId>& aHosts);
  void KnowControlHost(const HostId& aHost, const ZoneId& aZone);

  ServingSettings settings;
  const ControlDialect& dialect;
  SystemClock clock;
  ServiceLevelWindows serviceLevels{ this->clock, kMostMetricSeries };
  MetricsRegistry metrics{ this->clock, this->serviceLevels, kMostMetricSeries };
  WorkStatistics account{ this->clock, this->metrics };
  asio::io_context loop{ 1 };
  PeerMesh mesh;
  ServingGroup group;
  ControlPicture picture;
  StoreWatcher stores;
  WeightsDesk weights;
  SettledWeights settled{ this->clock, kSettling };
  HostRegistry roster{ this->settings.host, this->settings.zone };
  CrashLedger crashes{ this->clock };
  RefusalDesk refusals{ this->loop, this->group, this->crashes };
  PictureTeller teller{ this->clock,  this->settings, this->group, this->stores, this->picture,
                        this->roster, this->crashes,  this->mesh,  this->account };
  MetricsPage metricsPage{ this->loop, this->metrics, this->settings.host };
  ControlCalls calls;
  ChannelListener callers{ this->loop };
  ServingSignals signals;
  asio::steady_timer ticker;
  // The version whose services are followed.
  Revision followed;
  // Zones that were evacuated when the state was looked at last.
  std::set<ZoneId> evacuated;
  MonotonicTime nextSpread;
  MonotonicTime nextFreeing;
  MonotonicTime nextTelling;
  MonotonicTime worksUntil;
};

RolloutOptions
ControlHost::Impl::Options() const
{
  RolloutOptions options;
  options.orderLease = this->settings.orderLease + kOrderMargin;
  options.rolloutDuration =
    std::chrono::duration_cast<Duration>(this->settings.weightsWithin * kRolloutShare);
  return options;
}

// Parts that older weights made, and those that were never written whole, fill the stores and are
// of no use to anybody.
void
ControlHost::Impl::FreeUnusedParts()
{
  if (this->clock.MonotonicNow() < this->nextFreeing) {
    return;
  }
  this->nextFreeing = this->clock.MonotonicNow() + kFreeInterval;
  this->settled.Update(this->picture.RemainingEngines());
  if (this->group.HoldsLease()) {
    this->stores.FreeUnused(this->settled.MinimumVersions());
  }
}

void
ControlHost::Impl::StepWeights()
{
  const WorkTimer timer(this->account, Work::TargetSteps);
  this->weights.Step(this->group.State().Weights(), this->picture.UsableEngines());
  this->FreeUnusedParts();
  this->picture.SetPaused(this->weights.Rollout().Paused());
  this->picture.SetReported(this->weights.Rollout().Reported());
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
  this->KnowControlHosts(this->settings.seeds);
  // After a start of all, the seeds alone would wait until the other members reach them.
  this->KnowControlHosts(this->group.Members());
  this->signals.Wait(
    [this](const ServingSettings& aFresh) {
      this->settings.regions = aFresh.regions;
      this->KnowControlHosts(aFresh.seeds);
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
  this->account.Step();
  if (this->EndsAfterFailure()) {
    return;
  }
  if (this->clock.MonotonicNow() >= this->nextSpread) {
    this->SpreadTargets();
  }
  if (this->clock.MonotonicNow() >= this->nextTelling || this->teller.HasUrgentSends()) {
    this->nextTelling = this->clock.MonotonicNow() + kTellStep;
    this->teller.TellSends();
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
ControlHost::Impl::StepGroup()
{
  const WorkTimer timer(this->account, Work::Agreement);
  this->group.Step();
}

// Ends a process whose log is damaged, with the reason. A disk that only refuses writes is waited
// for: meanwhile this host says nothing in the group, so the others elect without it, and goes on
// hearing targets and telling entry hosts. Returns whether it ends now.
bool
ControlHost::Impl::EndsAfterFailure()
{
  const MonotonicTime now = this->clock.MonotonicNow();
  if (!this->group.Failure()) {
    this->worksUntil = now + kFailurePause;
    return false;
  }
  if (now < this->worksUntil) {
    return false;
  }
  this->mesh.Stop();
  this->loop.stop();
  return true;
}

void
ControlHost::Impl::SpreadTargets()
{
  this->StepWeights();
  this->refusals.Step();
  this->nextSpread = this->clock.MonotonicNow() + kSpreadStep;
  this->teller.TellChanges();
}

void
ControlHost::Impl::PushDocument()
{
  const ServingStateMachine& state = this->group.State();
  LogEvent(LogLevel::Info, "configuration_applied")
    .With("version", state.Version())
    .With("entry_hosts", this->roster.EntryHosts().size());
  this->FollowEvacuations();
  this->teller.TellStanding();
  if (state.Version() != this->followed) {
    this->followed = state.Version();
    this->FollowServices();
  }
}

// Reads the whole document, which takes long where it has thousands of routes, so not when only
// weights were named.
void
ControlHost::Impl::FollowServices()
{
  const auto config = this->dialect.ReadConfig(this->group.State().Document());
  if (!config) {
    LogEvent(LogLevel::Error, "configuration_unreadable")
      .With("version", this->followed)
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
  this->picture.SetServices(std::move(services));
  this->picture.SetColdTraits(std::move(cold));
}

void
ControlHost::Impl::FollowEvacuations()
{
  std::set<ZoneId> now = this->group.State().Evacuated().Current().zones;
  for (const ZoneId& zone : this->evacuated) {
    if (!now.contains(zone)) {
      this->NoteEvacuation(zone, false);
      this->picture.OnZoneReturned(zone);
    }
  }
  for (const ZoneId& zone : now) {
    if (!this->evacuated.contains(zone)) {
      this->NoteEvacuation(zone, true);
    }
  }
  this->evacuated = std::move(now);
}

void
ControlHost::Impl::NoteEvacuation(const ZoneId& aZone, bool aEvacuated)
{
  LogEvent(LogLevel::Info, "evacuation_applied").With("zone", aZone).With("evacuated", aEvacuated);
  this->metrics.Add(
    Counter::Evacuations, MetricKey{ WorkspaceId(), aEvacuated ? "evacuated" : "returned" }, 1);
}

void
ControlHost::Impl::OnPeerUp(const HostId& aPeer, LinkSide aSide)
{
  if (aSide == LinkSide::Dialed) {
    this->teller.GreetControlHost(aPeer);
  }
}

void
ControlHost::Impl::OnPeerDown(const HostId& aPeer, LinkSide aSide)
{
  if (aSide == LinkSide::Accepted) {
    this->roster.OnDisconnected(aPeer);
    this->teller.OnLost(aPeer);
  }
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
  this->TakeServingMessage(aPeer, message.value());
}

Result<ServingMessage>
ControlHost::Impl::Decode(const std::string& aPayload)
{
  const WorkTimer timer(this->account, Work::Decoding);
  return DecodeServingMessage(aPayload);
}

void
ControlHost::Impl::TakeServingMessage(const HostId& aPeer, const ServingMessage& aMessage)
{
  if (const auto* greeting = std::get_if<Greeting>(&aMessage)) {
    this->TakeGreeting(aPeer, *greeting);
  } else if (const auto* news = std::get_if<LoadReport>(&aMessage)) {
    this->teller.TakeSends(aPeer, *news);
  } else if (const auto* question = std::get_if<DocumentRequest>(&aMessage)) {
    this->teller.Answer(aPeer, *question);
  } else if (const auto* list = std::get_if<EntryHostList>(&aMessage)) {
    this->roster.SetEntryHostsOf(aPeer, *list);
  } else if (const auto* told = std::get_if<ServingUpdate>(&aMessage)) {
    for (const TargetUpdate& statement : told->targets) {
      this->picture.HearSecondHand(statement.record);
    }
  }
}

void
ControlHost::Impl::TakeGreeting(const HostId& aPeer, const Greeting& aGreeting)
{
  if (aGreeting.role == HostRole::Entry) {
    this->roster.OnEntryHostConnected(aPeer);
    this->teller.TellAll(aPeer);
    return;
  }
  this->KnowControlHost(aPeer, aGreeting.zone);
  for (const auto& [host, zone] : aGreeting.controlHosts) {
    this->KnowControlHost(host, zone);
  }
}

void
ControlHost::Impl::KnowControlHosts(const std::vector<HostId>& aHosts)
{
  for (const HostId& host : aHosts) {
    this->KnowControlHost(host, ZoneId());
  }
}

// The zone is empty where the teller does not know it.
void
ControlHost::Impl::KnowControlHost(const HostId& aHost, const ZoneId& aZone)
{
  if (!this->roster.AddControlHost(aHost, aZone)) {
    return;
  }
  LogEvent(LogLevel::Info, "control_host_learnt").With("peer", aHost);
  this->group.KnowHost(aHost);
  this->mesh.Dial(aHost);
}

void
ControlHost::Impl::Stop()
{
  this->group.HandOver();
  const auto last = std::make_shared<asio::steady_timer>(this->loop, kHandoverTime);
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
