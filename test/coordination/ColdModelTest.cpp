// Simulates entry hosts, control hosts and cold targets in virtual time, and counts the requests
// that reach each cold target in any second.
//
// Many targets become cold at one moment, as when a zone is put back into service or restarted,
// while all hosts have calls for them, and messages are late, doubled or lost.
#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <ostream>
#include <random>

#include <gtest/gtest.h>

#include "damasklink/coordination/RateLimitAllocator.h"
#include "damasklink/coordination/RecentHosts.h"
#include "damasklink/coordination/TargetRateLimiter.h"

namespace damasklink {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(10);
constexpr Duration kHeartbeat = milliseconds(1200);
constexpr Duration kColdFor = seconds(3);
constexpr RequestRate kColdRate{ 16 };
// The tolerance that users allow beyond the rate that a target declares.
constexpr double kTolerance = 1.5;
constexpr double kSlack = 5;
constexpr Duration kHostDown = milliseconds(500);
// Time from the start of a control host until it divides rates.
constexpr Duration kGatherTime = seconds(1);

struct Deployment
{
  std::size_t entryHosts;
  std::size_t controlHosts;
  std::size_t coldTargets;
  // Calls per second that all hosts together have for one target.
  double demand;
  // Hosts restart, and messages are lost and doubled.
  bool faults = false;
  // A network partition splits the hosts into two halves.
  bool partitioned = false;
};

// Names of test cases must be the same in each run.
void
PrintTo(const Deployment& aDeployment, std::ostream* aOut)
{
  *aOut << aDeployment.entryHosts << "Hosts" << aDeployment.coldTargets << "Cold"
        << (aDeployment.faults ? "Faults" : "") << (aDeployment.partitioned ? "Cut" : "");
}

class ColdModel
{
public:
  ColdModel(const Deployment& aDeployment, std::uint32_t aSeed)
    : deployment(aDeployment)
    , random(aSeed)
  {
    for (std::size_t index = 0; index < aDeployment.entryHosts; ++index) {
      Entry& entry = this->entries.emplace_back();
      entry.host = HostId("entry-" + std::to_string(index));
      entry.limiter.emplace(this->clock, entry.host);
      entry.hub = index % aDeployment.controlHosts;
    }
    this->controls.resize(aDeployment.controlHosts);
    for (std::size_t index = 0; index < aDeployment.coldTargets; ++index) {
      Target& target = this->targets.emplace_back();
      target.record.id = TargetId("t" + std::to_string(index));
    }
  }

  // Starts all targets at one moment; all are cold.
  void Run()
  {
    this->AnnounceHosts();
    if (this->deployment.partitioned) {
      this->isPartitioned = true;
    }
    for (Target& target : this->targets) {
      target.coldUntil = this->Now() + kColdFor;
      target.nextHeartbeat = this->Now() + milliseconds(this->RandomIndex(50));
    }
    const MonotonicTime end = this->Now() + kColdFor;
    while (this->Now() < end) {
      this->clock.Advance(kStep);
      this->InjectFaults();
      this->SendHeartbeats();
      this->Send();
      this->Deliver();
      this->SendShares();
    }
  }

  // Returns the most requests that any cold target got in one second.
  std::size_t MaxPerSecond() const
  {
    std::size_t maximum = 0;
    for (const Target& target : this->targets) {
      for (auto first = target.arrivals.begin(); first != target.arrivals.end(); ++first) {
        const auto end = std::lower_bound(first, target.arrivals.end(), *first + seconds(1));
        maximum = std::max(maximum, static_cast<std::size_t>(end - first));
      }
    }
    return maximum;
  }

  double ServedPerTargetAndSecond() const
  {
    std::size_t all = 0;
    for (const Target& target : this->targets) {
      all += target.arrivals.size();
    }
    const double time = std::chrono::duration<double>(kColdFor).count();
    return static_cast<double>(all) / static_cast<double>(this->targets.size()) / time;
  }

private:
  struct Target
  {
    TargetRecord record;
    MonotonicTime coldUntil;
    MonotonicTime nextHeartbeat;
    std::vector<MonotonicTime> arrivals;
  };

  struct Entry
  {
    HostId host;
    std::optional<TargetRateLimiter> limiter;
    std::size_t hub = 0;
    MonotonicTime downUntil;
    bool synced = false;
    // Targets that it knows of.
    std::set<std::size_t> known;
  };

  struct Control
  {
    RateLimitAllocator allocator;
    RecentHosts recentHosts;
    std::vector<TargetLimit> sentShares;
    MonotonicTime downUntil;
    MonotonicTime startedAt;
  };

  // A message to a control host (toControl) or to an entry host. It has either a cold target or
  // shares.
  struct Message
  {
    MonotonicTime at;
    std::size_t to = 0;
    bool toControl = false;
    bool fromTarget = false;
    std::optional<std::size_t> target;
    Duration coldFor{ 0 };
    std::optional<std::vector<TargetLimit>> shares;
    std::size_t from = 0;
  };

  MonotonicTime Now() const { return this->clock.MonotonicNow(); }
  bool Chance(double aProbability)
  {
    return std::bernoulli_distribution(aProbability)(this->random);
  }
  std::size_t RandomIndex(std::size_t aCount) { return this->random() % aCount; }

  template<typename Host>
  bool IsUp(const Host& aHost) const
  {
    return this->Now() >= aHost.downUntil;
  }

  // The halves of the partition: even and odd control hosts, and entry hosts with their hubs.
  bool CanReach(std::size_t aControl, std::size_t aOther) const
  {
    return !this->isPartitioned || aControl % 2 == aOther % 2;
  }

  void Post(Message aMessage)
  {
    if (this->deployment.faults && this->Chance(0.02)) {
      return;
    }
    aMessage.at = this->Now() + milliseconds(1 + this->RandomIndex(60));
    if (this->deployment.faults && this->Chance(0.05)) {
      this->messages.push_back(aMessage);
      aMessage.at += milliseconds(this->RandomIndex(500));
    }
    this->messages.push_back(std::move(aMessage));
  }

  // Makes all entry hosts known to the control hosts.
  void AnnounceHosts()
  {
    for (Control& control : this->controls) {
      control.recentHosts.Update(this->EntryHostsUp(), this->Now());
    }
    this->clock.Advance(kGatherTime);
  }

  void InjectFaults()
  {
    if (!this->deployment.faults) {
      return;
    }
    if (this->Chance(0.01)) {
      Entry& entry = this->entries[this->RandomIndex(this->entries.size())];
      entry.limiter.emplace(this->clock, entry.host);
      entry.downUntil = this->Now() + kHostDown;
      entry.synced = false;
      entry.known.clear();
    }
    if (this->Chance(0.003)) {
      const std::size_t down = this->RandomIndex(this->controls.size());
      this->controls[down] =
        Control{ {}, {}, {}, this->Now() + kHostDown, this->Now() + kHostDown };
      for (Entry& entry : this->entries) {
        if (entry.hub == down) {
          entry.hub = (entry.hub + 1) % this->controls.size();
          entry.synced = false;
        }
      }
    }
  }

  // Each target sends its heartbeats to random control hosts.
  void SendHeartbeats()
  {
    for (std::size_t index = 0; index < this->targets.size(); ++index) {
      Target& target = this->targets[index];
      if (this->Now() < target.nextHeartbeat) {
        continue;
      }
      target.nextHeartbeat += kHeartbeat;
      Message message;
      message.to = this->RandomIndex(this->controls.size());
      message.toControl = true;
      message.fromTarget = true;
      message.target = index;
      message.coldFor = target.coldUntil - this->Now();
      this->Post(message);
    }
  }

  void Send()
  {
    const double probability = this->deployment.demand *
                               std::chrono::duration<double>(kStep).count() /
                               static_cast<double>(this->entries.size());
    for (Entry& entry : this->entries) {
      for (const std::size_t index : entry.known) {
        Target& target = this->targets[index];
        const bool sends = this->IsUp(entry) && this->Chance(std::min(probability, 1.0)) &&
                           entry.limiter->MaySend(target.record.id);
        if (sends) {
          entry.limiter->OnSent(target.record.id);
          target.arrivals.push_back(this->Now());
        }
      }
    }
  }

  std::set<HostId> EntryHostsUp() const
  {
    std::set<HostId> hosts;
    for (const Entry& entry : this->entries) {
      if (this->IsUp(entry)) {
        hosts.insert(entry.host);
      }
    }
    return hosts;
  }

  // Returns the entry hosts that a control host knows of, directly or through others.
  std::set<HostId> EntryHostsKnownTo(std::size_t aControl) const
  {
    std::set<HostId> hosts;
    for (const Entry& entry : this->entries) {
      if (this->IsUp(entry) && this->CanReach(aControl, entry.hub)) {
        hosts.insert(entry.host);
      }
    }
    return hosts;
  }

  void Deliver()
  {
    std::vector<Message> due;
    std::erase_if(this->messages, [&](Message& aMessage) {
      const bool isDue = aMessage.at <= this->Now();
      if (isDue) {
        due.push_back(std::move(aMessage));
      }
      return isDue;
    });
    for (const Message& message : due) {
      if (message.toControl) {
        this->TakeAtControl(message);
      } else {
        this->TakeAtEntry(message);
      }
    }
  }

  void TakeAtControl(const Message& aMessage)
  {
    Control& control = this->controls[aMessage.to];
    if (!this->IsUp(control)) {
      return;
    }
    const Target& target = this->targets[*aMessage.target];
    control.allocator.UpdateColdTarget(
      ColdTarget{ target.record.id, target.record.incarnation, aMessage.coldFor, kColdRate },
      this->Now());
    for (std::size_t to = 0; to < this->entries.size(); ++to) {
      if (this->entries[to].hub == aMessage.to) {
        Message forwarded = aMessage;
        forwarded.to = to;
        forwarded.toControl = false;
        this->Post(forwarded);
      }
    }
    for (std::size_t other = 0; aMessage.fromTarget && other < this->controls.size(); ++other) {
      if (other != aMessage.to && this->CanReach(aMessage.to, other)) {
        Message forwarded = aMessage;
        forwarded.to = other;
        forwarded.fromTarget = false;
        this->Post(forwarded);
      }
    }
  }

  void TakeAtEntry(const Message& aMessage)
  {
    Entry& entry = this->entries[aMessage.to];
    if (!this->IsUp(entry)) {
      return;
    }
    if (aMessage.target) {
      entry.known.insert(*aMessage.target);
      entry.limiter->OnCold(this->targets[*aMessage.target].record, aMessage.coldFor);
    } else if (entry.hub == aMessage.from) {
      entry.limiter->SetShares(*aMessage.shares);
    }
  }

  void SendShares()
  {
    for (std::size_t index = 0; index < this->controls.size(); ++index) {
      Control& control = this->controls[index];
      if (!this->IsUp(control)) {
        continue;
      }
      control.recentHosts.Update(this->EntryHostsKnownTo(index), this->Now());
      control.allocator.RemoveWarmTargets(this->Now());
      const bool isGathering = this->Now() - control.startedAt < kGatherTime;
      const std::vector<TargetLimit> shares =
        control.allocator.Shares(isGathering ? std::set<HostId>() : control.recentHosts.All());
      const bool changed = shares != control.sentShares;
      control.sentShares = shares;
      for (std::size_t to = 0; to < this->entries.size(); ++to) {
        Entry& entry = this->entries[to];
        const bool needsSync = this->IsUp(entry) && !entry.synced;
        if (entry.hub == index && (changed || needsSync)) {
          entry.synced = entry.synced || needsSync;
          Message message;
          message.to = to;
          message.shares = shares;
          message.from = index;
          this->Post(std::move(message));
        }
      }
    }
  }

  Deployment deployment;
  ManualClock clock;
  std::mt19937 random;
  bool isPartitioned = false;
  std::deque<Entry> entries;
  std::vector<Control> controls;
  std::vector<Target> targets;
  std::vector<Message> messages;
};

double
MaxAllowed()
{
  return kTolerance * kColdRate.perSecond + kSlack;
}

// Far more calls than cold targets accept, as when the warm ones are full.
constexpr double kOverload = 300;

class ColdModelTest : public testing::TestWithParam<Deployment>
{};

TEST_P(ColdModelTest, NoTargetGetsMoreThanItDeclares)
{
  for (std::uint32_t seed = 1; seed <= 2; ++seed) {
    ColdModel model(GetParam(), seed);
    model.Run();
    EXPECT_LE(static_cast<double>(model.MaxPerSecond()), kColdRate.perSecond) << "seed " << seed;
    // At least half of the rate must be used.
    EXPECT_GE(model.ServedPerTargetAndSecond(), kColdRate.perSecond / 2) << "seed " << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(Sizes,
                         ColdModelTest,
                         testing::Values(Deployment{ 9, 3, 1, kOverload },
                                         Deployment{ 9, 3, 20, kOverload },
                                         Deployment{ 80, 6, 60, kOverload },
                                         Deployment{ 195, 5, 20, kOverload }));

class ColdFaultsTest : public testing::TestWithParam<Deployment>
{};

TEST_P(ColdFaultsTest, RestartsAndLostMessagesStayWithinTheTolerance)
{
  for (std::uint32_t seed = 1; seed <= 3; ++seed) {
    ColdModel model(GetParam(), seed);
    model.Run();
    EXPECT_LE(static_cast<double>(model.MaxPerSecond()), MaxAllowed()) << "seed " << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(Sizes,
                         ColdFaultsTest,
                         testing::Values(Deployment{ 9, 3, 20, kOverload, true },
                                         Deployment{ 80, 6, 20, kOverload, true },
                                         Deployment{ 195, 5, 10, kOverload, true },
                                         Deployment{ 80, 6, 20, kOverload, true, true }));

// Both halves know all hosts from before the partition, so they divide the rate in the same way.
TEST(ColdPartitionTest, PartitionedHalvesKeepToOneRate)
{
  for (std::uint32_t seed = 1; seed <= 2; ++seed) {
    ColdModel model(Deployment{ 80, 6, 20, kOverload, false, true }, seed);
    model.Run();
    EXPECT_LE(static_cast<double>(model.MaxPerSecond()), kColdRate.perSecond) << "seed " << seed;
  }
}

} // namespace
} // namespace damasklink
