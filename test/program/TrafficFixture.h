// Runs the request handling of a host behind a real HTTP server, with targets that a test scripts.
#pragma once

#include <gtest/gtest.h>

#include "ReuseSubsystem.h"
#include "TrafficSubsystem.h"
#include "damasklink/state/Digests.h"
#include "damasklink/transport/HttpClient.h"
#include "support/MemoryReplicator.h"
#include "support/OwnAddress.h"

namespace damasklink {

// Drops all messages to peers.
class NoPeers final : public PeerSender
{
public:
  void Send(const HostId& /*aTo*/, PeerMessage /*aMessage*/) override {}
};

// An HTTP server on a free port of the loopback address, whose handler the test provides.
class ScriptedTarget
{
public:
  explicit ScriptedTarget(HttpHandler aHandler)
    : server(Options())
  {
    this->server.Route("POST", "/.*", std::move(aHandler));
    EXPECT_TRUE(this->server.Start());
  }

  TargetRecord Record(const std::string& aId, TargetKind aKind) const
  {
    TargetRecord record;
    record.id = TargetId(aId);
    record.kind = aKind;
    record.endpoint = this->server.Address();
    record.service = ServiceName(aKind == TargetKind::Service ? "plates" : "");
    if (aKind == TargetKind::Engine) {
      record.models = { ServedModel{ ModelName("plates-7b"), WeightVersion("v1"), {} } };
    }
    return record;
  }

  void Stop() { this->server.Stop(); }

  static HttpServer::Options Options()
  {
    HttpServer::Options options;
    options.endpoint.address = testing::OwnAddress(1);
    return options;
  }

private:
  HttpServer server;
};

// A host with one zone, whose modules are started by StartHost(). Tests set the targets of its view
// directly.
class TrafficFixture : public ::testing::Test
{
protected:
  TrafficFixture()
  {
    this->publisher.Change([](TrafficView& aView) {
      aView.revision = Revision(1);
      aView.callers = std::make_shared<CallerDirectory>(MakeTree());
    });
  }

  ~TrafficFixture() override
  {
    this->callers.Stop();
    this->control.Stop();
  }

  void StartHost()
  {
    ASSERT_TRUE(this->traffic.Start());
    this->traffic.AddRoutes(HostServers{ this->callers, this->operators, this->targets });
    this->control.Start();
    ASSERT_TRUE(this->callers.Start());
    this->phase.store(HostPhase::Ready);
  }

  void SetTargets(std::vector<TargetRecord> aTargets)
  {
    this->publisher.Change([&](TrafficView& aView) { aView.targets = std::move(aTargets); });
  }

  HttpCall MakeCall(const std::string& aPath, const std::string& aBody) const
  {
    HttpCall call;
    call.endpoint = this->callers.Address();
    call.method = "POST";
    call.path = aPath;
    call.headers = { { "authorization", "Bearer office-key" } };
    call.body = aBody;
    return call;
  }

  HttpClientResponse Post(const std::string& aPath,
                          const std::string& aBody,
                          const std::string& aKey = "")
  {
    HttpCall call = this->MakeCall(aPath, aBody);
    if (!aKey.empty()) {
      call.headers.emplace_back("idempotency-key", aKey);
    }
    auto answer = CallHttp(std::move(call), ByteCount(1 << 20));
    EXPECT_TRUE(answer) << answer.error();
    return answer ? answer.value() : HttpClientResponse();
  }

  // Returns a tree of two workspaces with one key each, "office-key" and "branch-key".
  static ConfigTree MakeTree()
  {
    ConfigTree tree;
    tree.defaults.models = { ModelGrant{ ModelName("plates-7b"), {} } };
    tree.defaults.services = { ServiceRoute{
      ServiceName("plates"), false, std::chrono::seconds(5) } };
    tree.workspaces[WorkspaceId("office")].teams[TeamId("t")].keys = { DigestOf("office-key") };
    tree.workspaces[WorkspaceId("branch")].teams[TeamId("t")].keys = { DigestOf("branch-key") };
    return tree;
  }

  static HostSettings MakeSettings()
  {
    HostSettings settings;
    settings.host = HostId("north-1");
    settings.zone = ZoneId("hall-north");
    settings.peers = { PeerSettings{ settings.host, settings.zone, {}, {}, false } };
    return settings;
  }

  HostSettings settings = MakeSettings();
  SystemClock clock;
  NoMetrics metrics;
  TrafficViewHolder views;
  ViewPublisher publisher{ views };
  std::atomic<HostPhase> phase{ HostPhase::Starting };
  ControlLoop control{ clock, 4096 };
  NoPeers peers;
  HostContext context{ settings, clock, metrics, control, peers, views, publisher, phase };
  testing::MemoryReplicator groups{ clock };
  ReuseSubsystem reuse{ context, groups };
  TrafficSubsystem traffic{ context, groups, reuse };
  HttpServer callers{ ScriptedTarget::Options() };
  HttpServer operators{ ScriptedTarget::Options() };
  HttpServer targets{ ScriptedTarget::Options() };
};

} // namespace damasklink
