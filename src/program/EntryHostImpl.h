// The parts of an entry host and how they are connected. Internal to EntryHost.
#pragma once

#include <list>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include "CallForwarder.h"
#include "ConfigurationUpdater.h"
#include "ConnectionRefuser.h"
#include "EntryHost.h"
#include "Exchange.h"
#include "MetricsServer.h"
#include "QueuedRequestMemory.h"
#include "damasklink/coordination/ConnectionAdmission.h"
#include "damasklink/coordination/ControlHostSelector.h"
#include "damasklink/coordination/HubSelector.h"
#include "damasklink/coordination/OwnMemory.h"
#include "damasklink/coordination/ServiceLevelWindows.h"
#include "damasklink/coordination/StallFilter.h"
#include "damasklink/state/MetricsRegistry.h"
#include "damasklink/state/ThreadTimes.h"
#include "damasklink/transport/ConnectionEndLog.h"
#include "damasklink/transport/ConnectionListener.h"
#include "damasklink/transport/LingeringClose.h"
#include "damasklink/transport/PeerMesh.h"

namespace damasklink {

class EntryHost::Impl final
  : public PeerMeshHandler
  , public CallerLimitsSource
{
public:
  Impl(ServingSettings aSettings,
       const CallDialect& aCalls,
       const ControlDialect& aControl,
       SettingsReader aReader)
    : settings(std::move(aSettings))
    , calls(aCalls)
    , state(this->clock, this->settings.host, this->settings.weightsWithin)
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
                this->memory,
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
    , mesh(this->loop, this->settings.host, this->settings.peerPort, this->memory, *this)
    , context{ this->loop,
               this->clock,
               this->memory,
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
               this->stopAdmission,
               this->turns,
               this->room,
               this->clock.MonotonicNow(),
               nullptr,
               false,
               false,
               {},
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

  LimitsInForce Current() const override;

private:
  static std::uint64_t RandomSeed() { return std::random_device()(); }

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
  // Waits until no call is in progress. Returns false if that is not so at this time.
  Awaitable<bool> AwaitCallsEnd(MonotonicTime aUntil);
  // Answers or cuts off the calls that targets have not answered.
  void EndCalls();
  std::size_t BusyConnections() const;
  void RunHousekeeping();
  std::vector<HubCandidate> HubCandidates() const;
  std::vector<HostId> ReportingControlHosts() const;
  void ReportLoadPeriodically();
  void LogLateness(Duration aLag, bool aOverloaded);
  void UpdateAdmission();
  void UpdateCrowded();
  void UpdateHedges();
  Duration IntervalLag() const;
  Duration LagOfLoad() const;
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
  RequestUrgency UrgencyOf(const HttpRequestHead& aHead) const;
  // Gives back this many bytes of bodies that targets have, as far as there are any.
  void GiveBackBodies(std::size_t aBytes);
  // Measures what the process uses for itself.
  void UpdateMemory();

  ServingSettings settings;
  const CallDialect& calls;
  SystemClock clock;
  ServiceLevelWindows serviceLevels{ this->clock, kMostMetricSeries };
  MetricsRegistry metrics{ this->clock, this->serviceLevels, kMostMetricSeries };
  // Outlives the calls that are cut off when the loop is destroyed.
  MemoryBudget memory{ this->settings.memory };
  OwnMemory ownMemory;
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
  StopAdmission stopAdmission{ this->clock };
  TargetTurns turns{ this->clock, this->settings.host };
  RoomWaiters room{ this->loop, this->clock, this->metrics };
  PeerMesh mesh;
  EntryContext context;
  ConfigurationUpdater configuration;
  MetricsServer metricsPage{ this->loop, this->metrics, this->memory, this->settings.host };
  ServingSignals signals;
  asio::steady_timer housekeeping;
  asio::steady_timer loadReports;
  ConnectionListener callers{ this->loop };
  ConnectionListener probes{ this->loop };
  // The callers' connections.
  Channels open;
  LingeringClose lingering;
  ConnectionEndLog ends{ this->metrics };
  // The one that the callers' connections wait with.
  Duration idleTimeout = CallerLimits().idleTimeout;
  ControlHostSelector links{ this->settings.host, this->settings.zone };
  // Selects the control host that gets this host's load reports.
  HubSelector hub{ this->clock, this->settings.zone };
  bool wasReady = false;
  ConnectionAdmission admission;
  StallFilter stalls;
  QueuedRequestMemory requestMemory{ this->loop,
                                     this->clock,
                                     this->memory,
                                     this->metrics,
                                     [this](const auto& aHead) { return this->UrgencyOf(aHead); },
                                     [this](std::size_t aBytes) { this->GiveBackBodies(aBytes); },
                                     RandomSeed() };
  ImmediateRequestMemory probeMemory{ this->memory };
  ConnectionRefuser refuser{ this->clock, this->calls, RandomSeed() };
  // The times of the event loop's thread at the end of the last interval.
  ThreadTimes loopTimes;
  MonotonicTime loopTimesAt = this->clock.MonotonicNow();
  // When the next load report is due.
  MonotonicTime nextInterval = this->clock.MonotonicNow();
};

} // namespace damasklink
