// Simulates entry hosts, control hosts and one target with a rate limit in virtual time, and counts
// the requests that reach the target.
#include <algorithm>
#include <deque>
#include <optional>
#include <random>
#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "damasklink/coordination/RateLimitAllocator.h"
#include "damasklink/coordination/TargetRateLimiter.h"

namespace damasklink {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(20);
constexpr Duration kLimitedFor = seconds(30);
// Time from the first answer with the limit until all hosts must keep to it.
constexpr Duration kReactionTime = seconds(3);
constexpr Duration kWindow = seconds(4);
constexpr double kTolerance = 1.5;
constexpr double kSlack = 5;
constexpr Duration kHostDown = seconds(1);
// Time from an answer with the limit to a host until the requests of that host are counted.
constexpr Duration kAnswerTime = milliseconds(500);
const TargetId kTarget("t");

struct Size
{
  std::size_t entryHosts;
  std::size_t controlHosts;
};

// The entry hosts that get calls: `hosts` neighbours, beginning with `first`.
struct Callers
{
  std::size_t hosts;
  std::size_t first = 0;
  // The calls move to the next hosts after each such time; zero if they stay.
  Duration moveEvery{ 0 };
};

class LimitModel
{
public:
  LimitModel(const Size& aSize, RequestRate aLimit, std::uint32_t aSeed)
    : LimitModel(aSize, aLimit, aSeed, Callers{ aSize.entryHosts })
  {
  }

  LimitModel(const Size& aSize, RequestRate aLimit, std::uint32_t aSeed, const Callers& aCallers)
    : random(aSeed)
    , limit(aLimit)
    , callers(aCallers)
  {
    this->record.id = kTarget;
    this->record.incarnation = Incarnation(1);
    for (std::size_t index = 0; index < aSize.entryHosts; ++index) {
      Entry& entry = this->entries.emplace_back();
      entry.host = HostId("entry-" + std::to_string(index));
      entry.limiter.emplace(this->clock, entry.host);
      entry.hub = index % aSize.controlHosts;
    }
    this->controls.resize(aSize.controlHosts);
  }

  void Run()
  {
    const MonotonicTime start = this->Now();
    while (this->Now() < start + kLimitedFor) {
      this->clock.Advance(kStep);
      this->InjectFaults();
      this->Send();
      this->Deliver();
      this->SendReportsAndShares();
    }
    std::erase_if(this->arrivals,
                  [&](MonotonicTime aArrival) { return aArrival < start + kReactionTime; });
  }

  std::size_t MaxInWindow() const
  {
    std::size_t maximum = 0;
    for (auto first = this->arrivals.begin(); first != this->arrivals.end(); ++first) {
      const auto end = std::lower_bound(first, this->arrivals.end(), *first + kWindow);
      maximum = std::max(maximum, static_cast<std::size_t>(end - first));
    }
    return maximum;
  }

  std::deque<MonotonicTime> arrivals;

private:
  struct Entry
  {
    HostId host;
    std::optional<TargetRateLimiter> limiter;
    std::size_t hub = 0;
    MonotonicTime downUntil;
    bool synced = false;
    std::optional<MonotonicTime> limitSentAt;
  };

  struct Control
  {
    RateLimitAllocator allocator;
    std::vector<TargetLimit> sentShares;
    MonotonicTime downUntil;
  };

  struct Message
  {
    MonotonicTime at;
    std::size_t to = 0;
    LoadReport report;
    // The sender if it is a control host. An entry host accepts messages of its hub only.
    std::optional<std::size_t> fromControl;
    bool fromEntry = false;
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

  void Post(Message aMessage)
  {
    aMessage.at = this->Now() + milliseconds(5 + this->RandomIndex(200));
    if (this->Chance(0.05)) {
      this->messages.push_back(aMessage);
      aMessage.at += milliseconds(this->RandomIndex(500));
    }
    this->messages.push_back(std::move(aMessage));
  }

  void InjectFaults()
  {
    if (this->Chance(0.002)) {
      Entry& entry = this->entries[this->RandomIndex(this->entries.size())];
      entry.limiter.emplace(this->clock, entry.host);
      entry.downUntil = this->Now() + kHostDown;
      entry.synced = false;
      entry.limitSentAt.reset();
    }
    if (this->Chance(0.001)) {
      this->RestartControl(this->RandomIndex(this->controls.size()));
    }
  }

  void RestartControl(std::size_t aControl)
  {
    this->controls[aControl] = Control{ {}, {}, this->Now() + kHostDown };
    for (Entry& entry : this->entries) {
      if (entry.hub == aControl) {
        entry.hub = (entry.hub + 1) % this->controls.size();
        entry.limiter->ResendAll();
        entry.synced = false;
      }
    }
  }

  bool HasCalls(std::size_t aEntry) const
  {
    const std::size_t count = this->entries.size();
    std::size_t first = this->callers.first;
    if (this->callers.moveEvery > Duration::zero()) {
      const Duration passed = this->Now().time_since_epoch();
      first += static_cast<std::size_t>(passed / this->callers.moveEvery) * this->callers.hosts;
    }
    return (aEntry + count - (first % count)) % count < this->callers.hosts;
  }

  // Each host with calls has more than the target accepts from all hosts together.
  void Send()
  {
    for (std::size_t index = 0; index < this->entries.size(); ++index) {
      Entry& entry = this->entries[index];
      if (!this->HasCalls(index) || !this->IsUp(entry) || !this->Chance(0.2) ||
          !entry.limiter->MaySend(kTarget)) {
        continue;
      }
      entry.limiter->OnSent(kTarget);
      // A request counts only if the host has got the limit since its last start.
      if (entry.limitSentAt && this->Now() >= *entry.limitSentAt + kAnswerTime) {
        this->arrivals.push_back(this->Now());
      }
      entry.limitSentAt = entry.limitSentAt.value_or(this->Now());
      entry.limiter->OnAnswer(this->record, this->limit, this->Now());
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
    for (Message& message : due) {
      if (message.fromControl) {
        Entry& entry = this->entries[message.to];
        if (this->IsUp(entry) && entry.hub == *message.fromControl) {
          entry.limiter->SetShares(*message.report.limits);
        }
      } else if (this->IsUp(this->controls[message.to])) {
        this->TakeReports(message);
      }
    }
  }

  void TakeReports(const Message& aMessage)
  {
    this->controls[aMessage.to].allocator.Update(aMessage.report.limitReports);
    for (std::size_t other = 0; aMessage.fromEntry && other < this->controls.size(); ++other) {
      if (other != aMessage.to) {
        this->Post(Message{ {}, other, aMessage.report, std::nullopt, false });
      }
    }
  }

  void SendReportsAndShares()
  {
    for (Entry& entry : this->entries) {
      LoadReport report;
      report.limitReports = entry.limiter->TakeReports();
      if (this->IsUp(entry) && !report.limitReports.empty()) {
        this->Post(Message{ {}, entry.hub, std::move(report), std::nullopt, true });
      }
    }
    const std::set<HostId> hostsUp = this->EntryHostsUp();
    for (std::size_t index = 0; index < this->controls.size(); ++index) {
      Control& control = this->controls[index];
      const std::vector<TargetLimit> shares = control.allocator.Shares(hostsUp);
      const bool changed = shares != control.sentShares;
      control.sentShares = shares;
      for (std::size_t to = 0; to < this->entries.size() && this->IsUp(control); ++to) {
        Entry& entry = this->entries[to];
        const bool needsSync = this->IsUp(entry) && !entry.synced;
        if (entry.hub == index && (changed || needsSync)) {
          entry.synced = entry.synced || needsSync;
          LoadReport report;
          report.limits = shares;
          this->Post(Message{ {}, to, std::move(report), index, false });
        }
      }
    }
  }

  ManualClock clock;
  std::mt19937 random;
  RequestRate limit;
  Callers callers;
  TargetRecord record;
  std::deque<Entry> entries;
  std::vector<Control> controls;
  std::vector<Message> messages;
};

double
MaxAllowed(RequestRate aLimit)
{
  return kTolerance * aLimit.perSecond * std::chrono::duration<double>(kWindow).count() + kSlack;
}

// All hosts together must not exceed the limit of a target, even when hosts restart and messages
// are late or doubled.
RC_GTEST_PROP(LimitModelTest, NineHostsKeepToALimit, (std::uint32_t aSeed, std::uint8_t aTenths))
{
  const RequestRate limit{ static_cast<double>(aTenths) / 10 };
  LimitModel model(Size{ 9, 3 }, limit, aSeed);
  model.Run();
  RC_ASSERT(static_cast<double>(model.MaxInWindow()) <= MaxAllowed(limit));
}

// The same with hundreds of hosts. At least half of the limit must be used.
TEST(LimitModelTest, HundredsOfHostsKeepToALimit)
{
  constexpr std::uint32_t kSeeds = 15;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    const RequestRate limit{ 3.5 + seed };
    LimitModel model(Size{ 195, 5 }, limit, seed);
    model.Run();
    EXPECT_LE(static_cast<double>(model.MaxInWindow()), MaxAllowed(limit)) << "seed " << seed;
    const double counted = std::chrono::duration<double>(kLimitedFor - kReactionTime).count();
    const double usable = limit.perSecond * counted;
    EXPECT_GE(static_cast<double>(model.arrivals.size()), usable / 2) << "seed " << seed;
  }
}

// Runs the model for callers who begin at each of some hosts. All sent requests must be at least
// aUsedPart of what the limit allows.
void
ExpectSharesFollowCalls(const Size& aSize, Callers aCallers, double aUsedPart)
{
  constexpr RequestRate kLimit{ 3 };
  constexpr std::size_t kPlaces = 5;
  const double counted = std::chrono::duration<double>(kLimitedFor - kReactionTime).count();
  for (std::size_t place = 0; place < kPlaces; ++place) {
    aCallers.first = place * aSize.entryHosts / kPlaces;
    const auto seed = static_cast<std::uint32_t>(place + 1);
    SCOPED_TRACE("first host with calls: " + std::to_string(aCallers.first));
    LimitModel model(aSize, kLimit, seed, aCallers);
    model.Run();
    EXPECT_LE(static_cast<double>(model.MaxInWindow()), MaxAllowed(kLimit));
    EXPECT_GE(static_cast<double>(model.arrivals.size()), aUsedPart * kLimit.perSecond * counted);
  }
}

constexpr Size kSmall{ 5, 3 };
constexpr Size kMedium{ 72, 5 };
constexpr Size kLarge{ 985, 5 };

// Guards against shares that lie idle at hosts without calls while hosts with calls have none.
TEST(LimitModelTest, SharesFollowCallsOfFewHosts)
{
  for (const Size& size : { kSmall, kMedium, kLarge }) {
    SCOPED_TRACE(std::to_string(size.entryHosts) + " hosts");
    ExpectSharesFollowCalls(size, Callers{ 2 }, 0.5);
  }
}

// Guards against shares that stay where calls were.
TEST(LimitModelTest, SharesFollowCallsThatMove)
{
  for (const Size& size : { kSmall, kMedium, kLarge }) {
    SCOPED_TRACE(std::to_string(size.entryHosts) + " hosts");
    ExpectSharesFollowCalls(size, Callers{ 2, 0, seconds(6) }, 0.3);
  }
}

} // namespace
} // namespace damasklink
