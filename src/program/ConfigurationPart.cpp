#include "ConfigurationPart.h"

#include <thread>

#include "Responses.h"
#include "damasklink/protocol/EngineApi.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

// Longer than a group takes to elect its first leader.
constexpr Duration kFirstTreeLimit = std::chrono::seconds(4);
constexpr Duration kFirstTreePoll = std::chrono::milliseconds(5);

// Returns an incarnation that rises with each start, by the wall clock. If the clock was set back,
// membership raises the incarnation above that of the earlier start.
Incarnation
IncarnationOf(WallTime aStart)
{
  const auto sinceEpoch = aStart.time_since_epoch();
  const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
  return Incarnation(static_cast<std::uint64_t>(count));
}

// Returns the tree of the initial file, with one revision for each subtree.
RevisionedTree
TreeOf(const ConfigTree& aTree)
{
  RevisionedTree tree;
  for (Subtree& subtree : SplitTree(aTree)) {
    tree.Apply(TreeChange{ tree.Current().Next(), std::move(subtree) });
  }
  return tree;
}

} // namespace

ConfigurationPart::ConfigurationPart(const HostContext& aContext, Replicator& aGroups)
  : context(aContext)
  , membership(aContext.clock, aContext.settings, IncarnationOf(aContext.clock.WallNow()))
  , configuration(aContext, aGroups, this->membership)
  , heartbeats(aContext, this->membership, this->configuration.Distributor())
  , targets(aContext.clock,
            aContext.settings,
            aContext.peers,
            [&publisher = aContext.publisher](std::vector<TargetRecord> aTargets) {
              publisher.Change([&](TrafficView& aView) { aView.targets = std::move(aTargets); });
            })
  , orders(aContext, aGroups, this->configuration.Distributor(), this->targets.Registry())
  , api(aContext, this->configuration, [this](HostStatus& aStatus) { this->FillStatus(aStatus); })
{
}

Result<void>
ConfigurationPart::Start()
{
  if (auto loaded = this->LoadInitialTree(); !loaded) {
    return loaded;
  }
  const std::string& folder = this->context.settings.dataFolder;
  if (!folder.empty()) {
    if (auto stored = this->configuration.UseStoredTree(folder); !stored) {
      return stored;
    }
  }
  if (this->context.settings.targetKeys.empty()) {
    LogEvent(LogLevel::Warning, "targets_unauthenticated")
      .With("remedy", "list target_keys in the settings");
  }
  this->context.control.Add(Channel::Configuration, this->configuration);
  this->context.control.Add(Channel::Membership, this->heartbeats);
  this->context.control.Add(Channel::Targets, this->targets);
  this->context.control.Add(Channel::Targets, this->orders);
  this->orders.Start();
  return Success();
}

Result<void>
ConfigurationPart::LoadInitialTree()
{
  const std::string& file = this->context.settings.initialTree;
  if (file.empty()) {
    return Success();
  }
  auto text = ReadWholeFile(file);
  if (!text) {
    return Fail(text.error());
  }
  const auto parsed = ParseConfigTree(text.value(), file);
  if (!parsed.Ok()) {
    return Fail(ErrorKind::InvalidArgument,
                FormatFault(parsed.faults.front()),
                "run damasklink check for all faults");
  }
  this->configuration.SetInitialTree(TreeOf(parsed.value));
  return Success();
}

void
ConfigurationPart::AwaitFirstTree() const
{
  const HostSettings& settings = this->context.settings;
  const bool expected = !settings.initialTree.empty() || settings.peers.size() > 1;
  const MonotonicTime until = this->context.clock.MonotonicNow() + kFirstTreeLimit;
  while (expected && this->context.views.Get()->revision == Revision() &&
         this->context.clock.MonotonicNow() < until) {
    std::this_thread::sleep_for(kFirstTreePoll);
  }
}

void
ConfigurationPart::AddRoutes(const HostServers& aServers)
{
  this->api.AddRoutes(aServers.operators);
  aServers.targets.Route("POST", "/v1/targets/announce", [this](const HttpRequest& aRequest) {
    return this->TakeAnnouncement(aRequest);
  });
}

HttpResponse
ConfigurationPart::TakeAnnouncement(const HttpRequest& aRequest)
{
  const std::vector<Digest>& keys = this->context.settings.targetKeys;
  if (auto allowed = CheckKey(aRequest, keys); !keys.empty() && !allowed) {
    return RefusalResponse(allowed.error());
  }
  auto record = ParseTargetRecord(aRequest.body);
  if (!record) {
    return RefusalResponse(record.error());
  }
  const bool posted =
    this->context.control.Post([this, taken = record.value()] { this->targets.Announce(taken); });
  if (!posted) {
    return RefusalResponse(
      Error{ ErrorKind::Overloaded, "the control thread is overloaded", "announce again shortly" });
  }
  HttpResponse response;
  response.body = "{}";
  return response;
}

void
ConfigurationPart::FillStatus(HostStatus& aStatus) const
{
  // The API calls this on the control thread, which owns all that is read here.
  const auto& revisions = this->configuration.Distributor().PeerRevisions();
  for (const PeerSettings& peer : this->context.settings.peers) {
    PeerStatus status{ peer.host, this->membership.IsUp(peer.host), aStatus.revision };
    if (peer.host != this->context.settings.host) {
      const auto found = revisions.find(peer.host);
      status.revision = found == revisions.end() ? Revision() : found->second;
    }
    aStatus.peers.push_back(std::move(status));
  }
  this->targets.FillStatus(aStatus);
  this->orders.FillStatus(aStatus);
}

} // namespace damasklink
