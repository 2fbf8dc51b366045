#include "HostProcess.h"

#include <absl/strings/str_cat.h>

#include "CallerService.h"
#include "RoutingDesk.h"
#include "TargetsModule.h"
#include "TrafficView.h"
#include "damasklink/protocol/EngineApi.h"
#include "damasklink/transport/ControlLoop.h"
#include "damasklink/transport/HttpServer.h"
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
  options.mostBody = aSettings.limits.requestBody;
  options.idle = aSettings.limits.callerIdle;
  return options;
}

} // namespace

class HostProcess::Impl
{
public:
  explicit Impl(HostSettings aSettings)
    : settings(std::move(aSettings))
    , routing(std::make_unique<LeastLoadedRouter>())
    , relay{ this->clock, this->settings.timeouts, this->routing, this->views }
    , callers(this->relay, this->settings)
    , control(this->clock, kMailboxSize)
    , network(this->settings,
              [this](HostId aFrom, PeerMessage aMessage) {
                this->control.PostPeerMessage(std::move(aFrom), std::move(aMessage));
              })
    , targets(this->clock,
              this->settings,
              this->network,
              [this](std::vector<TargetRecord> aTargets) {
                this->view.targets = std::move(aTargets);
                this->views.Publish(this->view);
              })
    , callerServer(ServerOptions(this->settings,
                                 this->settings.listen.callers,
                                 this->settings.limits.callerThreads))
    , operatorServer(
        ServerOptions(this->settings, this->settings.listen.operators, kOperatorThreads))
    , targetServer(ServerOptions(this->settings, this->settings.listen.targets, kTargetThreads))
  {
  }

  Result<void> LoadInitialTree()
  {
    if (this->settings.initialTree.empty()) {
      return Success();
    }
    auto text = ReadWholeFile(this->settings.initialTree);
    if (!text) {
      return Fail(text.error());
    }
    const auto parsed = ParseConfigTree(text.value(), this->settings.initialTree);
    if (!parsed.Ok()) {
      return Fail(ErrorKind::InvalidArgument,
                  FormatFault(parsed.faults.front()),
                  "run damasklink check for all faults");
    }
    this->view.callers = std::make_shared<CallerDirectory>(parsed.value);
    this->views.Publish(this->view);
    return Success();
  }

  void AddRoutes()
  {
    this->callers.AddRoutes(this->callerServer);
    const HttpHandler fine = [](const HttpRequest&) {
      HttpResponse response;
      response.contentType = "text/plain";
      response.body = "ok\n";
      return response;
    };
    this->operatorServer.Route("GET", "/healthz", fine);
    this->operatorServer.Route("GET", "/readyz", fine);
    this->targetServer.Route("POST", "/v1/targets/announce", [this](const HttpRequest& aRequest) {
      return this->TakeAnnouncement(aRequest);
    });
  }

  HttpResponse TakeAnnouncement(const HttpRequest& aRequest)
  {
    auto record = ParseTargetRecord(aRequest.body);
    if (!record) {
      return RefusalResponse(record.error());
    }
    const bool posted =
      this->control.Post([this, taken = record.value()] { this->targets.Announce(taken); });
    if (!posted) {
      return RefusalResponse(
        Error{ ErrorKind::Overloaded, "the control thread is behind", "announce again shortly" });
    }
    HttpResponse response;
    response.body = "{}";
    return response;
  }

  HostSettings settings;
  SystemClock clock;
  TrafficViewHolder views;
  // The copy that the control thread changes and publishes.
  TrafficView view;
  RoutingDesk routing;
  RelayContext relay;
  CallerService callers;
  ControlLoop control;
  PeerNetwork network;
  TargetsModule targets;
  HttpServer callerServer;
  HttpServer operatorServer;
  HttpServer targetServer;
};

HostProcess::HostProcess(HostSettings aSettings)
  : impl(std::make_unique<Impl>(std::move(aSettings)))
{
}

HostProcess::~HostProcess() = default;

Result<void>
HostProcess::Start()
{
  if (auto loaded = this->impl->LoadInitialTree(); !loaded) {
    return loaded;
  }
  this->impl->AddRoutes();
  this->impl->control.Add(Channel::Targets, this->impl->targets);
  this->impl->control.Start();
  if (auto started = this->impl->network.Start(); !started) {
    return started;
  }
  for (HttpServer* server :
       { &this->impl->targetServer, &this->impl->operatorServer, &this->impl->callerServer }) {
    if (auto started = server->Start(); !started) {
      return started;
    }
  }
  LogEvent(LogLevel::Info, "host_started")
    .With("host", this->impl->settings.host)
    .With("zone", this->impl->settings.zone)
    .With("callers", FormatEndpoint(this->impl->settings.listen.callers));
  return Success();
}

void
HostProcess::Stop()
{
  this->impl->control.AnnounceShutdown();
  this->impl->callerServer.Stop();
  this->impl->targetServer.Stop();
  this->impl->operatorServer.Stop();
  this->impl->network.Stop();
  this->impl->control.Stop();
  LogEvent(LogLevel::Info, "host_stopped").With("host", this->impl->settings.host);
}

} // namespace damasklink
