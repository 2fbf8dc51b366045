#include "ControlHost.h"

#include <csignal>
#include <set>

#include "AgreementModule.h"
#include "ControlPicture.h"
#include "MetricsPage.h"
#include "StoreWatcher.h"
#include "WeightsDesk.h"
#include "damasklink/coordination/ServiceLevelWindows.h"
#include "damasklink/coordination/ServingMachine.h"
#include "damasklink/coordination/SettledWeights.h"
#include "damasklink/protocol/ServingCodec.h"
#include "damasklink/state/MetricsRegistry.h"
#include "damasklink/transport/CallerChannel.h"
#include "damasklink/transport/Log.h"
#include "damasklink/transport/PeerMesh.h"

namespace damasklink {
namespace {

// Elections of a serving deployment: operators are answered within seconds, so a leader must be
// missed within one. Three heartbeats fit into the least election timeout, which two lost packets
// (200 ms each until they are sent again) do not exceed.
constexpr RaftTiming kServingTiming{ std::chrono::milliseconds(200),
                                     std::chrono::milliseconds(700),
                                     std::chrono::milliseconds(1400) };

// Voters: five bear two lost at once, three bear one. Odd, since an even one more bears no more.
constexpr std::size_t kVotersOfMany = 5;

// Between two looks at timers of agreement; an election is late by as much at most.
constexpr Duration kTick = std::chrono::milliseconds(25);

// What is heard of targets is passed on in batches this far apart.
constexpr Duration kSpreadStep = std::chrono::milliseconds(100);

// How long an operator's call waits for its commitment: operators move on after a second.
constexpr Duration kCommitPatience = std::chrono::milliseconds(2500);

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

// What a call to a control host may be like: configurations grow to some megabytes.
CallerLimits
ControlLimits()
{
  CallerLimits limits;
  limits.bodyBytes = 16 * kMebibyte;
  limits.idleTimeout = std::chrono::seconds(30);
  limits.headerTimeout = std::chrono::seconds(5);
  return limits;
}

std::vector<PeerSettings>
DiskHosts(const std::vector<HostId>& aHosts)
{
  std::vector<PeerSettings> peers;
  for (const HostId& host : aHosts) {
    PeerSettings peer;
    peer.host = host;
    peer.disk = true;
    peers.push_back(std::move(peer));
  }
  return peers;
}

} // namespace

class ControlHost::Impl final : public PeerMeshHandler
{
public:
  Impl(ServingSettings aSettings,
       const ControlDialect& aDialect,
       const StoreDialect& aStores,
       const EngineDialect& aEngines,
       std::function<std::optional<ServingSettings>()> aReader)
    : settings(std::move(aSettings))
    , dialect(aDialect)
    , reader(std::move(aReader))
    , mesh(this->loop, this->settings.host, this->settings.peerPort, *this)
    , agreement(this->Setup())
    , picture(this->clock, this->settings.targetHeartbeat * kMissedHeartbeats + kHeartbeatSearch)
    , stores(this->loop,
             this->clock,
             aStores,
             [this](const StoreStatement& aStatement) { this->TellStore(aStatement); })
    , weights(this->loop,
              this->clock,
              aEngines,
              this->Options(),
              [this] { return this->Authority(); })
    , signals(this->loop, SIGTERM, SIGINT, SIGHUP)
    , ticker(this->loop)
  {
    this->agreement.AddMachine(ControlGroupId(), MachinePart::Serving, this->machine);
  }

  Result<void> Run();

  void OnPeerUp(const HostId& aPeer, LinkSide aSide) override;
  void OnPeerDown(const HostId& aPeer, LinkSide aSide) override;
  void OnPeerMessage(const HostId& aPeer, PeerMessage aMessage) override;

private:
  struct Answered
  {
    explicit Answered(asio::io_context& aLoop)
      : wake(aLoop, MonotonicTime::max())
    {
    }

    asio::steady_timer wake;
    std::optional<Result<std::string>> result;
  };

  AgreementSetup Setup();
  RolloutOptions Options() const;
  OrderAuthority Authority() const;
  void StepWeights();
  void FreeOldParts();
  void Accept();
  Awaitable<void> ServeChannel(std::shared_ptr<CallerChannel> aChannel);
  Awaitable<HttpAnswerMessage> Handle(const HttpRequestMessage& aRequest);
  Awaitable<HttpAnswerMessage> HandleChange(const ConfigChange& aChange);
  Awaitable<HttpAnswerMessage> HandleWeights(const WeightsNamed& aNamed);
  Awaitable<HttpAnswerMessage> HandleQuestion();
  HttpAnswerMessage HandleHeartbeat(const TargetHeartbeat& aHeartbeat);
  HttpAnswerMessage AnswerTarget() const;
  HttpAnswerMessage HandleDeparture(const TargetDeparture& aDeparture);
  Awaitable<Result<ServingStanding>> Commit(const ServingCommand& aCommand);
  void Tick();
  bool EndsAfterFailure();
  void Step();
  void SpreadTargets();
  void PushDocument();
  void TellStore(const StoreStatement& aStatement);
  void Greet(const HostId& aPeer);
  void TellAll(const HostId& aEntryHost);
  void PassOnSends(const HostId& aFrom, const PeerMessage& aMessage);
  void TakeGreeting(const HostId& aPeer, const Greeting& aGreeting);
  void KnowControlHosts(const std::vector<HostId>& aHosts);
  void SendServing(const HostId& aTo, const ServingMessage& aMessage);
  Picture BasePicture() const;
  void WaitForSignal();
  bool MayAnswerAtOnce() const;

  ServingSettings settings;
  const ControlDialect& dialect;
  std::function<std::optional<ServingSettings>()> reader;
  SystemClock clock;
  ServiceLevelWindows serviceLevels{ this->clock, kMostMetricSeries };
  MetricsRegistry metrics{ this->clock, this->serviceLevels, kMostMetricSeries };
  asio::io_context loop{ 1 };
  PeerMesh mesh;
  ServingMachine machine;
  AgreementModule agreement;
  ControlPicture picture;
  StoreWatcher stores;
  WeightsDesk weights;
  SettledWeights settled{ this->clock, kSettling };
  std::set<HostId> controlHosts;
  std::set<HostId> entryHosts;
  MetricsPage metricsPage{ this->loop, this->metrics, this->settings.host };
  asio::signal_set signals;
  asio::steady_timer ticker;
  std::unique_ptr<TcpAcceptor> acceptor;
  std::uint64_t pushedChanges = 0;
  MonotonicTime nextSpread;
  MonotonicTime worksUntil;
};

AgreementSetup
ControlHost::Impl::Setup()
{
  std::vector<HostId> hosts = this->settings.seeds;
  if (std::find(hosts.begin(), hosts.end(), this->settings.host) == hosts.end() &&
      !this->settings.firstStart) {
    hosts.push_back(this->settings.host);
  }
  return AgreementSetup{
    this->clock,         this->metrics,
    this->mesh,          [this] { asio::post(this->loop, [this] { this->Step(); }); },
    this->settings.host, this->settings.dataFolder,
    DiskHosts(hosts),    { ControlGroupId() },
    kServingTiming,      this->settings.firstStart,
    kVotersOfMany,
  };
}

RolloutOptions
ControlHost::Impl::Options() const
{
  RolloutOptions options;
  options.orderLease = this->settings.orderLease + kOrderMargin;
  options.spread =
    std::chrono::duration_cast<Duration>(this->settings.weightsWithin * kRolloutShare);
  return options;
}

OrderAuthority
ControlHost::Impl::Authority() const
{
  const GroupReplica* replica = this->agreement.ReplicaOf(ControlGroupId());
  if (replica == nullptr || replica->Failure()) {
    return OrderAuthority{};
  }
  return OrderAuthority{ replica->Core().LeaseHeld(),
                         this->settings.host,
                         FencingNumber(replica->Core().CurrentTerm().Value()) };
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
  if (this->Authority().leaseHeld) {
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
  this->weights.Step(this->machine.Weights(), engines);
  this->FreeOldParts();
  this->picture.SetPaused(this->weights.Rollout().Paused());
  this->picture.SetReported(this->weights.Rollout().Reported());
}

Result<void>
ControlHost::Impl::Run()
{
  if (auto opened = this->agreement.Open(); !opened) {
    return opened;
  }
  if (auto listening = this->mesh.Listen(); !listening) {
    return listening;
  }
  auto forCalls = ListenOn(this->loop, this->settings.control);
  if (!forCalls) {
    return Fail(forCalls.error());
  }
  if (auto listening = this->metricsPage.Listen(this->settings.metrics); !listening) {
    return listening;
  }
  this->acceptor = std::make_unique<TcpAcceptor>(std::move(forCalls.value()));
  this->Accept();
  LogEvent(LogLevel::Info, "control_started")
    .With("host", this->settings.host)
    .With("name", this->settings.name)
    .With("zone", this->settings.zone)
    .With("first_start", this->settings.firstStart)
    .With("control", FormatEndpoint(this->settings.control));
  this->KnowControlHosts(this->settings.seeds);
  this->WaitForSignal();
  this->Tick();
  this->loop.run();
  LogEvent(LogLevel::Info, "control_stopped").With("host", this->settings.host);
  if (const std::optional<Error> failure = this->agreement.FailureOf(ControlGroupId())) {
    return Fail(*failure);
  }
  return Success();
}

void
ControlHost::Impl::Accept()
{
  this->acceptor->async_accept([this](const IoError& aError, TcpSocket aSocket) {
    if (aError == asio::error::operation_aborted) {
      return;
    }
    if (aError) {
      LogEvent(LogLevel::Warning, "accept_failed").With("reason", aError.message());
    } else {
      auto channel = std::make_shared<CallerChannel>(std::move(aSocket));
      asio::co_spawn(this->loop, this->ServeChannel(channel), asio::detached);
    }
    this->Accept();
  });
}

Awaitable<void>
ControlHost::Impl::ServeChannel(std::shared_ptr<CallerChannel> aChannel)
{
  bool kept = true;
  while (kept) {
    auto request = co_await aChannel->Read(ControlLimits());
    if (!request) {
      if (request.error().kind != ErrorKind::Interrupted) {
        co_await aChannel->WriteWhole(this->dialect.ControlFailure(request.error()), true);
      }
      break;
    }
    HttpAnswerMessage answer = co_await this->Handle(request.value());
    const HttpRequestHead& head = request.value().head;
    const bool close = AsksToClose(head.fields, head.version);
    kept = co_await aChannel->WriteWhole(std::move(answer), close) && !close;
  }
  aChannel->Close();
}

Awaitable<HttpAnswerMessage>
ControlHost::Impl::Handle(const HttpRequestMessage& aRequest)
{
  auto call = this->dialect.ReadControlCall(aRequest);
  if (!call) {
    LogEvent(LogLevel::Warning, "call_refused")
      .With("target", aRequest.head.target)
      .With("error", call.error());
    co_return this->dialect.ControlFailure(call.error());
  }
  if (const auto* heartbeat = std::get_if<TargetHeartbeat>(&call.value())) {
    co_return this->HandleHeartbeat(*heartbeat);
  }
  if (const auto* departure = std::get_if<TargetDeparture>(&call.value())) {
    co_return this->HandleDeparture(*departure);
  }
  if (const auto* change = std::get_if<ConfigChange>(&call.value())) {
    co_return co_await this->HandleChange(*change);
  }
  if (const auto* named = std::get_if<WeightsNamed>(&call.value())) {
    co_return co_await this->HandleWeights(*named);
  }
  co_return co_await this->HandleQuestion();
}

HttpAnswerMessage
ControlHost::Impl::HandleHeartbeat(const TargetHeartbeat& aHeartbeat)
{
  this->picture.Hear(aHeartbeat.record);
  const TargetRecord* held = this->picture.Registry().Find(aHeartbeat.record.id);
  if (aHeartbeat.record.leaving && held != nullptr) {
    // What is acknowledged as leaving must reach entry hosts in time, so it does not wait.
    this->SpreadTargets();
  }
  return this->AnswerTarget();
}

// A host that hears no leader is cut off: what targets tell it may reach nobody else. It takes note
// for the entry hosts on its side, and sends the target on to the other control hosts.
HttpAnswerMessage
ControlHost::Impl::AnswerTarget() const
{
  const GroupReplica* replica = this->agreement.ReplicaOf(ControlGroupId());
  if (replica != nullptr && !replica->Failure() && replica->Core().HasFreshLeader()) {
    return this->dialect.Acknowledgement();
  }
  return this->dialect.ControlFailure(
    Error{ ErrorKind::Unavailable, "this host hears no leader", "tell another control host" });
}

HttpAnswerMessage
ControlHost::Impl::HandleDeparture(const TargetDeparture& aDeparture)
{
  this->picture.Depart(aDeparture.target);
  this->SpreadTargets();
  return this->AnswerTarget();
}

Awaitable<Result<ServingStanding>>
ControlHost::Impl::Commit(const ServingCommand& aCommand)
{
  const auto answered = std::make_shared<Answered>(this->loop);
  this->agreement.Propose(ControlGroupId(),
                          MachinePart::Serving,
                          EncodeServingCommand(aCommand),
                          kCommitPatience,
                          [answered](Result<std::string> aResult) {
                            answered->result = std::move(aResult);
                            answered->wake.cancel();
                          });
  this->Step();
  if (!answered->result) {
    co_await answered->wake.async_wait(kAsValue);
  }
  if (!*answered->result) {
    co_return Fail(answered->result->error());
  }
  auto standing = DecodeServingStanding(answered->result->value());
  if (standing && !standing.value().understood) {
    co_return Fail(ErrorKind::Internal,
                   "the replicated log did not understand the command",
                   "run the same program version on all control hosts");
  }
  co_return standing;
}

Awaitable<HttpAnswerMessage>
ControlHost::Impl::HandleChange(const ConfigChange& aChange)
{
  auto config = this->dialect.ReadConfig(aChange.document);
  auto checked = config ? CheckServingConfig(config.value()) : Result<void>(Fail(config.error()));
  if (!checked) {
    LogEvent(LogLevel::Info, "configuration_refused").With("error", checked.error());
    co_return this->dialect.ControlFailure(checked.error());
  }
  const Revision version = config.value().version;
  const Revision before = this->machine.Version();
  const ServingCommand command = PutDocument{ version, aChange.document };
  auto standing = co_await this->Commit(command);
  LogEvent(LogLevel::Info, standing ? "configuration_acknowledged" : "configuration_not_committed")
    .With("version", version)
    .With("before", before)
    .With("in_force", standing ? standing.value().version : Revision())
    .With("error", standing ? Error{} : standing.error());
  if (standing) {
    this->metrics.Add(Counter::ConfigChanges, MetricKey{}, 1);
  }
  co_return standing ? this->dialect.Acknowledgement()
                     : this->dialect.ControlFailure(standing.error());
}

Awaitable<HttpAnswerMessage>
ControlHost::Impl::HandleWeights(const WeightsNamed& aNamed)
{
  const ServingCommand command = NameWeights{ aNamed.model, aNamed.version };
  auto standing = co_await this->Commit(command);
  LogEvent(LogLevel::Info, standing ? "weights_acknowledged" : "weights_not_committed")
    .With("model", aNamed.model)
    .With("version", aNamed.version);
  co_return standing ? this->dialect.Acknowledgement()
                     : this->dialect.ControlFailure(standing.error());
}

bool
ControlHost::Impl::MayAnswerAtOnce() const
{
  const GroupReplica* replica = this->agreement.ReplicaOf(ControlGroupId());
  return replica != nullptr && !replica->Failure() && replica->Core().LeaseHeld();
}

// A leader within its lease knows the newest configuration. Any other host asks the group: what it
// has applied itself must be as new as what the group answers.
Awaitable<HttpAnswerMessage>
ControlHost::Impl::HandleQuestion()
{
  if (!this->MayAnswerAtOnce()) {
    const ServingCommand command = ReadMarker{};
    auto standing = co_await this->Commit(command);
    if (!standing) {
      co_return this->dialect.ControlFailure(standing.error());
    }
    if (standing.value().version > this->machine.Version()) {
      co_return this->dialect.ControlFailure(
        Error{ ErrorKind::Unavailable, "this host is behind the group", "ask another host" });
    }
  }
  if (this->machine.Version() == Revision()) {
    co_return this->dialect.ControlFailure(
      Error{ ErrorKind::Unavailable, "there is no configuration yet", "put one first" });
  }
  co_return this->dialect.DocumentAnswer(this->machine.Document());
}

void
ControlHost::Impl::Tick()
{
  this->Step();
  if (this->EndsAfterFailure()) {
    return;
  }
  if (this->clock.MonotonicNow() >= this->nextSpread) {
    this->SpreadTargets();
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
  if (!this->agreement.FailureOf(ControlGroupId())) {
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

// Lets agreement act on what has come in, and passes on what was committed.
void
ControlHost::Impl::Step()
{
  this->agreement.OnTick(this->clock.MonotonicNow());
  if (this->machine.Changes() != this->pushedChanges) {
    this->pushedChanges = this->machine.Changes();
    this->PushDocument();
  }
}

void
ControlHost::Impl::SpreadTargets()
{
  this->StepWeights();
  this->nextSpread = this->clock.MonotonicNow() + kSpreadStep;
  Picture changes;
  changes.targets = this->picture.TakeChanges();
  if (!changes.targets.empty()) {
    changes.entryHosts = this->entryHosts.size();
    for (const HostId& host : this->entryHosts) {
      this->SendServing(host, changes);
    }
  }
  Picture news;
  news.targets = this->picture.TakeNews();
  if (!news.targets.empty()) {
    for (const HostId& host : this->controlHosts) {
      this->SendServing(host, news);
    }
  }
}

Picture
ControlHost::Impl::BasePicture() const
{
  Picture base;
  base.documentVersion = this->machine.Version();
  base.document = this->machine.Document();
  base.weights = this->machine.Weights();
  base.entryHosts = this->entryHosts.size();
  base.controlHosts.assign(this->controlHosts.begin(), this->controlHosts.end());
  return base;
}

void
ControlHost::Impl::PushDocument()
{
  const Picture document = this->BasePicture();
  LogEvent(LogLevel::Info, "configuration_applied")
    .With("version", document.documentVersion)
    .With("entry_hosts", this->entryHosts.size());
  for (const HostId& host : this->entryHosts) {
    this->SendServing(host, document);
  }
  if (const auto config = this->dialect.ReadConfig(document.document)) {
    this->stores.Follow(config.value().services);
  }
}

void
ControlHost::Impl::TellStore(const StoreStatement& aStatement)
{
  Picture picture;
  picture.stores.push_back(aStatement);
  for (const HostId& host : this->entryHosts) {
    this->SendServing(host, picture);
  }
}

void
ControlHost::Impl::TellAll(const HostId& aEntryHost)
{
  Picture whole = this->BasePicture();
  whole.targets = this->picture.All();
  whole.stores = this->stores.All();
  this->SendServing(aEntryHost, whole);
}

void
ControlHost::Impl::Greet(const HostId& aPeer)
{
  Greeting greeting{ HostRole::Control, this->settings.zone, {} };
  greeting.controlHosts.assign(this->controlHosts.begin(), this->controlHosts.end());
  greeting.controlHosts.push_back(this->settings.host);
  this->SendServing(aPeer, greeting);
}

void
ControlHost::Impl::SendServing(const HostId& aTo, const ServingMessage& aMessage)
{
  this->mesh.Send(aTo, PeerMessage{ Channel::Serving, GroupId(), EncodeServingMessage(aMessage) });
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
  }
}

void
ControlHost::Impl::OnPeerDown(const HostId& aPeer, LinkSide aSide)
{
  if (aSide == LinkSide::Accepted) {
    this->entryHosts.erase(aPeer);
  }
}

void
ControlHost::Impl::OnPeerMessage(const HostId& aPeer, PeerMessage aMessage)
{
  if (aMessage.channel == Channel::Agreement) {
    this->agreement.OnPeerMessage(aPeer, aMessage);
    this->Step();
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
  if (std::holds_alternative<SendsNews>(message.value())) {
    this->PassOnSends(aPeer, aMessage);
    return;
  }
  for (const TargetStatement& statement : std::get<Picture>(message.value()).targets) {
    this->picture.HearSecondHand(statement.record);
  }
}

void
ControlHost::Impl::PassOnSends(const HostId& aFrom, const PeerMessage& aMessage)
{
  for (const HostId& host : this->entryHosts) {
    if (host != aFrom) {
      this->mesh.Send(host, aMessage);
    }
  }
}

void
ControlHost::Impl::TakeGreeting(const HostId& aPeer, const Greeting& aGreeting)
{
  if (aGreeting.role == HostRole::Entry) {
    this->entryHosts.insert(aPeer);
    this->TellAll(aPeer);
    return;
  }
  this->KnowControlHosts({ aPeer });
  this->KnowControlHosts(aGreeting.controlHosts);
}

void
ControlHost::Impl::KnowControlHosts(const std::vector<HostId>& aHosts)
{
  for (const HostId& host : aHosts) {
    if (host == this->settings.host || !this->controlHosts.insert(host).second) {
      continue;
    }
    LogEvent(LogLevel::Info, "control_host_learnt").With("peer", host);
    this->agreement.KnowHost(host);
    this->mesh.Dial(host);
  }
}

void
ControlHost::Impl::WaitForSignal()
{
  this->signals.async_wait([this](const IoError& aError, int aSignal) {
    if (aError) {
      return;
    }
    if (aSignal == SIGHUP) {
      if (const std::optional<ServingSettings> fresh = this->reader()) {
        this->KnowControlHosts(fresh->seeds);
        LogEvent(LogLevel::Info, "settings_reloaded").With("seeds", fresh->seeds.size());
      }
      this->WaitForSignal();
      return;
    }
    LogEvent(LogLevel::Info, "stop_begun").With("signal", aSignal);
    this->agreement.OnShutdown();
    this->Step();
    const auto last = std::make_shared<asio::steady_timer>(this->loop, kHandoverTime);
    last->async_wait([this, last](const IoError&) {
      this->mesh.Stop();
      this->loop.stop();
    });
  });
}

ControlHost::ControlHost(ServingSettings aSettings,
                         const ControlDialect& aDialect,
                         const StoreDialect& aStores,
                         const EngineDialect& aEngines,
                         std::function<std::optional<ServingSettings>()> aReader)
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
