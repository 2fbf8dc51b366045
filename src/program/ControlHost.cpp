#include "ControlHost.h"

#include <map>
#include <set>

#include "ControlCalls.h"
#include "ControlPicture.h"
#include "MetricsPage.h"
#include "ServingGroup.h"
#include "ServingSignals.h"
#include "StoreWatcher.h"
#include "WeightsDesk.h"
#include "damasklink/coordination/SendsHub.h"
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

// From a failure of the disk until the process ends: a full disk is full for seconds, and a process
// that starts again at once would only fail again.
constexpr Duration kFailurePause = std::chrono::milliseconds(1500);

// From the moment at which the last engine has newer weights until what older ones made is freed:
// a transfer waits two seconds at most, and an engine says what it has some hundred milliseconds
// late.
constexpr Duration kSettling = std::chrono::seconds(4);

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
             [this](const StoreStatement& aStatement) { this->TellStore(aStatement); })
    , weights(this->loop,
              this->clock,
              aEngines,
              this->Options(),
              [this] { return this->group.Authority(); })
    , calls(aDialect, this->group, this->picture, this->metrics, [this] { this->SpreadTargets(); })
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
  void FreeOldParts();
  void Stop();
  void Tick();
  bool EndsAfterFailure();
  void SpreadTargets();
  void PushDocument();
  void TellStore(const StoreStatement& aStatement);
  void Greet(const HostId& aPeer);
  void TellAll(const HostId& aEntryHost);
  void TakeSends(const HostId& aFrom, const SendsNews& aNews);
  void TellSends();
  void TakeGreeting(const HostId& aPeer, const Greeting& aGreeting);
  void KnowSeeds(const std::vector<HostId>& aSeeds);
  void KnowControlHost(const HostId& aHost, const ZoneId& aZone);
  void SendServing(const HostId& aTo, const ServingMessage& aMessage);
  void TellEntryHosts(const ServingMessage& aMessage);
  void TellControlHosts(const ServingMessage& aMessage);
  void TellStores(const HostId& aEntryHost);
  EntryHostList OwnEntryHosts() const;
  Picture BarePicture() const;
  void SendEncoded(const std::set<HostId>& aTo, const std::string& aPayload);
  Picture BasePicture() const;
  std::uint64_t CountEntryHosts() const;

  ServingSettings settings;
  const ControlDialect& dialect;
  SystemClock clock;
  ServiceLevelWindows serviceLevels{ this->clock, kMostMetricSeries };
  MetricsRegistry metrics{ this->clock, this->serviceLevels, kMostMetricSeries };
  asio::io_context loop{ 1 };
  PeerMesh mesh;
  ServingGroup group;
  ControlPicture picture;
  StoreWatcher stores;
  WeightsDesk weights;
  SettledWeights settled{ this->clock, kSettling };
  ControlHostZones controlHosts;
  // Entry hosts that are connected to this control host.
  std::set<HostId> entryHosts;
  // By connected control host, those that are connected to it.
  std::map<HostId, std::vector<HostId>> entryHostsOfOthers;
  bool entryHostsChanged = false;
  bool controlHostsChanged = false;
  // What entry hosts were told last.
  std::uint64_t toldEntryHosts = 0;
  bool toldIsolated = false;
  SendsHub sends;
  // Sums of other control hosts, for the entry hosts that tell this one.
  std::vector<SendsNews> sumsOfOthers;
  MetricsPage metricsPage{ this->loop, this->metrics, this->settings.host };
  ControlCalls calls;
  ChannelListener callers{ this->loop };
  ServingSignals signals;
  asio::steady_timer ticker;
  MonotonicTime nextSpread;
  MonotonicTime nextTelling;
  MonotonicTime worksUntil;
};

RolloutOptions
ControlHost::Impl::Options() const
{
  RolloutOptions options;
  options.orderLease = this->settings.orderLease + kOrderMargin;
  options.spread =
    std::chrono::duration_cast<Duration>(this->settings.weightsWithin * kRolloutShare);
  return options;
}

// Parts that older weights made fill the stores and are of no use to anybody.
void
ControlHost::Impl::FreeOldParts()
{
  std::vector<TargetRecord> engines;
  for (const TargetStatement& statement : this->picture.All()) {
    const bool counts =
      statement.record.kind == TargetKind::Engine && statement.standing != TargetStanding::Leaving;
    if (counts) {
      engines.push_back(statement.record);
    }
  }
  this->settled.Note(engines);
  if (this->group.HoldsLease()) {
    this->stores.FreeMadeBefore(this->settled.Least());
  }
}

void
ControlHost::Impl::StepWeights()
{
  std::vector<TargetRecord> engines;
  for (TargetRecord& record : this->picture.Registry().Usable()) {
    if (record.kind == TargetKind::Engine) {
      engines.push_back(std::move(record));
    }
  }
  this->weights.Step(this->group.State().Weights(), engines);
  this->FreeOldParts();
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
  this->KnowSeeds(this->settings.seeds);
  this->signals.Wait([this](const ServingSettings& aFresh) { this->KnowSeeds(aFresh.seeds); },
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
  this->group.Step();
  if (this->EndsAfterFailure()) {
    return;
  }
  if (this->clock.MonotonicNow() >= this->nextSpread) {
    this->SpreadTargets();
  }
  if (this->clock.MonotonicNow() >= this->nextTelling) {
    this->nextTelling = this->clock.MonotonicNow() + kTellStep;
    this->TellSends();
  }
  this->ticker.expires_after(kTick);
  this->ticker.async_wait([this](const IoError& aError) {
    if (!aError) {
      this->Tick();
    }
  });
}

// A replica whose disk refused a write may not go on: what the disk holds is unknown. The process
// ends, and when it is started again it reads what is there. Meanwhile it says nothing, so the
// others elect without it. Returns whether it ends now.
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
  this->nextSpread = this->clock.MonotonicNow() + kSpreadStep;
  Picture changes = this->BarePicture();
  changes.targets = this->picture.TakeChanges();
  changes.entryHosts = this->CountEntryHosts();
  const bool named = std::exchange(this->controlHostsChanged, false);
  if (named) {
    changes.controlHosts = this->controlHosts;
  }
  const bool standingChanged =
    named || changes.entryHosts != this->toldEntryHosts || changes.isolated != this->toldIsolated;
  if (standingChanged || !changes.targets.empty()) {
    this->toldEntryHosts = changes.entryHosts;
    this->toldIsolated = changes.isolated;
    this->TellEntryHosts(changes);
  }
  if (std::exchange(this->entryHostsChanged, false)) {
    this->TellControlHosts(this->OwnEntryHosts());
  }
  Picture news;
  news.targets = this->picture.TakeNews();
  if (!news.targets.empty()) {
    this->TellControlHosts(news);
  }
}

// What stands in every picture.
Picture
ControlHost::Impl::BarePicture() const
{
  Picture bare;
  bare.isolated = !this->group.HearsLeader();
  return bare;
}

Picture
ControlHost::Impl::BasePicture() const
{
  Picture base = this->BarePicture();
  base.documentVersion = this->group.State().Version();
  base.document = this->group.State().Document();
  base.weights = this->group.State().Weights();
  base.entryHosts = this->CountEntryHosts();
  base.controlHosts = this->controlHosts;
  base.controlHosts[this->settings.host] = this->settings.zone;
  return base;
}

// Each entry host is connected to several control hosts, so it counts also when one of them is
// lost.
std::uint64_t
ControlHost::Impl::CountEntryHosts() const
{
  std::set<HostId> all = this->entryHosts;
  for (const auto& [host, others] : this->entryHostsOfOthers) {
    all.insert(others.begin(), others.end());
  }
  return all.size();
}

EntryHostList
ControlHost::Impl::OwnEntryHosts() const
{
  return EntryHostList{ { this->entryHosts.begin(), this->entryHosts.end() } };
}

void
ControlHost::Impl::PushDocument()
{
  const Picture document = this->BasePicture();
  LogEvent(LogLevel::Info, "configuration_applied")
    .With("version", document.documentVersion)
    .With("entry_hosts", this->entryHosts.size());
  this->TellEntryHosts(document);
  if (const auto config = this->dialect.ReadConfig(document.document)) {
    this->stores.Follow(config.value().services);
  }
}

void
ControlHost::Impl::TellStore(const StoreStatement& aStatement)
{
  Picture picture = this->BarePicture();
  picture.stores.push_back(aStatement);
  this->SendEncoded(this->sends.Tellers(), EncodeServingMessage(picture));
}

void
ControlHost::Impl::TellAll(const HostId& aEntryHost)
{
  Picture whole = this->BasePicture();
  whole.targets = this->picture.All();
  this->SendServing(aEntryHost, whole);
}

// An entry host that tells this control host what it has hears of stored parts from it alone: they
// change a thousand times a second, and each further word of it goes between zones.
void
ControlHost::Impl::TellStores(const HostId& aEntryHost)
{
  Picture picture = this->BarePicture();
  picture.stores = this->stores.All();
  this->SendServing(aEntryHost, picture);
}

void
ControlHost::Impl::Greet(const HostId& aPeer)
{
  Greeting greeting{ HostRole::Control, this->settings.zone, {} };
  greeting.controlHosts = this->controlHosts;
  greeting.controlHosts[this->settings.host] = this->settings.zone;
  this->SendServing(aPeer, greeting);
}

void
ControlHost::Impl::SendServing(const HostId& aTo, const ServingMessage& aMessage)
{
  this->mesh.Send(aTo, PeerMessage{ Channel::Serving, GroupId(), EncodeServingMessage(aMessage) });
}

void
ControlHost::Impl::TellControlHosts(const ServingMessage& aMessage)
{
  const std::string payload = EncodeServingMessage(aMessage);
  for (const auto& [host, zone] : this->controlHosts) {
    this->mesh.Send(host, PeerMessage{ Channel::Serving, GroupId(), payload });
  }
}

void
ControlHost::Impl::TellEntryHosts(const ServingMessage& aMessage)
{
  this->SendEncoded(this->entryHosts, EncodeServingMessage(aMessage));
}

// Many hosts get the same bytes: they are encoded once.
void
ControlHost::Impl::SendEncoded(const std::set<HostId>& aTo, const std::string& aPayload)
{
  for (const HostId& host : aTo) {
    this->mesh.Send(host, PeerMessage{ Channel::Serving, GroupId(), aPayload });
  }
}

void
ControlHost::Impl::OnPeerUp(const HostId& aPeer, LinkSide aSide)
{
  if (aSide == LinkSide::Dialed) {
    this->Greet(aPeer);
    // All that is known of targets, since what was told on an earlier connection may be lost.
    Picture all;
    all.targets = this->picture.All();
    this->SendServing(aPeer, all);
    this->SendServing(aPeer, this->OwnEntryHosts());
  }
}

void
ControlHost::Impl::OnPeerDown(const HostId& aPeer, LinkSide aSide)
{
  if (aSide == LinkSide::Accepted) {
    this->entryHostsChanged = this->entryHosts.erase(aPeer) > 0 || this->entryHostsChanged;
    this->entryHostsOfOthers.erase(aPeer);
    this->sends.Forget(aPeer);
  }
}

void
ControlHost::Impl::OnPeerMessage(const HostId& aPeer, PeerMessage aMessage)
{
  if (aMessage.channel == Channel::Agreement) {
    this->group.OnPeerMessage(aPeer, aMessage);
    return;
  }
  auto message = DecodeServingMessage(aMessage.payload);
  if (!message) {
    LogEvent(LogLevel::Warning, "message_refused")
      .With("from", aPeer)
      .With("error", message.error());
    return;
  }
  if (const auto* greeting = std::get_if<Greeting>(&message.value())) {
    this->TakeGreeting(aPeer, *greeting);
    return;
  }
  if (const auto* news = std::get_if<SendsNews>(&message.value())) {
    this->TakeSends(aPeer, *news);
    return;
  }
  if (const auto* list = std::get_if<EntryHostList>(&message.value())) {
    this->entryHostsOfOthers[aPeer] = list->hosts;
    return;
  }
  for (const TargetStatement& statement : std::get<Picture>(message.value()).targets) {
    this->picture.HearSecondHand(statement.record);
  }
}

void
ControlHost::Impl::TakeSends(const HostId& aFrom, const SendsNews& aNews)
{
  if (this->entryHosts.contains(aFrom)) {
    const bool known = this->sends.Tellers().contains(aFrom);
    this->sends.Take(aNews, this->clock.MonotonicNow());
    if (!known && this->sends.Tellers().contains(aFrom)) {
      this->TellStores(aFrom);
    }
  } else if (!this->sends.Tellers().empty()) {
    this->sumsOfOthers.push_back(aNews);
  }
}

// Tells the sums of this host to the other control hosts, and all sums to the entry hosts that tell
// it what they have.
void
ControlHost::Impl::TellSends()
{
  const SendsNews own = this->sends.TakeChanges(this->settings.host);
  std::vector<SendsNews> sums = std::exchange(this->sumsOfOthers, {});
  if (!own.sends.empty() || !own.excesses.empty() || !own.findings.empty()) {
    this->TellControlHosts(own);
    sums.push_back(own);
  }
  for (const SendsNews& sum : sums) {
    this->SendEncoded(this->sends.Tellers(), EncodeServingMessage(sum));
  }
}

void
ControlHost::Impl::TakeGreeting(const HostId& aPeer, const Greeting& aGreeting)
{
  if (aGreeting.role == HostRole::Entry) {
    this->entryHostsChanged = this->entryHosts.insert(aPeer).second || this->entryHostsChanged;
    this->TellAll(aPeer);
    return;
  }
  this->KnowControlHost(aPeer, aGreeting.zone);
  for (const auto& [host, zone] : aGreeting.controlHosts) {
    this->KnowControlHost(host, zone);
  }
}

void
ControlHost::Impl::KnowSeeds(const std::vector<HostId>& aSeeds)
{
  for (const HostId& host : aSeeds) {
    this->KnowControlHost(host, ZoneId());
  }
}

// The zone is empty where the teller does not know it.
void
ControlHost::Impl::KnowControlHost(const HostId& aHost, const ZoneId& aZone)
{
  if (aHost == this->settings.host) {
    return;
  }
  const auto [position, isNew] = this->controlHosts.try_emplace(aHost);
  if (!aZone.Empty() && position->second != aZone) {
    position->second = aZone;
    this->controlHostsChanged = true;
  }
  if (!isNew) {
    return;
  }
  this->controlHostsChanged = true;
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
