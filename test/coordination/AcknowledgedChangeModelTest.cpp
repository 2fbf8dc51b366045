// Model of a day of the control hosts: losses within the tolerance, then a final fault in which
// disks are lost and all other hosts lose power.
#include <algorithm>
#include <cstdlib>
#include <string>

#include <gtest/gtest.h>

#include "support/GroupCluster.h"

namespace damasklink {
namespace {

using testing::ClusterOptions;
using testing::GroupCluster;

constexpr std::chrono::milliseconds kStep{ 10 };
constexpr std::chrono::milliseconds kCatchUp{ 4'000 };
constexpr std::chrono::milliseconds kRecover{ 12'000 };
constexpr std::chrono::milliseconds kMaxDowntime{ 3'000 };

// As a serving deployment sets them.
ClusterOptions
ServingOptions()
{
  ClusterOptions options;
  options.timing = RaftTiming{ std::chrono::milliseconds(200),
                               std::chrono::milliseconds(700),
                               std::chrono::milliseconds(1400) };
  options.maxMessageBytes = 1024;
  options.maxVoters = 5;
  return options;
}

struct Deployment
{
  std::size_t hosts;
  // Number of hosts that may be lost at once, with their disks.
  std::size_t tolerance;
};

enum class Loss
{
  Disk,
  Replaced,
  Behind,
  Frozen,
  Power,
  Killed,
  DiskHangs,
  Count,
};

// Whose disk the final fault takes first.
enum class Aim
{
  Any,
  Leader,
  Oldest,
  Newest,
};

// When the final fault strikes.
enum class Moment
{
  Acknowledged,
  Sent,
};

class Day
{
public:
  Day(const Deployment& aDeployment, std::uint64_t aSeed)
    : tolerance(aDeployment.tolerance)
    , random(aSeed)
    , cluster(aDeployment.hosts, aSeed, ServingOptions())
    , hosts(aDeployment.hosts)
  {
    this->Run(kCatchUp);
  }

  // Draws losses, each within the tolerance, beside a stream of changes.
  void Play()
  {
    for (std::size_t events = this->Below(10); events > 0; --events) {
      if (this->Below(6) == 0) {
        this->StopAll(this->Below(2) == 0);
      } else {
        this->DrawLoss();
      }
      this->Run(std::chrono::milliseconds(this->Below(6'000)));
    }
    if (this->Below(2) == 0) {
      this->Run(kMaxDowntime * 3 + kCatchUp);
    }
  }

  // Takes as many disks as the tolerance leaves and the power of all other hosts.
  void Strike(Aim aAim, Moment aMoment)
  {
    this->SendLastChange(aMoment);
    const std::set<std::size_t> taken = this->DrawTaken(aAim);
    if (this->Below(2) == 0) {
      this->cluster.ResetConnections();
    }
    this->cluster.HealNetwork();
    for (std::size_t node = 0; node < this->hosts.size(); ++node) {
      Host& host = this->hosts[node];
      if (host.retired || (host.impaired && host.loss == Loss::Replaced)) {
        continue;
      }
      this->cluster.Kill(node, true);
      this->cluster.Node(node).diskHangs = false;
      const bool empty = taken.contains(node) || (host.loss == Loss::Disk && host.impaired);
      this->Impair(node, empty ? Loss::Disk : Loss::Power);
    }
  }

  // All hosts come back. Everything acknowledged must be in force within the time to recover, and
  // changes must be possible again.
  void CheckRecovery()
  {
    this->sending = false;
    this->Run(kMaxDowntime + kRecover);
    const auto leader = this->cluster.Leader();
    RC_ASSERT(leader.has_value());
    this->CheckAcknowledged(*leader);
    this->AwaitAcknowledgement();
    this->CheckAcknowledged(this->cluster.Leader().value());
  }

private:
  struct Host
  {
    bool impaired = false;
    bool retired = false;
    // Whether its disk was lost and its time to catch up is not over.
    bool empty = false;
    Loss loss = Loss::Power;
    Duration backAt{};
    Duration lostUntil{};
  };

  std::size_t Below(std::size_t aBound) { return this->random() % aBound; }

  bool IsLost(std::size_t aNode) const
  {
    const Host& host = this->hosts[aNode];
    return !host.retired && (host.impaired || this->now < host.lostUntil);
  }

  std::size_t CountLost() const
  {
    std::size_t count = 0;
    for (std::size_t node = 0; node < this->hosts.size(); ++node) {
      count += this->IsLost(node) ? 1 : 0;
    }
    return count;
  }

  std::size_t CountEmpty() const
  {
    return static_cast<std::size_t>(std::count_if(
      this->hosts.begin(), this->hosts.end(), [](const Host& aHost) { return aHost.empty; }));
  }

  // Losses may overlap beyond the tolerance, but not those of disks.
  bool MayLoseDisk(std::size_t aNode) const
  {
    return this->hosts[aNode].empty || this->CountEmpty() < this->tolerance;
  }

  void DrawLoss()
  {
    const std::size_t node = this->Below(this->hosts.size());
    const Host& host = this->hosts[node];
    const bool allowed = this->IsLost(node) || this->CountLost() < this->tolerance;
    const Loss loss = static_cast<Loss>(this->Below(static_cast<std::size_t>(Loss::Count)));
    const bool takesDisk = loss == Loss::Disk || loss == Loss::Replaced;
    if (host.retired || host.impaired || !allowed || (takesDisk && !this->MayLoseDisk(node))) {
      return;
    }
    this->Impair(node, loss);
  }

  void Impair(std::size_t aNode, Loss aLoss)
  {
    Host& host = this->hosts[aNode];
    host.impaired = true;
    host.loss = aLoss;
    host.empty |= aLoss == Loss::Disk || aLoss == Loss::Replaced;
    const bool long_ = aLoss == Loss::Behind;
    const std::chrono::milliseconds most = long_ ? kMaxDowntime * 3 : kMaxDowntime;
    host.backAt = this->now + std::chrono::milliseconds(100 + this->Below(most.count() - 100));
    switch (aLoss) {
      case Loss::Behind:
        return this->cluster.Isolate(aNode);
      case Loss::Frozen:
        this->cluster.Node(aNode).frozen = true;
        return;
      case Loss::DiskHangs:
        this->cluster.Node(aNode).diskHangs = true;
        return;
      default:
        return this->cluster.Kill(aNode, aLoss != Loss::Killed);
    }
  }

  void BringBack(std::size_t aNode)
  {
    Host& host = this->hosts[aNode];
    host.impaired = false;
    host.lostUntil = this->now + kCatchUp;
    switch (host.loss) {
      case Loss::Disk:
        return this->cluster.Wipe(aNode);
      case Loss::Replaced:
        // Its lost disk counts until the time of its successor is over.
        host.retired = true;
        this->cluster.Add();
        this->hosts.push_back(Host{ .lostUntil = this->now + kCatchUp });
        return;
      case Loss::Behind:
        return this->cluster.Reconnect(aNode);
      case Loss::Frozen:
        this->cluster.Node(aNode).frozen = false;
        return;
      case Loss::DiskHangs:
        this->cluster.Node(aNode).diskHangs = false;
        return;
      default:
        return this->cluster.Start(aNode);
    }
  }

  // All processes are killed, or all hosts lose power; their disks stay.
  void StopAll(bool aCutPower)
  {
    for (std::size_t node = 0; node < this->hosts.size(); ++node) {
      const Host& host = this->hosts[node];
      const bool without =
        host.impaired && (host.loss == Loss::Disk || host.loss == Loss::Replaced);
      if (host.retired || without) {
        continue;
      }
      if (host.impaired) {
        this->BringBack(node);
      }
      this->cluster.Kill(node, aCutPower);
      this->Impair(node, aCutPower ? Loss::Power : Loss::Killed);
    }
  }

  void Step(std::chrono::milliseconds aStep)
  {
    this->cluster.RunUnevenly(aStep);
    this->now += aStep;
    for (std::size_t node = 0; node < this->hosts.size(); ++node) {
      if (this->hosts[node].impaired && this->now >= this->hosts[node].backAt) {
        this->BringBack(node);
      }
    }
    this->UpdateLost();
  }

  // Beyond the tolerance, the time to catch up begins once it is kept again, and is the longer one
  // that a service has to recover.
  void UpdateLost()
  {
    const auto away = std::count_if(this->hosts.begin(), this->hosts.end(), [](const Host& aHost) {
      return aHost.impaired || aHost.empty;
    });
    const bool exceeded = static_cast<std::size_t>(away) > this->tolerance;
    for (Host& host : this->hosts) {
      if (exceeded && (host.impaired || this->now < host.lostUntil)) {
        host.lostUntil = this->now + kRecover;
      }
      host.empty &= host.impaired || this->now < host.lostUntil;
    }
  }

  void Run(std::chrono::milliseconds aTime)
  {
    const Duration end = this->now + aTime;
    while (this->now < end) {
      if (this->sending && this->Below(20) == 0) {
        this->cluster.Propose(this->Below(this->hosts.size()));
      }
      this->Step(kStep);
    }
  }

  // Sends one change at a time until one is acknowledged.
  void AwaitAcknowledgement()
  {
    const std::size_t before = this->cluster.Acknowledged().size();
    const Duration end = this->now + kRecover;
    for (std::size_t steps = 0; this->cluster.Acknowledged().size() == before; ++steps) {
      RC_ASSERT(this->now < end);
      if (steps % 100 == 0) {
        this->cluster.Propose(this->cluster.Leader().value_or(this->Below(this->hosts.size())));
      }
      this->Step(std::chrono::milliseconds(2));
    }
  }

  void SendLastChange(Moment aMoment)
  {
    if (aMoment == Moment::Acknowledged) {
      this->AwaitAcknowledgement();
      return;
    }
    this->cluster.Propose(this->Below(this->hosts.size()));
    for (std::size_t passed = 5 + this->Below(396); passed > 0; --passed) {
      this->Step(std::chrono::milliseconds(1));
    }
  }

  std::optional<std::size_t> Aimed(Aim aAim)
  {
    const std::optional<std::size_t> leader = this->cluster.Leader();
    if (aAim == Aim::Any || !leader) {
      return std::nullopt;
    }
    if (aAim == Aim::Leader) {
      return leader;
    }
    const auto& members = this->cluster.Core(*leader).Log().NewestMembership().members;
    const HostId host = aAim == Aim::Oldest ? members.front().host : members.back().host;
    for (std::size_t node = 0; node < this->hosts.size(); ++node) {
      if (this->cluster.Node(node).host == host) {
        return node;
      }
    }
    return std::nullopt;
  }

  // Draws hosts to lose their disk. Those that are lost already count, whether drawn or not.
  std::set<std::size_t> DrawTaken(Aim aAim)
  {
    std::vector<std::size_t> order;
    for (std::size_t node = 0; node < this->hosts.size(); ++node) {
      order.push_back(node);
    }
    std::shuffle(order.begin(), order.end(), this->random);
    if (const auto aimed = this->Aimed(aAim)) {
      order.insert(order.begin(), *aimed);
    }
    std::set<std::size_t> taken;
    std::size_t lost = this->CountLost();
    std::size_t empty = this->CountEmpty();
    for (const std::size_t node : order) {
      const Host& host = this->hosts[node];
      const bool fresh = !this->IsLost(node);
      const bool gone = host.retired || (host.impaired && host.loss == Loss::Replaced);
      const bool allowed =
        host.empty || (empty < this->tolerance && !(fresh && lost >= this->tolerance));
      if (gone || !allowed || !taken.insert(node).second) {
        continue;
      }
      lost += fresh ? 1 : 0;
      empty += host.empty ? 0 : 1;
    }
    return taken;
  }

  void CheckAcknowledged(std::size_t aLeader)
  {
    const auto& commands = this->cluster.Node(aLeader).process->machine.commands;
    const std::set<std::string> known(commands.begin(), commands.end());
    const auto& wanted = this->cluster.Acknowledged();
    RC_ASSERT(known.size() == commands.size());
    RC_ASSERT(std::includes(known.begin(), known.end(), wanted.begin(), wanted.end()));
  }

  std::size_t tolerance;
  std::mt19937_64 random;
  GroupCluster cluster;
  std::vector<Host> hosts;
  Duration now{};
  bool sending = true;
};

// Returns a number of the environment, by which a run by hand draws more days.
std::uint64_t
NumberOr(const char* aName, std::uint64_t aDefault)
{
  const char* const text = std::getenv(aName);
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

void
SurvivesDays(const Deployment& aDeployment, Moment aMoment)
{
  const std::uint64_t first = NumberOr("DAMASKLINK_MODEL_SEED", 1);
  const std::uint64_t days = NumberOr("DAMASKLINK_MODEL_DAYS", 8);
  for (std::uint64_t seed = first; seed < first + days; ++seed) {
    try {
      Day day(aDeployment, seed);
      day.Play();
      day.Strike(static_cast<Aim>(seed % 4), aMoment);
      day.CheckRecovery();
    } catch (const rc::detail::CaseResult& failure) {
      ADD_FAILURE() << "seed " << seed << ": " << failure.description;
    }
  }
}

// Guards against the loss of a change that was acknowledged right before one disk is lost and all
// other hosts lose power.
TEST(AcknowledgedChangeModelTest, OneLostDiskAndAPowerCutKeepAcknowledgedChanges)
{
  SurvivesDays(Deployment{ 3, 1 }, Moment::Acknowledged);
}

// Guards against the same loss with one host that does not vote or that makes the voters even.
TEST(AcknowledgedChangeModelTest, OneLostDiskOfFourHostsKeepsAcknowledgedChanges)
{
  SurvivesDays(Deployment{ 4, 1 }, Moment::Acknowledged);
}

// Guards against the same loss when two disks may be lost and a sixth host takes a voter's place.
TEST(AcknowledgedChangeModelTest, TwoLostDisksAndAPowerCutKeepAcknowledgedChanges)
{
  SurvivesDays(Deployment{ 6, 2 }, Moment::Acknowledged);
}

// Guards against the loss of earlier changes when the fault strikes while a change is under way.
TEST(AcknowledgedChangeModelTest, FaultWhileAChangeIsUnderWayKeepsEarlierOnes)
{
  SurvivesDays(Deployment{ 3, 1 }, Moment::Sent);
  SurvivesDays(Deployment{ 6, 2 }, Moment::Sent);
}

} // namespace
} // namespace damasklink
