#include "ConfigurationHosts.h"

#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <iostream>
#include <memory>
#include <thread>

#include "HostProcess.h"
#include "damasklink/protocol/OperatorApi.h"
#include "damasklink/state/Digests.h"
#include "damasklink/state/Text.h"
#include "damasklink/transport/HttpClient.h"

namespace damasklink::bench {
namespace {

// Nine whole hosts in this process, three of them with disks, on loopback.
class NineHosts
{
public:
  explicit NineHosts(std::uint16_t aBasePort)
    : folder(std::filesystem::temp_directory_path() / Concat("damasklink-bench-", ::getpid()))
  {
    std::vector<PeerSettings> peers;
    for (std::size_t index = 0; index < kHosts; ++index) {
      const auto port = static_cast<std::uint16_t>(aBasePort + 10 * index);
      PeerSettings peer = SettingsOf(index).peers[index];
      peer.peers = Endpoint{ "127.0.0.1", port };
      peer.operators = Endpoint{ "127.0.0.1", static_cast<std::uint16_t>(port + 1) };
      peer.disk = index % kHostsOfZone == 0;
      peers.push_back(peer);
    }
    for (std::size_t index = 0; index < kHosts; ++index) {
      HostSettings settings = SettingsOf(index);
      settings.peers = peers;
      settings.listen.peers = peers[index].peers;
      settings.listen.operators = peers[index].operators;
      settings.listen.callers = Endpoint{ "127.0.0.1", 0 };
      settings.listen.targets = Endpoint{ "127.0.0.1", 0 };
      settings.operatorKeys = { DigestOf(kKey) };
      settings.limits.callerIdle = std::chrono::seconds(1);
      if (peers[index].disk) {
        settings.dataFolder = this->folder / Concat(index);
        std::filesystem::create_directories(settings.dataFolder);
      }
      this->operators.push_back(peers[index].operators);
      this->hosts.push_back(std::make_unique<HostProcess>(settings));
    }
  }

  ~NineHosts()
  {
    for (auto& host : this->hosts) {
      host->Stop();
    }
    this->hosts.clear();
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
  }

  bool Start()
  {
    std::vector<std::thread> starts;
    std::atomic<bool> allStarted{ true };
    for (auto& host : this->hosts) {
      starts.emplace_back([&host, &allStarted] {
        if (auto started = host->Start(); !started) {
          std::cerr << started.error() << '\n';
          allStarted.store(false);
        }
      });
    }
    for (std::thread& start : starts) {
      start.join();
    }
    return allStarted.load();
  }

  Result<HttpClientResponse> Call(std::size_t aHost,
                                  const std::string& aMethod,
                                  const std::string& aPath,
                                  const std::string& aBody) const
  {
    HttpCall call;
    call.endpoint = this->operators[aHost];
    call.method = aMethod;
    call.path = aPath;
    call.headers = { { "authorization", Concat("Bearer ", kKey) } };
    call.body = aBody;
    return CallHttp(std::move(call), ByteCount(kMebibyte));
  }

  // Returns the revision in force on the host, zero when it does not answer.
  Revision RevisionOf(std::size_t aHost) const
  {
    const auto answer = this->Call(aHost, "GET", "/v1/config/status", "");
    const auto status = answer ? ParseHostStatus(answer.value().body) : Fail(answer.error());
    return status ? status.value().revision : Revision();
  }

private:
  static constexpr std::string_view kKey = "bench-key";

  std::filesystem::path folder;
  std::vector<Endpoint> operators;
  std::vector<std::unique_ptr<HostProcess>> hosts;
};

} // namespace

double
Milliseconds(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

SharedContent
MakeWorkspace(const std::string& aName, std::uint64_t aShare)
{
  WorkspaceNode workspace;
  workspace.policy.share = aShare;
  workspace.policy.limits.concurrentRequests = 200;
  for (std::size_t team = 0; team < kTeams; ++team) {
    TeamNode& node = workspace.teams[TeamId(Concat("team-", team))];
    node.policy.limits.requestsPerSecond = 50;
    for (std::size_t key = 0; key < kKeysOfTeam; ++key) {
      node.keys.push_back(DigestOf(Concat(aName, "/", team, "/", key)));
    }
  }
  return std::make_shared<const SubtreeContent>(std::move(workspace));
}

HostSettings
SettingsOf(std::size_t aSelf)
{
  HostSettings settings;
  for (std::size_t index = 0; index < kHosts; ++index) {
    settings.peers.push_back(PeerSettings{ HostId(Concat("hall-north-", index)),
                                           ZoneId(Concat("hall-", index / kHostsOfZone)),
                                           {},
                                           {},
                                           false });
  }
  settings.host = settings.peers[aSelf].host;
  settings.zone = settings.peers[aSelf].zone;
  return settings;
}

int
MeasureInForce(std::uint16_t aBasePort)
{
  constexpr int kChanges = 60;
  const SystemClock clock;
  NineHosts hosts(aBasePort);
  if (!hosts.Start()) {
    std::cerr << "the hosts did not start; free the ports from " << aBasePort << " on\n";
    return 1;
  }
  std::vector<double> accepted;
  std::vector<double> inForce;
  for (int change = 0; change < kChanges; ++change) {
    const std::string name = Concat("w", change);
    const SubtreeName subtree = WorkspaceSubtree(WorkspaceId(name));
    const ChangeRequest request{ ChangeId(name),
                                 subtree,
                                 Revision(),
                                 "bench",
                                 FormatSubtree({ subtree, MakeWorkspace(name, 1) }),
                                 false };
    const MonotonicTime sent = clock.MonotonicNow();
    const auto answer =
      hosts.Call(change % kHosts, "POST", "/v1/config/changes", FormatChangeRequest(request));
    const auto revision = answer ? ParseAccepted(answer.value().body) : Fail(answer.error());
    if (!revision || revision.value() == Revision()) {
      std::cerr << "not accepted: " << (answer ? answer.value().body : "no answer") << '\n';
      return 1;
    }
    const MonotonicTime told = clock.MonotonicNow();
    for (std::size_t host = 0; host < kHosts; ++host) {
      while (hosts.RevisionOf(host) < revision.value()) {
      }
    }
    accepted.push_back(Milliseconds(told - sent));
    inForce.push_back(Milliseconds(clock.MonotonicNow() - told));
  }
  std::ranges::sort(accepted);
  std::ranges::sort(inForce);
  std::cout << "in_force hosts=" << kHosts << " changes=" << kChanges
            << " accept_median_ms=" << accepted[kChanges / 2]
            << " accept_worst_ms=" << accepted.back()
            << " all_hosts_median_ms=" << inForce[kChanges / 2]
            << " all_hosts_worst_ms=" << inForce.back()
            << " (after the answer, polling over HTTP included)\n";
  return 0;
}

} // namespace damasklink::bench
