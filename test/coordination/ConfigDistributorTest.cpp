#include "damasklink/coordination/ConfigDistributor.h"

#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace damasklink {
namespace {

constexpr std::size_t kHosts = 9;
constexpr std::size_t kHostsPerZone = 3;
constexpr Duration kStep = std::chrono::milliseconds(100);

HostId
HostName(std::size_t aIndex)
{
  return HostId("h" + std::to_string(aIndex));
}

HostSettings
SettingsOf(std::size_t aSelf)
{
  HostSettings settings;
  for (std::size_t index = 0; index < kHosts; ++index) {
    const ZoneId zone("z" + std::to_string(index / kHostsPerZone));
    settings.peers.push_back(PeerSettings{ HostName(index), zone, {}, {}, false });
  }
  settings.host = settings.peers[aSelf].host;
  settings.zone = settings.peers[aSelf].zone;
  return settings;
}

TreeChange
ChangeAt(std::uint64_t aRevision)
{
  WorkspaceNode workspace;
  workspace.policy.share = aRevision;
  return TreeChange{ Revision(aRevision),
                     { WorkspaceSubtree(WorkspaceId("w" + std::to_string(aRevision % 5))),
                       std::make_shared<const SubtreeContent>(workspace) } };
}

// Records whether a revision in force was followed by a lower one.
class MonotonicityObserver final : public TreeObserver
{
public:
  void OnSubtreeChanged(const RevisionedTree& aTree, const TreeChange&, const Subtree&) override
  {
    this->Check(aTree);
  }
  void OnTreeReplaced(const RevisionedTree& aTree) override { this->Check(aTree); }

  bool wentBack = false;

private:
  void Check(const RevisionedTree& aTree)
  {
    this->wentBack = this->wentBack || aTree.Current() < this->highest;
    this->highest = aTree.Current();
  }

  Revision highest;
};

// One host between its start and its termination.
struct Node
{
  Node(const Clock& aClock, std::size_t aIndex, std::uint64_t aIncarnation)
    : settings(SettingsOf(aIndex))
    , membership(aClock, this->settings, Incarnation(aIncarnation))
    , distributor(aClock, this->settings, this->membership, this->observer)
  {
  }

  HostSettings settings;
  HostMembership membership;
  MonotonicityObserver observer;
  ConfigDistributor distributor;
};

// A set of hosts. Tests can drop and duplicate the messages between them and partition them.
class FakeHosts
{
public:
  FakeHosts()
  {
    for (std::size_t index = 0; index < kHosts; ++index) {
      this->Restart(index);
    }
  }

  // Restarts a host without any state.
  void Restart(std::size_t aIndex)
  {
    this->nodes.resize(kHosts);
    this->nodes[aIndex] = std::make_unique<Node>(this->clock, aIndex, ++this->incarnations);
  }

  void Commit()
  {
    this->group.Apply(ChangeAt(this->group.Current().Next().Value()));
    this->At(0).OnCommitted(ChangeAt(this->group.Current().Value()), true);
  }

  // Advances the time by one step: heartbeats, ticks, then deliveries. aDeliver returns how often a
  // message is delivered: 0, 1 or 2 times.
  void Step(const std::function<int()>& aDeliver)
  {
    this->clock.Advance(kStep);
    for (std::size_t index = 0; index < kHosts; ++index) {
      Node& node = *this->nodes[index];
      if (node.membership.AdvanceIfDue()) {
        Heartbeat beat = node.membership.MakeHeartbeat();
        beat.revision = node.distributor.InForce();
        beat.confirmedAge = node.distributor.ConfirmedAge();
        const std::size_t to = IndexOf(node.membership.CurrentPeer());
        if (this->Reaches(index, to) && aDeliver() > 0) {
          this->nodes[to]->membership.OnHeartbeat(HostName(index), beat);
          this->At(to).OnPeerRevision(HostName(index), beat.revision, beat.confirmedAge);
        }
      }
      node.distributor.OnTick(index == 0 && this->leaderHoldsLease);
    }
    this->DeliverAll(aDeliver);
  }

  void Run(Duration aTime)
  {
    for (Duration passed{ 0 }; passed < aTime; passed += kStep) {
      this->Step([] { return 1; });
    }
  }

  // Delivers messages until none is queued.
  void DeliverAll(const std::function<int()>& aDeliver)
  {
    bool moved = true;
    while (moved) {
      moved = false;
      for (std::size_t index = 0; index < kHosts; ++index) {
        for (const OutgoingConfigMessage& outgoing : this->At(index).TakeOutgoing()) {
          moved = true;
          this->Deliver(index, outgoing, aDeliver());
        }
      }
    }
  }

  void Deliver(std::size_t aFrom, const OutgoingConfigMessage& aOutgoing, int aTimes)
  {
    const std::size_t to = IndexOf(aOutgoing.to);
    this->sent.push_back({ aFrom, to, aOutgoing.message.kind });
    for (int time = 0; time < aTimes && this->Reaches(aFrom, to); ++time) {
      this->At(to).OnMessage(HostName(aFrom), aOutgoing.message);
    }
  }

  bool Reaches(std::size_t aFrom, std::size_t aTo) const
  {
    return this->isolated.contains(aFrom) == this->isolated.contains(aTo);
  }

  bool AllAt(Revision aRevision) const
  {
    return std::all_of(this->nodes.begin(), this->nodes.end(), [&](const auto& aNode) {
      return aNode->distributor.Joined() && aNode->distributor.Tree().Current() == aRevision;
    });
  }

  bool HasAnyGoneBack() const
  {
    return std::any_of(this->nodes.begin(), this->nodes.end(), [](const auto& aNode) {
      return aNode->observer.wentBack;
    });
  }

  static std::size_t IndexOf(const HostId& aHost) { return std::stoul(aHost.Value().substr(1)); }

  ConfigDistributor& At(std::size_t aIndex) { return this->nodes[aIndex]->distributor; }

  struct Sent
  {
    std::size_t from;
    std::size_t to;
    ConfigMessageKind kind;
  };

  ManualClock clock;
  std::uint64_t incarnations = 0;
  std::vector<std::unique_ptr<Node>> nodes;
  RevisionedTree group;
  bool leaderHoldsLease = true;
  std::set<std::size_t> isolated;
  std::vector<Sent> sent;
};

std::size_t
CountDeltas(const FakeHosts& aHosts, const std::function<bool(const FakeHosts::Sent&)>& aWhich)
{
  return static_cast<std::size_t>(
    std::count_if(aHosts.sent.begin(), aHosts.sent.end(), [&](const FakeHosts::Sent& aSent) {
      return aSent.kind == ConfigMessageKind::Delta && aWhich(aSent);
    }));
}

TEST(ConfigDistributorTest, SendsOneCopyPerHostAndEntersEachZoneOnce)
{
  FakeHosts hosts;
  hosts.Run(std::chrono::seconds(5));
  hosts.sent.clear();
  hosts.Commit();
  hosts.DeliverAll([] { return 1; });
  EXPECT_TRUE(hosts.AllAt(Revision(1)));
  for (std::size_t host = 0; host < kHosts; ++host) {
    EXPECT_LE(CountDeltas(hosts, [&](const auto& aSent) { return aSent.from == host; }), 1U);
  }
  for (std::size_t zone = 0; zone < kHosts / kHostsPerZone; ++zone) {
    EXPECT_LE(CountDeltas(hosts,
                          [&](const auto& aSent) {
                            return aSent.to / kHostsPerZone == zone &&
                                   aSent.from / kHostsPerZone != zone;
                          }),
              1U);
  }
}

std::size_t
CountOutgoingDeltas(ConfigDistributor& aDistributor)
{
  const auto outgoing = aDistributor.TakeOutgoing();
  return static_cast<std::size_t>(
    std::count_if(outgoing.begin(), outgoing.end(), [](const OutgoingConfigMessage& aOutgoing) {
      return aOutgoing.message.kind == ConfigMessageKind::Delta;
    }));
}

TEST(ConfigDistributorTest, ForwardsDeltaOnceWhenAlreadyCommittedLocally)
{
  FakeHosts hosts;
  hosts.Run(std::chrono::seconds(5));
  ConfigMessage delta;
  delta.kind = ConfigMessageKind::Delta;
  delta.revision = Revision(1);
  delta.origin = HostName(0);
  delta.body = PackChange(ChangeAt(1));
  hosts.At(3).OnCommitted(ChangeAt(1), false);
  EXPECT_EQ(CountOutgoingDeltas(hosts.At(3)), 0U);
  hosts.At(3).OnMessage(HostName(2), delta);
  EXPECT_EQ(CountOutgoingDeltas(hosts.At(3)), 1U);
  hosts.At(3).OnMessage(HostName(2), delta);
  EXPECT_EQ(CountOutgoingDeltas(hosts.At(3)), 0U);
}

TEST(ConfigDistributorTest, ReachesOtherHostsWithinRingLimitWhenOneIsUnreachable)
{
  FakeHosts hosts;
  hosts.Run(std::chrono::seconds(5));
  hosts.isolated = { 4 };
  hosts.Commit();
  hosts.Run(ConfigDistributor::kRingLimit + std::chrono::milliseconds(200));
  for (std::size_t host = 0; host < kHosts; ++host) {
    EXPECT_EQ(hosts.At(host).Tree().Current(), Revision(host == 4 ? 0 : 1)) << host;
  }
}

TEST(ConfigDistributorTest, PartitionedZoneKeepsLastRevisionAndReportsStale)
{
  FakeHosts hosts;
  hosts.Commit();
  hosts.Run(std::chrono::seconds(10));
  EXPECT_FALSE(hosts.At(8).Stale());
  hosts.isolated = { 6, 7, 8 };
  hosts.Run(std::chrono::seconds(5));
  hosts.Commit();
  hosts.Run(ConfigDistributor::kStaleAfter);
  EXPECT_EQ(hosts.At(8).Tree().Current(), Revision(1));
  EXPECT_TRUE(hosts.At(8).Stale());
  EXPECT_FALSE(hosts.At(1).Stale());
  hosts.isolated.clear();
  hosts.Run(std::chrono::seconds(20));
  EXPECT_EQ(hosts.At(8).Tree().Current(), Revision(2));
  EXPECT_FALSE(hosts.At(8).Stale());
}

TEST(ConfigDistributorTest, RestartedHostInPartitionedZoneTakesRevisionOfItsZone)
{
  FakeHosts hosts;
  hosts.Commit();
  hosts.Run(std::chrono::seconds(10));
  hosts.isolated = { 6, 7, 8 };
  hosts.Restart(7);
  EXPECT_FALSE(hosts.At(7).Joined()) << "does not serve before its peers were queried";
  hosts.Run(ConfigDistributor::kJoinLimit + kStep);
  EXPECT_TRUE(hosts.At(7).Joined());
  EXPECT_EQ(hosts.At(7).Tree().Current(), Revision(1));
}

TEST(ConfigDistributorTest, QueriesPeersBeforeTreeFromDiskComesIntoForce)
{
  FakeHosts hosts;
  for (int change = 0; change < 3; ++change) {
    hosts.Commit();
  }
  hosts.Run(std::chrono::seconds(10));
  hosts.Restart(5);
  RevisionedTree old;
  old.Apply(ChangeAt(1));
  hosts.At(5).OnTree(old);
  EXPECT_FALSE(hosts.At(5).Joined());
  hosts.Run(std::chrono::seconds(1));
  EXPECT_TRUE(hosts.At(5).Joined());
  EXPECT_EQ(hosts.At(5).Tree().Current(), Revision(3));
}

TEST(ConfigDistributorTest, QueryFromPeerDoesNotCountAsItsReply)
{
  FakeHosts hosts;
  RevisionedTree old;
  old.Apply(ChangeAt(3));
  hosts.At(3).OnTree(old);
  ConfigMessage query;
  query.kind = ConfigMessageKind::Query;
  query.revision = Revision(9);
  for (std::size_t peer = 0; peer < kHosts; ++peer) {
    hosts.At(3).OnMessage(HostName(peer), query);
  }
  hosts.At(3).OnTick(false);
  EXPECT_FALSE(hosts.At(3).Joined())
    << "revision 3 must not come into force while a peer has revision 9";
  EXPECT_EQ(hosts.At(3).InForce(), Revision());
}

// Guards against an answer of all changes that a host lacks, which together are many times larger
// than the configuration and more than a connection takes.
TEST(ConfigDistributorTest, HostThatLacksManyLargeChangesIsSentTheTreeInstead)
{
  FakeHosts hosts;
  WorkspaceNode workspace;
  for (int number = 0; number < 10'000; ++number) {
    workspace.teams[TeamId("a team with a long name, number " + std::to_string(number))];
  }
  constexpr std::uint64_t kChanges = 100;
  for (std::uint64_t change = 1; change <= kChanges; ++change) {
    workspace.policy.share = change;
    const Subtree subtree{ WorkspaceSubtree(WorkspaceId("w")),
                           std::make_shared<const SubtreeContent>(workspace) };
    hosts.At(0).OnCommitted(TreeChange{ Revision(change), subtree }, false);
    if (change == 1) {
      hosts.At(1).OnCommitted(TreeChange{ Revision(change), subtree }, false);
    }
  }
  ConfigMessage query;
  query.kind = ConfigMessageKind::Query;
  query.revision = Revision(1);
  hosts.At(0).TakeOutgoing();
  hosts.At(0).OnMessage(HostName(1), query);
  const std::vector<OutgoingConfigMessage> answers = hosts.At(0).TakeOutgoing();
  ASSERT_EQ(answers.size(), 1U);
  CompactWriter tree;
  hosts.At(0).Tree().Pack(tree);
  EXPECT_LE(answers[0].message.body.size(), std::move(tree).Take().size());
  hosts.At(1).OnMessage(HostName(0), answers[0].message);
  EXPECT_EQ(hosts.At(1).Tree().Current(), Revision(kChanges));
}

TEST(ConfigDistributorTest, IgnoresTreesAndChangesOfLowerRevision)
{
  FakeHosts hosts;
  hosts.Commit();
  hosts.Commit();
  hosts.Run(std::chrono::seconds(5));
  RevisionedTree old;
  old.Apply(ChangeAt(1));
  hosts.At(3).OnTree(old);
  ConfigMessage fullTree;
  fullTree.kind = ConfigMessageKind::FullTree;
  fullTree.revision = Revision(9);
  CompactWriter writer;
  old.Pack(writer);
  fullTree.body = std::move(writer).Take();
  hosts.At(3).OnMessage(HostName(1), fullTree);
  hosts.At(3).OnCommitted(ChangeAt(1), false);
  EXPECT_EQ(hosts.At(3).Tree().Current(), Revision(2));
}

const std::vector<std::set<std::size_t>> kPartitions{ {}, { 6, 7, 8 }, { 3, 4, 5 }, { 1 }, { 8 } };

// Random order of changes, lost and duplicated messages, restarts without state and partitions: no
// revision decreases, and after the faults every host gets the tree that the group accepted.
RC_GTEST_PROP(ConfigDistributorTest, HostsConvergeOnAcceptedTreeAndNeverGoBack, ())
{
  FakeHosts hosts;
  hosts.Run(std::chrono::seconds(1));
  const int steps = *rc::gen::inRange(1, 40);
  for (int step = 0; step < steps; ++step) {
    const int event = *rc::gen::inRange(0, 10);
    if (event < 4) {
      hosts.Commit();
    } else if (event == 4) {
      // Never restarts the leader, which holds the tree of the group.
      hosts.Restart(*rc::gen::inRange<std::size_t>(1, kHosts));
    } else if (event == 5) {
      hosts.isolated = *rc::gen::elementOf(kPartitions);
    }
    const int lossOf10 = *rc::gen::inRange(0, 8);
    hosts.Step([&] { return *rc::gen::inRange(0, 10) < lossOf10 ? 0 : *rc::gen::inRange(1, 3); });
    RC_ASSERT(!hosts.HasAnyGoneBack());
  }
  hosts.isolated.clear();
  hosts.Run(std::chrono::seconds(20));
  RC_ASSERT(!hosts.HasAnyGoneBack());
  RC_ASSERT(hosts.AllAt(hosts.group.Current()));
  for (std::size_t host = 0; host < kHosts; ++host) {
    CompactWriter own;
    CompactWriter expected;
    hosts.At(host).Tree().Pack(own);
    hosts.group.Pack(expected);
    RC_ASSERT(std::move(own).Take() == std::move(expected).Take());
  }
}

} // namespace
} // namespace damasklink
