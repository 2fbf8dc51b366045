#include "HostProcess.h"

#include <absl/strings/str_cat.h>

#include "AgreementSubsystem.h"
#include "ConfigurationPart.h"
#include "HostContext.h"
#include "OperatorPart.h"
#include "ReuseSubsystem.h"
#include "TrafficSubsystem.h"
#include "damasklink/coordination/ServiceLevelWindows.h"
#include "damasklink/state/MetricsRegistry.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

constexpr std::size_t kMailboxSize = 65'536;
constexpr std::size_t kOperatorThreads = 8;
constexpr std::size_t kTargetThreads = 64;

HttpServer::Options
ServerOptions(const HostSettings& aSettings, const Endpoint& aEndpoint, std::size_t aThreads)
{
  HttpServer::Options options;
  options.endpoint = aEndpoint;
  options.threads = aThreads;
  options.maxBody = aSettings.limits.requestBody;
  options.idleTimeout = aSettings.limits.callerIdle;
  return options;
}

} // namespace

class HostProcess::Impl
{
public:
  explicit Impl(HostSettings aSettings)
    : settings(std::move(aSettings))
    , publisher(this->views)
    , control(this->clock, kMailboxSize)
    , network(this->settings,
              this->metrics,
              [this](HostId aFrom, PeerMessage aMessage) {
                this->control.PostPeerMessage(std::move(aFrom), std::move(aMessage));
              })
    , context{ this->settings, this->clock, this->metrics,   this->control,
               this->network,  this->views, this->publisher, this->phase }
    , agreement(this->context)
    , configuration(this->context, this->agreement.Groups())
    , reuse(this->context, this->agreement.Groups())
    , traffic(this->context, this->agreement.Groups(), this->reuse)
    , operators(this->context, this->metrics, this->serviceLevels)
    , callerServer(ServerOptions(this->settings,
                                 this->settings.listen.callers,
                                 this->settings.limits.callerThreads))
    , operatorServer(
        ServerOptions(this->settings, this->settings.listen.operators, kOperatorThreads))
    , targetServer(ServerOptions(this->settings, this->settings.listen.targets, kTargetThreads))
  {
  }

  void AddRoutes()
  {
    const HostServers servers{ this->callerServer, this->operatorServer, this->targetServer };
    this->agreement.AddRoutes(servers);
    this->configuration.AddRoutes(servers);
    this->reuse.AddRoutes(servers);
    this->traffic.AddRoutes(servers);
    this->operators.AddRoutes(servers);
  }

  Result<void> StartParts()
  {
    if (auto started = this->agreement.Start(); !started) {
      return started;
    }
    if (auto started = this->configuration.Start(); !started) {
      return started;
    }
    if (auto started = this->reuse.Start(); !started) {
      return started;
    }
    return this->traffic.Start();
  }

  Result<void> StartServers()
  {
    if (auto started = this->network.Start(); !started) {
      return started;
    }
    for (HttpServer* server : { &this->targetServer, &this->operatorServer, &this->callerServer }) {
      if (auto started = server->Start(); !started) {
        return started;
      }
    }
    return Success();
  }

  HostSettings settings;
  SystemClock clock;
  ServiceLevelWindows serviceLevels{ this->clock, kMostMetricSeries };
  MetricsRegistry metrics{ this->clock, this->serviceLevels, kMostMetricSeries };
  TrafficViewHolder views;
  ViewPublisher publisher;
  std::atomic<HostPhase> phase{ HostPhase::Starting };
  ControlLoop control;
  PeerNetwork network;
  HostContext context;
  AgreementSubsystem agreement;
  ConfigurationPart configuration;
  ReuseSubsystem reuse;
  TrafficSubsystem traffic;
  OperatorPart operators;
  HttpServer callerServer;
  HttpServer operatorServer;
  HttpServer targetServer;
};

HostProcess::HostProcess(HostSettings aSettings)
  : impl(std::make_unique<Impl>(std::move(aSettings)))
{
}

HostProcess::~HostProcess()
{
  // After a failed Start() these threads may still run and use the parts.
  this->impl->network.Stop();
  this->impl->control.Stop();
}

Result<void>
HostProcess::Start()
{
  Impl& host = *this->impl;
  if (auto started = host.StartParts(); !started) {
    return started;
  }
  host.AddRoutes();
  host.control.Start();
  if (auto started = host.StartServers(); !started) {
    return started;
  }
  host.configuration.AwaitFirstTree();
  host.phase.store(HostPhase::Ready);
  LogEvent(LogLevel::Info, "host_started")
    .With("host", host.settings.host)
    .With("zone", host.settings.zone)
    .With("callers", FormatEndpoint(host.settings.listen.callers));
  return Success();
}

void
HostProcess::Stop()
{
  Impl& host = *this->impl;
  host.phase.store(HostPhase::Leaving);
  host.control.AnnounceShutdown();
  host.traffic.Drain();
  host.callerServer.Stop();
  host.targetServer.Stop();
  host.operatorServer.Stop();
  host.network.Stop();
  host.control.Stop();
  LogEvent(LogLevel::Info, "host_stopped").With("host", host.settings.host);
}

void
HostProcess::Hurry()
{
  this->impl->traffic.Hurry();
}

ListenAddresses
HostProcess::Addresses() const
{
  ListenAddresses addresses = this->impl->settings.listen;
  addresses.callers = this->impl->callerServer.Address();
  addresses.operators = this->impl->operatorServer.Address();
  addresses.targets = this->impl->targetServer.Address();
  return addresses;
}

} // namespace damasklink
