// One host and ten targets in virtual time: what hedges do to the slowest calls under four loads.
#include <algorithm>
#include <array>
#include <deque>
#include <random>
#include <set>
#include <vector>

#include <gtest/gtest.h>

#include "damasklink/coordination/HedgeBudget.h"
#include "damasklink/coordination/HedgePolicy.h"

namespace damasklink {
namespace {

using Milliseconds = std::chrono::milliseconds;

const ServiceName kService("s");
const HedgeKind kKind{ "read", false };
constexpr std::size_t kTargets = 10;
constexpr std::size_t kSlots = 6;
// A call takes 10 to 20 ms at a sound target, so 60 slots serve four in a millisecond.
constexpr double kCapacity = 4;

struct Outcome
{
  // Of the calls after the start, in milliseconds.
  std::vector<int> times;
  std::uint64_t hedges = 0;
  std::uint64_t hedgesAtEnd = 0;

  int Quantile(double aAt)
  {
    std::sort(this->times.begin(), this->times.end());
    return this->times.at(static_cast<std::size_t>(aAt * static_cast<double>(times.size() - 1)));
  }
};

class HedgeModel
{
public:
  HedgeModel(double aShare, double aLoad)
    : policy(aShare)
    , budgets(aShare, 1)
    , arrivals(aLoad * kCapacity)
  {
    this->budgets.SetHosts(1);
  }

  // How fast a target works at a millisecond of the run.
  virtual double PaceOf(std::size_t /*aTarget*/, int /*aNow*/) { return 1; }
  virtual ~HedgeModel() = default;

  Outcome Run()
  {
    for (this->now = 0; this->now < kLength; ++this->now) {
      for (int count = this->arrivals(this->random); count > 0; --count) {
        this->Arrive();
      }
      this->Work();
      if (this->now % 100 == 0) {
        this->ObserveUse();
      }
      this->Hedge();
    }
    return std::move(this->outcome);
  }

  static constexpr int kLength = 20000;
  static constexpr int kStart = 4000;

private:
  struct Call
  {
    int arrived = 0;
    double work = 0;
    std::vector<std::size_t> targets;
  };

  struct Waiting
  {
    std::size_t call = 0;
    int since = 0;
  };

  struct Copy
  {
    std::size_t call = 0;
    double left = 0;
  };

  MonotonicTime Time() const { return MonotonicTime(std::chrono::hours(1) + Milliseconds(now)); }

  // The less loaded of two, without those that are excluded.
  std::size_t Choose(const std::vector<std::size_t>& aExcluded)
  {
    std::size_t best = kTargets;
    while (best == kTargets) {
      for (int draw = 0; draw < 2; ++draw) {
        const std::size_t target = this->random() % kTargets;
        const bool excluded = std::count(aExcluded.begin(), aExcluded.end(), target) > 0;
        if (!excluded && (best == kTargets || queues[target].size() < queues[best].size())) {
          best = target;
        }
      }
    }
    return best;
  }

  void Send(std::size_t aCall)
  {
    Call& call = this->calls[aCall];
    const std::size_t target = this->Choose(call.targets);
    call.targets.push_back(target);
    this->queues[target].push_back(Copy{ aCall, call.work });
  }

  void Arrive()
  {
    const double work = std::uniform_real_distribution<double>(10, 20)(this->random);
    this->calls.push_back(Call{ this->now, work, {} });
    this->open.insert(this->calls.size() - 1);
    this->waiting.push_back(Waiting{ this->calls.size() - 1, this->now });
    this->budgets.OnCall(kService, this->Time());
    this->retries.OnRequest();
    this->Send(this->calls.size() - 1);
  }

  void Work()
  {
    std::vector<std::size_t> done;
    for (std::size_t target = 0; target < kTargets; ++target) {
      const double pace = this->PaceOf(target, this->now);
      std::deque<Copy>& queue = this->queues[target];
      for (std::size_t slot = 0; slot < std::min(kSlots, queue.size()); ++slot) {
        queue[slot].left -= pace;
        if (queue[slot].left <= 0) {
          done.push_back(queue[slot].call);
        }
      }
    }
    for (const std::size_t call : done) {
      this->End(call);
    }
  }

  void End(std::size_t aCall)
  {
    if (this->open.erase(aCall) == 0) {
      return;
    }
    for (const std::size_t target : this->calls[aCall].targets) {
      std::erase_if(this->queues[target], [&](const Copy& aCopy) { return aCopy.call == aCall; });
    }
    const int took = this->now - this->calls[aCall].arrived + 1;
    this->policy.Observe(kKind, Milliseconds(took));
    if (this->calls[aCall].arrived >= kStart) {
      this->outcome.times.push_back(took);
    }
  }

  void ObserveUse()
  {
    double use = 0;
    for (const std::deque<Copy>& queue : this->queues) {
      use += static_cast<double>(queue.size()) / (kTargets * kSlots);
    }
    this->policy.ObserveUse(kService, use);
  }

  void Hedge()
  {
    const auto delay = this->policy.DelayOf(kKind);
    if (!delay) {
      return;
    }
    HedgeSituation situation;
    situation.repeatable = true;
    situation.attemptLeft = true;
    situation.use = this->policy.UseOf(kService);
    while (!this->waiting.empty() &&
           Milliseconds(this->now - this->waiting.front().since) >= *delay) {
      const std::size_t call = this->waiting.front().call;
      this->waiting.pop_front();
      if (!this->open.contains(call) || HedgePolicy::Decide(situation) != HedgeVerdict::Send) {
        continue;
      }
      if (!this->budgets.TryTake(kService, this->Time(), this->retries)) {
        this->waiting.push_back(Waiting{ call, this->now });
        continue;
      }
      this->Send(call);
      ++this->outcome.hedges;
      this->outcome.hedgesAtEnd += this->now >= kLength / 2 + kStart ? 1U : 0U;
    }
  }

  HedgePolicy policy;
  HedgeBudgets budgets;
  RetryBudget retries{ 0.16, 1 };
  std::poisson_distribution<int> arrivals;
  int now = 0;
  std::mt19937_64 random{ 1 };
  std::vector<Call> calls;
  std::set<std::size_t> open;
  // Calls that may be hedged, in the order in which they ask.
  std::deque<Waiting> waiting;
  std::array<std::deque<Copy>, kTargets> queues;
  Outcome outcome;
};

constexpr double kShare = 0.05;

class OneSlow : public HedgeModel
{
public:
  using HedgeModel::HedgeModel;
  double PaceOf(std::size_t aTarget, int /*aNow*/) override { return aTarget == 0 ? 0.1 : 1; }
};

// Load: one target in ten takes ten times as long.
TEST(HedgeModelTest, OneSlowTargetInTen)
{
  Outcome without = OneSlow(0, 0.1).Run();
  Outcome with = OneSlow(kShare, 0.1).Run();
  EXPECT_LT(with.Quantile(0.99) * 3, without.Quantile(0.99) * 2);
  EXPECT_LE(static_cast<double>(with.hedges), kShare * 0.1 * kCapacity * HedgeModel::kLength + 40);
}

// Load: each 0.6 s other targets stand still, one in twenty.
class Stalls : public HedgeModel
{
public:
  using HedgeModel::HedgeModel;
  double PaceOf(std::size_t aTarget, int aNow) override
  {
    if (aNow % 600 == 0) {
      this->stalled[aTarget] = this->draw() % 20 == 0;
    }
    return this->stalled[aTarget] ? 0 : 1;
  }

private:
  std::mt19937 draw{ 1 };
  std::array<bool, kTargets> stalled{};
};

TEST(HedgeModelTest, StallsDrawnAnew)
{
  Outcome without = Stalls(0, 0.1).Run();
  Outcome with = Stalls(kShare, 0.1).Run();
  EXPECT_LT(with.Quantile(0.99) * 3, without.Quantile(0.99) * 2);
  EXPECT_LE(static_cast<double>(with.hedges), kShare * 0.1 * kCapacity * HedgeModel::kLength + 40);
}

class AllSlow : public HedgeModel
{
public:
  using HedgeModel::HedgeModel;
  double PaceOf(std::size_t /*aTarget*/, int aNow) override { return aNow < kLength / 2 ? 1 : 0.2; }
};

// Load: all targets take five times as long from one moment on.
TEST(HedgeModelTest, NoHedgesOnceAllTargetsAreSlow)
{
  Outcome with = AllSlow(kShare, 0.1).Run();
  EXPECT_GT(with.hedges, 0U);
  EXPECT_EQ(with.hedgesAtEnd, 0U);
}

// Load: calls for nine tenths of the places and more.
TEST(HedgeModelTest, OverloadIsMadeNoWorse)
{
  for (const double load : { 0.9, 1.0, 1.1 }) {
    Outcome without = HedgeModel(0, load).Run();
    Outcome with = HedgeModel(kShare, load).Run();
    EXPECT_EQ(with.hedgesAtEnd, 0U) << load;
    EXPECT_LE(with.Quantile(0.99), without.Quantile(0.99)) << load;
    EXPECT_LE(with.Quantile(0.5), without.Quantile(0.5)) << load;
  }
}

} // namespace
} // namespace damasklink
