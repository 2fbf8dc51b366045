#include "EntryHost.h"

#include <algorithm>
#include <list>
#include <optional>
#include <random>
#include <vector>

#include "ConfigurationFeed.h"
#include "Exchange.h"
#include "MetricsServer.h"
#include "damasklink/coordination/ControlLinks.h"
#include "damasklink/coordination/HubChoice.h"
#include "damasklink/coordination/ServiceLevelWindows.h"
#include "damasklink/protocol/ServingCodec.h"
#include "damasklink/state/MetricsRegistry.h"
#include "damasklink/state/Units.h"
#include "damasklink/transport/ConnectionListener.h"
#include "damasklink/transport/Log.h"
#include "damasklink/transport/PeerMesh.h"

namespace damasklink {
namespace {

// Between two rounds of housekeeping: idle channels to targets, links to control.
constexpr Duration kHousekeeping = std::chrono::seconds(1);

// How often entry hosts tell each other what they have where: a prompt is read in 20 to 100 ms, so
// older news would say little of what is unread.
constexpr Duration kShareStep = std::chrono::milliseconds(100);

// Left of the time to stop when what still runs is cut: for the answers to leave the host.
constexpr Duration kStopMargin = std::chrono::milliseconds(400);

// How long connections are still taken after the signal to stop: the balancer needs two questions
// without a good answer, one a second, before it sends no more. What comes after three seconds
// might not end in time.
constexpr Duration kStillAccepted = std::chrono::milliseconds(2600);

// Between two looks whether all calls have ended.
constexpr Duration kStopStep = std::chrono::milliseconds(100);

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
    , picture(this->clock)
    , firstConfiguration(this->loop)
    , retries(this->settings.retries)
    , health(this->clock, RandomSeed())
    , reach(this->clock, RandomSeed())
    , picker(this->health, this->reach, RandomSeed())
    , pool(this->clock)
    , pace(RandomSeed())
    , comeBack(RandomSeed())
    , returns(this->clock, RandomSeed())
    , checks(this->loop, this->clock)
    , crashes(this->clock)
    , broken(this->clock)
    , limits(this->clock, this->settings.host)
    , mesh(this->loop, this->settings.host, this->settings.peerPort, *this)
    , context{ this->loop,
               this->clock,
               this->settings,
               this->calls,
               this->metrics,
               this->picture,
               this->firstConfiguration,
               this->retries,
               this->health,
               this->reach,
               this->picker,
               this->pool,
               this->pace,
               this->comeBack,
               this->returns,
               this->checks,
               this->crashes,
               this->broken,
               this->limits,
               this->clock.MonotonicNow(),
               nullptr }
    , configuration(this->loop,
                    this->clock,
                    aControl,
                    this->picture,
                    this->mesh,
                    this->metrics,
                    [this] { this->NoteReady(); })
    , signals(this->loop, std::move(aReader))
    , housekeeping(this->loop)
    , sharing(this->loop)
  {
    this->context.tellSends = [this] { this->TellWhatChanged(false); };
  }

  Result<void> Run();

  void OnPeerUp(const HostId& aPeer, LinkSide aSide) override;
  void OnPeerDown(const HostId& aPeer, LinkSide aSide) override;
  void OnPeerMessage(const HostId& aPeer, PeerMessage aMessage) override;

private:
  using Channels = std::list<std::shared_ptr<CallerChannel>>;

  Result<void> Listen();
  Awaitable<void> ServeCaller(std::shared_ptr<CallerChannel> aChannel);
  Awaitable<void> ServeProbes(std::shared_ptr<CallerChannel> aChannel);
  Awaitable<void> AnswerUnreadable(CallerChannel& aChannel, const Error& aError);
  Awaitable<void> Stop();
  void KeepHouse();
  std::vector<HubCandidate> HubCandidates() const;
  void ShareSends();
  void TellWhatChanged(bool aHubIsNew);
  void TellSends(const HostId& aTo, const LoadReport& aNews);
  void KnowSeeds(const std::vector<HostId>& aSeeds);
  void KeepControlLinks();
  void TakePicture(const HostId& aPeer, const ServingUpdate& aTold);
  void TakeLimits(const LoadReport& aNews);
  std::optional<ColdStartSpec> ColdTraitsOf(const ServiceName& aService) const;
  void TakeCold(const std::vector<TargetUpdate>& aTold);
  void FollowEvacuations();
  void ProveEnds(const ServingUpdate& aTold);
  void ReportEnded(const std::vector<CrashReport>& aReports, std::string_view aProof);
  void TakeCrashing(const HostId& aPeer, const CrashingRequests& aTold);
  void NoteReady();
  bool IsReady() const;
  CallerLimits Limits() const;

  ServingSettings settings;
  const CallDialect& calls;
  SystemClock clock;
  ServiceLevelWindows serviceLevels{ this->clock, kMostMetricSeries };
  MetricsRegistry metrics{ this->clock, this->serviceLevels, kMostMetricSeries };
  asio::io_context loop{ 1 };
  EntryPicture picture;
  FirstConfiguration firstConfiguration;
  ServiceRetryBudgets retries;
  TargetHealth health;
  ZoneReach reach;
  TargetPicker picker;
  TargetChannelPool pool;
  StorePace pace;
  ComeBack comeBack;
  ReturnQueue returns;
  TargetCheck checks;
  CrashWatch crashes;
  BrokenRuns broken;
  TargetRateLimiter limits;
  PeerMesh mesh;
  EntryContext context;
  ConfigurationFeed configuration;
  MetricsServer metricsPage{ this->loop, this->metrics, this->settings.host };
  ServingSignals signals;
  asio::steady_timer housekeeping;
  asio::steady_timer sharing;
  ConnectionListener callers{ this->loop };
  ConnectionListener probes{ this->loop };
  Channels open;
  ControlLinks links{ this->settings.host, this->settings.zone };
  // The control host that is told what this host has where.
  HubChoice hub{ this->clock, this->settings.zone };
  bool wasReady = false;
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
  this->KnowSeeds(this->settings.seeds);
  this->signals.Wait([this](const ServingSettings& aFresh) { this->KnowSeeds(aFresh.seeds); },
                     [this] {
                       this->context.leaving = true;
                       asio::co_spawn(this->loop, this->Stop(), asio::detached);
                     });
  this->KeepHouse();
  this->ShareSends();
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
  const auto& routes = this->picture.Routes();
  return routes == nullptr ? CallerLimits() : routes->Config().limits;
}

Awaitable<void>
EntryHost::Impl::ServeCaller(std::shared_ptr<CallerChannel> aChannel)
{
  const auto place = this->open.insert(this->open.end(), aChannel);
  bool kept = true;
  while (kept) {
    auto request = co_await aChannel->Read(this->Limits());
    if (!request) {
      co_await this->AnswerUnreadable(*aChannel, request.error());
      break;
    }
    Exchange exchange(this->context, *aChannel, std::move(request.value()));
    kept = co_await exchange.Run();
  }
  aChannel->Close();
  this->open.erase(place);
}

Awaitable<void>
EntryHost::Impl::AnswerUnreadable(CallerChannel& aChannel, const Error& aError)
{
  if (aError.kind == ErrorKind::Interrupted) {
    co_return;
  }
  LogEvent(LogLevel::Info, "request_unreadable").With("error", aError);
  HttpResponseMessage answer = this->calls.FailureResponse(
    CallerError{ aError, RunOutcome::NotRun, std::nullopt }, RequestId());
  if (aError.kind == ErrorKind::DeadlineExceeded) {
    answer.head.status = 408;
  } else if (aError.kind == ErrorKind::Overloaded) {
    answer.head.status = 431;
  } else if (aError.kind == ErrorKind::NotPermitted) {
    answer.head.status = 413;
  }
  co_await aChannel.WriteWhole(std::move(answer), true);
}

// Answers whether this host is ready; on an address of its own, so that a full host still answers.
Awaitable<void>
EntryHost::Impl::ServeProbes(std::shared_ptr<CallerChannel> aChannel)
{
  while (true) {
    auto request = co_await aChannel->Read(CallerLimits());
    if (!request) {
      break;
    }
    HttpResponseMessage answer;
    const bool probe = this->calls.IsReadinessProbe(request.value().head);
    answer.head.status = !probe ? 404 : this->IsReady() ? 200 : 503;
    if (!co_await aChannel->WriteWhole(std::move(answer), false)) {
      break;
    }
  }
  aChannel->Close();
}

bool
EntryHost::Impl::IsReady() const
{
  return !this->context.leaving && this->picture.Routes() != nullptr;
}

// Readiness has failed already. New channels are served for as long as the balancer may still send
// some; then those without a request are closed, and the process ends with the last call.
Awaitable<void>
EntryHost::Impl::Stop()
{
  const MonotonicTime begun = this->clock.MonotonicNow();
  const MonotonicTime last = begun + this->settings.stopWithin - kStopMargin;
  asio::steady_timer timer(this->loop);
  while (true) {
    timer.expires_after(kStopStep);
    co_await timer.async_wait(kAsValue);
    const MonotonicTime now = this->clock.MonotonicNow();
    if (now < begun + kStillAccepted) {
      continue;
    }
    // An idle channel would bring a request that cannot end before this process does.
    this->callers.Close();
    for (const std::shared_ptr<CallerChannel>& channel : this->open) {
      channel->CloseIfIdle();
    }
    const auto busy = std::count_if(this->open.begin(), this->open.end(), [](const auto& aChannel) {
      return !aChannel->IsIdle();
    });
    if (busy == 0 || now >= last) {
      LogEvent(LogLevel::Info, "stop_ends").With("open", this->open.size()).With("busy", busy);
      break;
    }
  }
  this->mesh.Stop();
  this->loop.stop();
}

void
EntryHost::Impl::KeepHouse()
{
  this->pool.CloseExpired();
  if (!this->picture.HasControlHost()) {
    // The settings may name others by now, whether a signal told or not.
    if (const std::optional<ServingSettings> fresh = this->signals.ReadSettings()) {
      this->KnowSeeds(fresh->seeds);
    }
  }
  this->KeepControlLinks();
  this->housekeeping.expires_after(kHousekeeping);
  this->housekeeping.async_wait([this](const IoError& aError) {
    if (!aError) {
      this->KeepHouse();
    }
  });
}

// Returns the control hosts that could add up what the entry hosts have and tell of stores.
std::vector<HubCandidate>
EntryHost::Impl::HubCandidates() const
{
  std::vector<HubCandidate> candidates;
  for (const auto& [host, zone] : this->links.Known()) {
    if (this->picture.HasSpoken(host)) {
      candidates.push_back(HubCandidate{ host, zone, this->picture.IsGood(host) });
    }
  }
  return candidates;
}

// Tells a control host what this host has where.
void
EntryHost::Impl::ShareSends()
{
  const std::optional<HostId> before = this->hub.Hub();
  const std::optional<HostId> chosen = this->hub.Choose(this->HubCandidates());
  const bool changed = chosen != before;
  if (changed && before && this->picture.HasSpoken(*before)) {
    // It must not count this host any more, should the connection stand yet.
    LoadReport farewell;
    farewell.host = this->settings.host;
    farewell.last = true;
    this->TellSends(*before, farewell);
  }
  if (changed) {
    LogEvent(LogLevel::Info, "hub_chosen")
      .With("hub", chosen.value_or(HostId()))
      .With("before", before.value_or(HostId()));
    this->picture.ListenForStores(chosen);
    this->picker.ResendAll();
    this->crashes.ResendAll();
    this->limits.ResendAll();
    // The totals of the next hub contain all that those of the former did.
    this->picker.RemoveSumsBefore(this->clock.MonotonicNow());
  }
  this->TellWhatChanged(changed);
  this->configuration.Step();
  this->picker.RemoveSumsBefore(this->clock.MonotonicNow() - SendsSum::kSilenceLimit);
  this->sharing.expires_after(kShareStep);
  this->sharing.async_wait([this](const IoError& aError) {
    if (!aError) {
      this->ShareSends();
    }
  });
}

void
EntryHost::Impl::TellWhatChanged(bool aHubIsNew)
{
  // Taken in any case: without a hub it would pile up, and the next one is told all anew.
  LoadReport news;
  news.host = this->settings.host;
  news.urgent = this->picker.HasUrgentSends();
  news.sends = this->picker.TakeSends();
  news.excesses = this->pace.TakeObservations();
  news.findings = this->health.TakeReachabilityReports();
  news.crashes = this->crashes.TakeReports();
  news.sound = this->crashes.TakeSuccessfulRuns();
  news.limitReports = this->limits.TakeReports();
  const bool anything = !news.sends.empty() || !news.excesses.empty() || !news.findings.empty() ||
                        !news.crashes.empty() || !news.sound.empty() || !news.limitReports.empty();
  if (this->hub.Hub() && (aHubIsNew || anything)) {
    this->TellSends(*this->hub.Hub(), news);
    if (!news.sends.empty()) {
      this->hub.OnReportSent();
    }
  }
}

void
EntryHost::Impl::TellSends(const HostId& aTo, const LoadReport& aNews)
{
  this->mesh.Send(aTo, PeerMessage{ Channel::Serving, GroupId(), EncodeServingMessage(aNews) });
}

void
EntryHost::Impl::KnowSeeds(const std::vector<HostId>& aSeeds)
{
  for (const HostId& host : aSeeds) {
    this->links.AddHost(host, ZoneId());
  }
  this->KeepControlLinks();
}

// Connects to the control hosts that are wanted; the others are left once enough of these are good.
void
EntryHost::Impl::KeepControlLinks()
{
  const auto isGood = [this](const HostId& aHost) { return this->picture.IsGood(aHost); };
  const std::vector<HostId> wanted = this->links.Select(isGood);
  for (const HostId& host : wanted) {
    this->mesh.Dial(host);
  }
  const auto good = std::count_if(wanted.begin(), wanted.end(), isGood);
  if (static_cast<std::size_t>(good) < ControlLinks::kHealthyLinks) {
    return;
  }
  for (const auto& [host, zone] : this->links.Known()) {
    if (std::find(wanted.begin(), wanted.end(), host) == wanted.end()) {
      this->mesh.Disconnect(host);
    }
  }
}

void
EntryHost::Impl::OnPeerUp(const HostId& aPeer, LinkSide /*aSide*/)
{
  const Greeting greeting{ HostRole::Entry, this->settings.zone, {} };
  this->mesh.Send(aPeer,
                  PeerMessage{ Channel::Serving, GroupId(), EncodeServingMessage(greeting) });
  this->picture.OnLink(aPeer, true);
}

void
EntryHost::Impl::OnPeerDown(const HostId& aPeer, LinkSide /*aSide*/)
{
  this->picture.OnLink(aPeer, false);
  this->configuration.OnLost(aPeer);
  this->crashes.OnLost(aPeer);
  // It has forgotten this host; should it come back at once, it is told everything anew.
  this->hub.OnLost(aPeer);
}

void
EntryHost::Impl::OnPeerMessage(const HostId& aPeer, PeerMessage aMessage)
{
  this->hub.OnMessageFrom(aPeer);
  auto message = DecodeServingMessage(aMessage.payload);
  if (!message) {
    LogEvent(LogLevel::Warning, "picture_refused")
      .With("from", aPeer)
      .With("error", message.error());
    return;
  }
  if (const auto* news = std::get_if<LoadReport>(&message.value())) {
    // The totals of two control hosts speak of the same calls.
    if (this->hub.Hub() == aPeer) {
      this->picker.ApplySum(*news, this->clock.MonotonicNow());
      this->TakeLimits(*news);
    }
    this->pace.Merge(news->excesses);
    this->health.Take(news->findings);
    return;
  }
  if (const auto* piece = std::get_if<DocumentChunk>(&message.value())) {
    this->configuration.OnPiece(aPeer, *piece);
    return;
  }
  if (const auto* told = std::get_if<ServingUpdate>(&message.value())) {
    this->TakePicture(aPeer, *told);
  }
}

void
EntryHost::Impl::TakePicture(const HostId& aPeer, const ServingUpdate& aTold)
{
  const bool wasGood = this->picture.IsGood(aPeer);
  this->picture.Take(aPeer, aTold);
  this->configuration.OnPicture(aPeer, aTold);
  if (aTold.crashing) {
    this->TakeCrashing(aPeer, *aTold.crashing);
  }
  this->ProveEnds(aTold);
  for (const TargetRecord& target : this->picture.Targets().TakeRestarted()) {
    this->ReportEnded(this->broken.TakeConfirmedByStart(target), "restarted");
    LogEvent(LogLevel::Info, "target_restarted")
      .With("target", target.id)
      .With("incarnation", target.incarnation)
      .With("sequence", target.sequence);
    this->picker.OnRestart(target);
    this->health.OnRestart(target.id);
    this->limits.OnRestart(target.id);
  }
  this->TakeCold(aTold.targets);
  this->FollowEvacuations();
  this->retries.SetHosts(this->picture.EntryHosts());
  const bool named = this->links.AddHosts(this->picture.TakeNewControlHosts());
  if (named || this->picture.IsGood(aPeer) != wasGood) {
    this->KeepControlLinks();
  }
}

// Finds out from the picture which targets had ended when their answers broke off. Where most of a
// zone falls silent at once, that is no word of its targets.
void
EntryHost::Impl::ProveEnds(const ServingUpdate& aTold)
{
  for (const TargetRecord& target : this->picture.Targets().TakeDiscovered()) {
    this->ReportEnded(this->broken.TakeConfirmedByStart(target), "replaced");
  }
  for (const TargetUpdate& statement : aTold.targets) {
    const TargetRecord& record = statement.record;
    const bool ended = statement.standing == TargetAvailability::Silent &&
                       !this->broken.IsEmpty() &&
                       !this->picture.Targets().IsMostlySilent(record.zone);
    if (ended) {
      this->ReportEnded(this->broken.TakeConfirmedBySilence(record), "silent");
    }
  }
}

void
EntryHost::Impl::ReportEnded(const std::vector<CrashReport>& aReports, std::string_view aProof)
{
  for (const CrashReport& report : aReports) {
    LogEvent(LogLevel::Info, "target_ended_under_request")
      .With("fingerprint", report.request)
      .With("target", report.target)
      .With("incarnation", report.incarnation)
      .With("proof", aProof);
    this->crashes.OnCrash(report);
  }
}

// Nothing where a cold target of the service bears as much as a warm one.
std::optional<ColdStartSpec>
EntryHost::Impl::ColdTraitsOf(const ServiceName& aService) const
{
  const RoutesPtr& routes = this->picture.Routes();
  const ServingService* service =
    routes == nullptr ? nullptr : routes->Config().FindService(aService);
  return service == nullptr ? std::nullopt : service->cold;
}

void
EntryHost::Impl::TakeCold(const std::vector<TargetUpdate>& aTold)
{
  const bool unconfigured = this->picture.Routes() == nullptr;
  for (const TargetUpdate& statement : aTold) {
    const TargetRecord& record = statement.record;
    if (record.coldFor <= Duration::zero()) {
      continue;
    }
    const TargetRecord* newest = this->picture.Targets().Find(record.id);
    const bool isNewest = newest != nullptr && newest->sequence <= record.sequence;
    if (isNewest && (unconfigured || this->ColdTraitsOf(record.service))) {
      this->limits.OnCold(record, record.coldFor);
      LogEvent(LogLevel::Info, "target_cold")
        .With("target", record.id)
        .With("sequence", record.sequence)
        .With("cold_ms", WholeMilliseconds(record.coldFor));
    }
  }
}

// Targets of a zone that is given back may have become cold meanwhile without having said so yet.
void
EntryHost::Impl::FollowEvacuations()
{
  for (const ZoneId& zone : this->picture.TakeEvacuated()) {
    for (const TargetRecord& target : this->picture.Targets().InZone(zone)) {
      this->pool.CloseIdle(target.endpoint);
    }
    LogEvent(LogLevel::Info, "zone_evacuated").With("zone", zone);
  }
  for (const ZoneId& zone : this->picture.TakeReturned()) {
    for (const TargetRecord& target : this->picture.Targets().InZone(zone)) {
      if (const std::optional<ColdStartSpec> cold = this->ColdTraitsOf(target.service)) {
        this->limits.OnCold(target, cold->lasts);
      }
    }
    LogEvent(LogLevel::Info, "zone_returned").With("zone", zone);
  }
}

void
EntryHost::Impl::TakeLimits(const LoadReport& aNews)
{
  if (!aNews.limits) {
    return;
  }
  this->limits.SetShares(*aNews.limits);
  for (const TargetLimit& limit : *aNews.limits) {
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
EntryHost::Impl::TakeCrashing(const HostId& aPeer, const CrashingRequests& aTold)
{
  this->crashes.SetVerdicts(aPeer, aTold);
  LogEvent(LogLevel::Info, "crashing_requests_told")
    .With("from", aPeer)
    .With("refused", aTold.refused.size())
    .With("suspected", aTold.suspected.size());
}

void
EntryHost::Impl::NoteReady()
{
  this->firstConfiguration.OnInForce();
  if (this->IsReady() && !this->wasReady) {
    this->wasReady = true;
    LogEvent(LogLevel::Info, "ready").With("version", this->picture.Routes()->Config().version);
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
