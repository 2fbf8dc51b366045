#include "damasklink/coordination/TargetBroadcaster.h"

#include <functional>
#include <memory>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace damasklink {
namespace {

constexpr std::size_t kHosts = 4;
constexpr Duration kStep = std::chrono::milliseconds(100);
constexpr Duration kAnnounceInterval = std::chrono::milliseconds(300);
constexpr Duration kSilenceLimit = std::chrono::seconds(2);
const TargetId kTarget("engine-1");

// Hosts that pass announcements on to each other, and one target that announces itself to one of
// them.
class FakeHosts
{
public:
  FakeHosts()
  {
    HostSettings settings;
    for (std::size_t index = 0; index < kHosts; ++index) {
      const ZoneId zone(index < kHosts / 2 ? "near" : "far");
      settings.peers.push_back(PeerSettings{ NameOf(index), zone, {}, {}, false });
    }
    for (std::size_t index = 0; index < kHosts; ++index) {
      settings.host = NameOf(index);
      settings.zone = settings.peers[index].zone;
      this->hosts.push_back(std::make_unique<TargetBroadcaster>(this->clock, settings));
    }
    this->record.id = kTarget;
    this->record.endpoint = Endpoint{ "127.0.0.1", 1 };
    this->record.incarnation = Incarnation(5);
  }

  static HostId NameOf(std::size_t aIndex) { return HostId(std::to_string(aIndex)); }

  void Announce(std::size_t aHome)
  {
    this->record.sequence = this->record.sequence.Next();
    this->hosts[aHome]->OnAnnouncement(this->record);
  }

  void DeliverAll(const std::function<bool()>& aIsDelivered)
  {
    bool moved = true;
    while (moved) {
      moved = false;
      for (std::size_t from = 0; from < kHosts; ++from) {
        for (const OutgoingTargetsMessage& outgoing : this->hosts[from]->TakeOutgoing()) {
          moved = true;
          const std::size_t to = std::stoul(outgoing.to.Value());
          if (aIsDelivered() && from != this->stopped && to != this->stopped) {
            this->hosts[to]->OnMessage(NameOf(from), outgoing.message);
          }
        }
      }
    }
  }

  // Advances the clock in steps of kStep. The target announces itself to aHome; with kHosts it is
  // silent.
  void Run(
    Duration aTime,
    std::size_t aHome,
    const std::function<bool()>& aIsDelivered = [] { return true; })
  {
    for (Duration passed{ 0 }; passed < aTime; passed += kStep) {
      this->clock.Advance(kStep);
      if (aHome < kHosts && passed % kAnnounceInterval == Duration(0)) {
        this->Announce(aHome);
      }
      for (auto& host : this->hosts) {
        host->OnTick();
      }
      this->DeliverAll(aIsDelivered);
    }
  }

  std::size_t CountUsable() const
  {
    return static_cast<std::size_t>(
      std::count_if(this->hosts.begin(), this->hosts.end(), [](const auto& aHost) {
        return aHost->Registry().IsUsable(kTarget);
      }));
  }

  ManualClock clock;
  std::vector<std::unique_ptr<TargetBroadcaster>> hosts;
  TargetRecord record;
  std::size_t stopped = kHosts;
};

TEST(TargetBroadcasterTest, AnnouncedTargetStaysUsableOnAllHosts)
{
  FakeHosts hosts;
  hosts.Announce(0);
  hosts.DeliverAll([] { return true; });
  EXPECT_EQ(hosts.CountUsable(), kHosts);
  hosts.Run(std::chrono::seconds(20), 0);
  EXPECT_EQ(hosts.CountUsable(), kHosts);
}

TEST(TargetBroadcasterTest, SilentTargetIsUnusableOnAllHostsWithinTheLimit)
{
  FakeHosts hosts;
  hosts.Run(std::chrono::seconds(5), 0);
  hosts.Run(kSilenceLimit - kStep, kHosts);
  EXPECT_EQ(hosts.CountUsable(), 0U);
  hosts.Run(kStep, 0);
  EXPECT_EQ(hosts.CountUsable(), kHosts) << "usable again after an announcement";
}

TEST(TargetBroadcasterTest, LeavingTargetIsUnusableAtOnce)
{
  FakeHosts hosts;
  hosts.Run(std::chrono::seconds(5), 0);
  hosts.record.leaving = true;
  hosts.Announce(0);
  hosts.DeliverAll([] { return true; });
  EXPECT_EQ(hosts.CountUsable(), 0U);
}

TEST(TargetBroadcasterTest, TargetSilentWithItsHomeIsUnusableAfterTheRemoteLimit)
{
  FakeHosts hosts;
  hosts.Run(std::chrono::seconds(5), 0);
  hosts.stopped = 0;
  hosts.Run(TargetBroadcaster::kRemoteSilence, kHosts);
  EXPECT_EQ(hosts.CountUsable(), 0U);
}

TEST(TargetBroadcasterTest, ChangeOfHomeKeepsTheTargetUsable)
{
  FakeHosts hosts;
  hosts.Run(std::chrono::seconds(5), 0);
  for (int step = 0; step < 60; ++step) {
    hosts.Run(kStep, 2);
    ASSERT_EQ(hosts.CountUsable(), kHosts) << step;
  }
}

TEST(TargetBroadcasterTest, LateRecordOfAnOlderIncarnationIsIgnored)
{
  FakeHosts hosts;
  hosts.Run(std::chrono::seconds(1), 0);
  TargetRecord old = hosts.record;
  hosts.record.incarnation = Incarnation(6);
  hosts.record.leaving = true;
  hosts.Announce(0);
  hosts.DeliverAll([] { return true; });
  old.sequence = Sequence(1000);
  for (auto& host : hosts.hosts) {
    host->OnMessage(FakeHosts::NameOf(3), { TargetsMessageKind::Records, { old }, {} });
    host->OnAnnouncement(old);
  }
  EXPECT_EQ(hosts.CountUsable(), 0U);
}

TEST(TargetBroadcasterTest, LoadChangesAreSentWithTheRefreshOnly)
{
  FakeHosts hosts;
  hosts.Run(std::chrono::seconds(5), 0);
  hosts.hosts[0]->TakeOutgoing();
  hosts.record.load.runningRequests = 9;
  hosts.Announce(0);
  EXPECT_TRUE(hosts.hosts[0]->TakeOutgoing().empty());
  hosts.Run(TargetBroadcaster::kFarRefreshInterval, 0);
  EXPECT_EQ(hosts.hosts[1]->Registry().Find(kTarget)->load.runningRequests, 9U);
  EXPECT_EQ(hosts.hosts[3]->Registry().Find(kTarget)->load.runningRequests, 9U);
}

// Messages are lost and the target changes its home and its weights meanwhile. Once messages arrive
// again, every host must learn the target's current record from the refresh.
RC_GTEST_PROP(TargetBroadcasterTest, MissedAnnouncementsAreRecoveredByTheRefresh, ())
{
  FakeHosts hosts;
  const int moves = *rc::gen::inRange(1, 5);
  for (int move = 0; move < moves; ++move) {
    hosts.record.models = { ServedModel{
      ModelName("m"), WeightVersion(std::to_string(*rc::gen::inRange(0, 3))), {} } };
    const int lossOf10 = *rc::gen::inRange(0, 11);
    hosts.Run(kStep * *rc::gen::inRange(1, 30), *rc::gen::inRange<std::size_t>(0, kHosts), [&] {
      return *rc::gen::inRange(0, 10) >= lossOf10;
    });
  }
  hosts.Run(TargetBroadcaster::kFarRefreshInterval * 3, *rc::gen::inRange<std::size_t>(0, kHosts));
  RC_ASSERT(hosts.CountUsable() == kHosts);
  for (const auto& host : hosts.hosts) {
    RC_ASSERT(host->Registry().Find(kTarget)->models == hosts.record.models);
  }
}

} // namespace
} // namespace damasklink
