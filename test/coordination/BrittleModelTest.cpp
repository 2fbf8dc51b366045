// Simulates entry hosts and brittle targets in virtual time: a target that has to reject too many
// requests in a second fails and is back some seconds later.
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "damasklink/coordination/BrittleTargetLimiter.h"

namespace damasklink {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(5);
// Demand before the burst, in relation to what all targets can run.
constexpr double kUsualDemand = 0.6;
constexpr Duration kBrittleFor = seconds(15);
// From the first answers until targets have no queue any more.
constexpr Duration kReaction = seconds(3);
constexpr Duration kDownFor = seconds(3);
// How late hosts know of the load that others put on a target.
constexpr Duration kReportDelay = milliseconds(150);
// Hosts send reports this often.
constexpr Duration kReportEvery = milliseconds(50);
constexpr std::size_t kQueue = 8;
constexpr RequestRate kTolerated{ 3 };

struct Case
{
  std::size_t hosts;
  std::size_t targets;
  std::uint64_t slots;
  Duration runTime;
  // Calls in relation to what all targets can run.
  double demand;
  // Every call is sent on at once, as long as the target seems to have a place.
  bool placesAlone;
};

class BrittleModel
{
public:
  explicit BrittleModel(const Case& aCase)
    : parameters(aCase)
    , random(11)
    , targets(aCase.targets)
    , ownSends(aCase.hosts * aCase.targets)
  {
    for (std::size_t index = 0; index < aCase.hosts; ++index) {
      this->limiters.emplace_back(this->clock, index + 1);
    }
    for (std::size_t index = 0; index < aCase.targets; ++index) {
      TargetRecord& record = this->targets[index].record;
      record.id = TargetId("t" + std::to_string(index));
      record.service = ServiceName("app");
      record.incarnation = Incarnation(1);
      record.load.slots = aCase.slots;
    }
  }

  void Run()
  {
    const MonotonicTime start = this->Now();
    this->strictFrom = start + kReaction;
    const double perSecond =
      static_cast<double>(this->parameters.targets * this->parameters.slots) /
      std::chrono::duration<double>(this->parameters.runTime).count();
    const double perStep = perSecond * std::chrono::duration<double>(kStep).count();
    std::poisson_distribution<int> usual(perStep * kUsualDemand);
    std::poisson_distribution<int> burst(perStep * this->parameters.demand);
    while (this->Now() < start + kBrittleFor) {
      this->clock.Advance(kStep);
      this->UpdateTargets();
      this->ExchangeReports();
      const bool isUsual = this->Now() < this->strictFrom;
      for (int left = isUsual ? usual(this->random) : burst(this->random); left > 0; --left) {
        this->Call(this->random() % this->parameters.hosts);
      }
    }
  }

  std::size_t falls = 0;
  std::size_t served = 0;

private:
  struct TargetState
  {
    TargetRecord record;
    // When the requests in progress end, and the hosts that sent them.
    std::deque<std::pair<MonotonicTime, std::size_t>> running;
    std::deque<MonotonicTime> rejections;
    // Load at earlier times, as hosts learn of it.
    std::deque<std::pair<MonotonicTime, std::uint64_t>> loads;
    MonotonicTime downUntil;
  };

  // What each host has sent to each target and the others do not know of yet.
  using OwnSends = std::vector<std::deque<MonotonicTime>>;

  MonotonicTime Now() const { return this->clock.MonotonicNow(); }

  void UpdateTargets()
  {
    for (TargetState& target : this->targets) {
      while (!target.running.empty() && target.running.front().first <= this->Now()) {
        this->limiters[target.running.front().second].OnEnded(
          target.record.id, target.record.incarnation, this->parameters.runTime);
        target.running.pop_front();
        ++this->served;
      }
      target.loads.emplace_back(this->Now(), target.running.size());
      while (target.loads.size() > 1 && target.loads[1].first <= this->Now() - kReportDelay) {
        target.loads.pop_front();
      }
    }
  }

  // All hosts, the sender too, get a report some time after it was sent.
  void ExchangeReports()
  {
    while (!this->reports.empty() && this->reports.front().first <= this->Now()) {
      for (BrittleTargetLimiter& limiter : this->limiters) {
        limiter.OnReport(this->reports.front().second);
      }
      this->reports.pop_front();
    }
    if (this->Now() < this->nextReports) {
      return;
    }
    this->nextReports = this->Now() + kReportEvery;
    for (BrittleTargetLimiter& limiter : this->limiters) {
      for (BrittleService& report : limiter.TakeReports()) {
        this->reports.emplace_back(this->Now() + kReportDelay, std::move(report));
      }
    }
  }

  std::uint64_t KnownLoad(std::size_t aHost, std::size_t aTarget)
  {
    std::deque<MonotonicTime>& own = this->ownSends[(aHost * this->targets.size()) + aTarget];
    while (!own.empty() && own.front() <= this->Now() - kReportDelay) {
      own.pop_front();
    }
    const TargetState& target = this->targets[aTarget];
    return (target.loads.empty() ? 0 : target.loads.front().second) + own.size();
  }

  bool MaySend(std::size_t aHost, std::size_t aTarget, std::uint64_t aLoad)
  {
    const TargetState& target = this->targets[aTarget];
    if (this->Now() < target.downUntil) {
      return false;
    }
    if (this->parameters.placesAlone) {
      return aLoad < this->parameters.slots;
    }
    return this->limiters[aHost].MaySend(target.record, aLoad, this->parameters.hosts);
  }

  void Call(std::size_t aHost)
  {
    std::optional<std::size_t> chosen;
    std::uint64_t least = 0;
    const std::size_t first = this->random() % this->targets.size();
    for (std::size_t step = 0; step < this->targets.size(); ++step) {
      const std::size_t index = (first + step) % this->targets.size();
      const std::uint64_t load = this->KnownLoad(aHost, index);
      if ((!chosen || load < least) && this->MaySend(aHost, index, load)) {
        chosen = index;
        least = load;
      }
      if (chosen && step >= 3) {
        break;
      }
    }
    if (chosen) {
      this->Send(aHost, *chosen);
    }
  }

  void Send(std::size_t aHost, std::size_t aTarget)
  {
    TargetState& target = this->targets[aTarget];
    BrittleTargetLimiter& limiter = this->limiters[aHost];
    limiter.OnSent(target.record);
    limiter.OnAnswer(target.record, kTolerated, this->Now());
    this->ownSends[(aHost * this->targets.size()) + aTarget].push_back(this->Now());
    const std::size_t queue = this->Now() < this->strictFrom ? kQueue : 0;
    if (target.running.size() < this->parameters.slots + queue) {
      target.running.emplace_back(this->Now() + this->parameters.runTime, aHost);
      return;
    }
    limiter.OnEnded(target.record.id, target.record.incarnation, std::nullopt);
    limiter.OnRejected(target.record);
    target.rejections.push_back(this->Now());
    while (target.rejections.front() <= this->Now() - seconds(1)) {
      target.rejections.pop_front();
    }
    if (static_cast<double>(target.rejections.size()) > kTolerated.perSecond) {
      this->Fall(target);
    }
  }

  void Fall(TargetState& aTarget)
  {
    ++this->falls;
    aTarget.downUntil = this->Now() + kDownFor;
    aTarget.running.clear();
    aTarget.rejections.clear();
    aTarget.record.incarnation = aTarget.record.incarnation.Next();
  }

  Case parameters;
  std::mt19937 random;
  ManualClock clock;
  std::deque<BrittleTargetLimiter> limiters;
  std::vector<TargetState> targets;
  OwnSends ownSends;
  std::deque<std::pair<MonotonicTime, BrittleService>> reports;
  MonotonicTime nextReports;
  MonotonicTime strictFrom;
};

void
ExpectNotOverfilled(const Case& aCase)
{
  BrittleModel model(aCase);
  model.Run();
  EXPECT_LE(model.falls, 2 + (aCase.targets / 10));
  Case alone = aCase;
  alone.placesAlone = true;
  BrittleModel places(alone);
  places.Run();
  EXPECT_GE(model.served, places.served);
}

// Guards against brittle targets that fail because all hosts together send more than there is room
// for.
TEST(BrittleModelTest, ServiceOfFewPlacesIsNotOverfilledBy9Hosts)
{
  ExpectNotOverfilled({ 9, 3, 6, milliseconds(15), 2, false });
  ExpectNotOverfilled({ 9, 3, 6, milliseconds(200), 2, false });
}

TEST(BrittleModelTest, EnginesAreNotOverfilledBy9Hosts)
{
  ExpectNotOverfilled({ 9, 12, 128, milliseconds(400), 2, false });
}

TEST(BrittleModelTest, TargetsAreNotOverfilledBy72Hosts)
{
  ExpectNotOverfilled({ 72, 18, 64, milliseconds(400), 2, false });
  ExpectNotOverfilled({ 72, 6, 12, milliseconds(100), 2, false });
}

TEST(BrittleModelTest, EnginesAreNotOverfilledBy985Hosts)
{
  ExpectNotOverfilled({ 985, 93, 64, milliseconds(400), 2, false });
}

TEST(BrittleModelTest, OneTargetIsNotOverfilledBy985Hosts)
{
  ExpectNotOverfilled({ 985, 1, 64, milliseconds(400), 2, false });
}

// Guards against hosts that have had no answer yet and so do not know that the target is brittle.
TEST(BrittleModelTest, TargetOfLongRequestsIsNotOverfilledBy985Hosts)
{
  ExpectNotOverfilled({ 985, 1, 64, milliseconds(2000), 2, false });
}

} // namespace
} // namespace damasklink
