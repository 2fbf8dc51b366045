// Measures the configuration: memory of a large tree, time of a change, bytes of its spread, and
// the time until it is in force on nine hosts over loopback.
#include <algorithm>
#include <iostream>
#include <map>
#include <memory>

#include "Bench.h"
#include "ConfigurationHosts.h"
#include "Slope.h"
#include "damasklink/coordination/CallerIndex.h"
#include "damasklink/coordination/ConfigStateMachine.h"
#include "damasklink/protocol/ConfigCodec.h"
#include "damasklink/protocol/Envelope.h"
#include "damasklink/protocol/TargetsCodec.h"
#include "damasklink/state/Text.h"
#include "damasklink/transport/Log.h"
#include "damasklink/transport/PeerNetwork.h"

namespace damasklink::bench {
namespace {

constexpr std::size_t kWorkspaces = 26'000;
constexpr std::size_t kModels = 11;
constexpr double kChangesPerSecond = 1.2;
constexpr std::size_t kFramePrefix = 4;

SharedContent
MakeDefaults(std::uint64_t aPriority)
{
  SubtreePolicy defaults;
  defaults.models.emplace();
  for (std::size_t model = 0; model < kModels; ++model) {
    defaults.models->push_back(ModelGrant{ ModelName(Concat("model-", model)),
                                           { WeightVersion("v1"), WeightVersion("v2") } });
  }
  defaults.priority = aPriority;
  return std::make_shared<const SubtreeContent>(std::move(defaults));
}

// Machine, tree in force and callers' directory of one host that votes.
class OneHost final : public CommittedTreeObserver
{
public:
  OneHost()
    : membership(this->clock, this->settings, Incarnation(1))
    , spread(this->clock, this->settings, this->membership, this->index)
    , machine(this)
  {
    this->spread.OnTick(true);
  }

  void OnChange(const TreeChange& aChange) override { this->spread.OnCommitted(aChange, true); }
  void OnTree(const RevisionedTree& aTree) override { this->spread.OnTree(aTree); }

  void Change(const SubtreeName& aName, const SharedContent& aContent)
  {
    const Revision base = this->machine.Tree().VersionOf(aName);
    const ChangeId id(Concat("apply-0123456789abcdef0123456789abcdef-", ++this->changes));
    const ApplyContext context{ ControlGroupId(), LogIndex(1),    Term(1),
                                WallTime(),       Incarnation(1), WallTime() };
    this->machine.Apply(context,
                        PackConfigChange(ConfigChange{ id, { aName, aContent }, base, "ana" }));
    // What traffic threads get: a copy that shares everything.
    this->published = std::make_shared<const CallerDirectory>(this->index.Directory());
  }

  void ChangeWorkspace(std::size_t aIndex, std::uint64_t aShare)
  {
    const std::string name = Concat("workspace-", aIndex);
    this->Change(WorkspaceSubtree(WorkspaceId(name)), MakeWorkspace(name, aShare));
  }

  ManualClock clock;
  HostSettings settings;
  HostMembership membership;
  CallerIndex index;
  ConfigDistributor spread;
  ConfigStateMachine machine;
  std::shared_ptr<const CallerDirectory> published;
  std::uint64_t changes = 0;
};

void
MeasureTree()
{
  constexpr std::size_t kTimedChanges = 2'000;
  constexpr std::size_t kDayOfChanges = 100'000;
  const SystemClock wall;
  const double before = HeapBytes();
  OneHost host;
  host.Change(SubtreeName{ SubtreeKind::Defaults, {} }, MakeDefaults(1));
  for (std::size_t index = 0; index < kWorkspaces; ++index) {
    host.ChangeWorkspace(index, 1);
  }
  const double afterTree = HeapBytes();
  std::cout << "tree workspaces=" << kWorkspaces << " teams=" << kTeams * kWorkspaces
            << " keys=" << host.published->Size() << " heap_mb=" << (afterTree - before) / kMebibyte
            << '\n';
  MonotonicTime start = wall.MonotonicNow();
  for (std::size_t index = 0; index < kTimedChanges; ++index) {
    host.ChangeWorkspace(index * 13 % kWorkspaces, 2);
  }
  std::cout << "change one_workspace_ms="
            << Milliseconds(wall.MonotonicNow() - start) / kTimedChanges << '\n';
  start = wall.MonotonicNow();
  host.Change(SubtreeName{ SubtreeKind::Defaults, {} }, MakeDefaults(2));
  std::cout << "change defaults_ms=" << Milliseconds(wall.MonotonicNow() - start) << '\n';
  for (std::size_t index = 0; index < kDayOfChanges; ++index) {
    host.ChangeWorkspace(index % kWorkspaces, 3 + index / kWorkspaces);
  }
  const double afterDay = HeapBytes();
  start = wall.MonotonicNow();
  const std::string snapshot = host.machine.Save();
  const double saved = Milliseconds(wall.MonotonicNow() - start);
  start = wall.MonotonicNow();
  ConfigStateMachine restarted;
  const bool loaded = restarted.Load(snapshot).has_value();
  std::cout << "after_100000_changes heap_mb=" << (afterDay - before) / kMebibyte
            << " snapshot_mb=" << static_cast<double>(snapshot.size()) / kMebibyte
            << " save_ms=" << saved << " load_ms=" << Milliseconds(wall.MonotonicNow() - start)
            << " loaded=" << loaded << '\n';
}

// The plain objects of nine hosts, with every message encoded and counted as it would be sent.
class CountedHosts
{
public:
  CountedHosts()
  {
    for (std::size_t index = 0; index < kHosts; ++index) {
      this->nodes.push_back(std::make_unique<Node>(this->clock, SettingsOf(index)));
    }
  }

  void Step(Duration aStep, bool aChange)
  {
    this->clock.Advance(aStep);
    if (aChange) {
      this->changes = this->changes.Next();
      const std::string name = Concat("workspace-", this->changes.Value() % 1000);
      this->nodes[0]->spread.OnCommitted(
        TreeChange{ this->changes,
                    { WorkspaceSubtree(WorkspaceId(name)), MakeWorkspace(name, 7) } },
        true);
    }
    for (std::size_t index = 0; index < kHosts; ++index) {
      this->Beat(index);
      this->nodes[index]->spread.OnTick(index == 0);
      this->nodes[index]->targets.OnTick();
    }
    while (this->DeliverAll()) {
    }
  }

  void Announce(std::size_t aTargets)
  {
    ++this->announcements;
    for (std::size_t target = 0; target < aTargets; ++target) {
      TargetRecord record;
      record.id = TargetId(Concat("engine-", target));
      record.endpoint = Endpoint{ "127.0.0.1", 80 };
      record.incarnation = Incarnation(1);
      record.sequence = Sequence(this->announcements);
      record.load.runningRequests = this->announcements % 60;
      record.models = { ServedModel{ ModelName("plates-7b"), WeightVersion("v1"), {} } };
      this->nodes[target % kHosts]->targets.OnAnnouncement(record);
    }
  }

  void Reset() { this->bytes.clear(); }

  // Prints bytes a second out of the host that sends most and into the one that receives most.
  void Print(const std::string& aWhat, double aSeconds) const
  {
    for (const auto& [channel, counts] : this->bytes) {
      const double out = static_cast<double>(std::ranges::max(counts.out)) / aSeconds;
      const double in = static_cast<double>(std::ranges::max(counts.in)) / aSeconds;
      std::cout << aWhat << " channel=" << channel << " most_out_bytes_s=" << out
                << " most_in_bytes_s=" << in << '\n';
    }
  }

private:
  struct Node
  {
    Node(const Clock& aClock, HostSettings aSettings)
      : settings(std::move(aSettings))
      , membership(aClock, this->settings, Incarnation(1'700'000'000'000))
      , spread(aClock, this->settings, this->membership, this->index)
      , targets(aClock, this->settings)
    {
    }

    HostSettings settings;
    HostMembership membership;
    CallerIndex index;
    ConfigDistributor spread;
    TargetBroadcaster targets;
  };

  struct Counts
  {
    std::vector<std::uint64_t> out = std::vector<std::uint64_t>(kHosts);
    std::vector<std::uint64_t> in = std::vector<std::uint64_t>(kHosts);
  };

  std::size_t IndexOf(const HostId& aHost) const
  {
    std::size_t index = 0;
    while (this->nodes[index]->settings.host != aHost) {
      ++index;
    }
    return index;
  }

  void Count(std::size_t aFrom, std::size_t aTo, Channel aChannel, std::string aPayload)
  {
    const Envelope envelope{ this->nodes[aFrom]->settings.host,
                             static_cast<std::uint8_t>(aChannel),
                             GroupId(),
                             std::move(aPayload) };
    const std::size_t size = EncodeEnvelope(envelope).size() + kFramePrefix;
    Counts& counts = this->bytes[std::string(ChannelName(aChannel))];
    counts.out[aFrom] += size;
    counts.in[aTo] += size;
  }

  void Beat(std::size_t aIndex)
  {
    Node& node = *this->nodes[aIndex];
    if (!node.membership.AdvanceIfDue()) {
      return;
    }
    Heartbeat beat = node.membership.MakeHeartbeat();
    beat.revision = node.spread.Tree().Current();
    beat.confirmedAge = node.spread.ConfirmedAge();
    const std::size_t to = this->IndexOf(node.membership.CurrentPeer());
    this->Count(aIndex, to, Channel::Membership, EncodeHeartbeat(beat));
    this->nodes[to]->membership.OnHeartbeat(node.settings.host, beat);
    this->nodes[to]->spread.OnPeerRevision(node.settings.host, beat.revision, beat.confirmedAge);
  }

  bool DeliverAll()
  {
    bool moved = false;
    for (std::size_t from = 0; from < kHosts; ++from) {
      Node& node = *this->nodes[from];
      for (const OutgoingConfigMessage& outgoing : node.spread.TakeOutgoing()) {
        moved = true;
        const std::size_t to = this->IndexOf(outgoing.to);
        this->Count(from, to, Channel::Configuration, EncodeConfigMessage(outgoing.message));
        this->nodes[to]->spread.OnMessage(node.settings.host, outgoing.message);
      }
      for (const OutgoingTargetsMessage& outgoing : node.targets.TakeOutgoing()) {
        moved = true;
        const std::size_t to = this->IndexOf(outgoing.to);
        this->Count(from, to, Channel::Targets, EncodeTargetsMessage(outgoing.message));
        this->nodes[to]->targets.OnMessage(node.settings.host, outgoing.message);
      }
    }
    return moved;
  }

  ManualClock clock;
  std::vector<std::unique_ptr<Node>> nodes;
  std::map<std::string, Counts> bytes;
  Revision changes;
  std::uint64_t announcements = 0;
};

void
MeasureBytes()
{
  constexpr Duration kStep = std::chrono::milliseconds(100);
  constexpr int kSteps = 6'000;
  constexpr int kAnnounceSteps = 3;
  constexpr std::size_t kTargets = 23;
  const double seconds = std::chrono::duration<double>(kStep).count() * kSteps;
  for (const double rate : { 0.0, kChangesPerSecond }) {
    CountedHosts hosts;
    double due = 0;
    for (int step = -100; step < kSteps; ++step) {
      if (step == 0) {
        hosts.Reset();
      }
      if (step % kAnnounceSteps == 0) {
        hosts.Announce(kTargets);
      }
      due += rate * std::chrono::duration<double>(kStep).count();
      const bool change = due >= 1;
      due -= change ? 1 : 0;
      hosts.Step(kStep, change);
    }
    hosts.Print(Concat("bytes changes_s=", rate, " targets=", kTargets), seconds);
  }
}

} // namespace

int
RunConfiguration(const std::vector<std::string>& aArguments)
{
  constexpr std::uint16_t kBasePort = 22'100;
  SetLogLevel(LogLevel::Error);
  MeasureTree();
  MeasureBytes();
  const bool named = !aArguments.empty();
  return MeasureInForce(named ? static_cast<std::uint16_t>(std::stoul(aArguments.front()))
                              : kBasePort);
}

} // namespace damasklink::bench
