// Entry hosts, control hosts and one target that names a limit, in virtual time; what counts is
// what reaches the target.
#include <algorithm>
#include <deque>
#include <optional>
#include <random>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "damasklink/coordination/LimitBook.h"
#include "damasklink/coordination/TargetLimits.h"

namespace damasklink {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(20);
constexpr Duration kLimitedFor = seconds(30);
// From the first answer with the limit until all hosts must keep to it.
constexpr Duration kNotice = seconds(3);
constexpr Duration kWindow = seconds(4);
constexpr double kTolerance = 1.5;
constexpr double kSlack = 5;
constexpr Duration kHostDown = seconds(1);
// From a target's word to a host until it counts what that host sends.
constexpr Duration kTold = milliseconds(500);
const TargetId kTarget("t");

struct Size
{
  std::size_t entryHosts;
  std::size_t controlHosts;
};

class LimitModel
{
public:
  LimitModel(const Size& aSize, RequestRate aLimit, std::uint32_t aSeed)
    : random(aSeed)
    , limit(aLimit)
  {
    this->record.id = kTarget;
    this->record.incarnation = Incarnation(1);
    for (std::size_t index = 0; index < aSize.entryHosts; ++index) {
      Entry& entry = this->entries.emplace_back();
      entry.host = HostId("entry-" + std::to_string(index));
      entry.held.emplace(this->clock, entry.host);
      entry.hub = index % aSize.controlHosts;
    }
    this->controls.resize(aSize.controlHosts);
  }

  void Run()
  {
    const MonotonicTime named = this->Now();
    while (this->Now() < named + kLimitedFor) {
      this->clock.Advance(kStep);
      this->Disturb();
      this->Send();
      this->Deliver();
      this->Tell();
    }
    std::erase_if(this->arrivals,
                  [&](MonotonicTime aArrival) { return aArrival < named + kNotice; });
  }

  std::size_t MostInWindow() const
  {
    std::size_t most = 0;
    for (auto first = this->arrivals.begin(); first != this->arrivals.end(); ++first) {
      const auto end = std::lower_bound(first, this->arrivals.end(), *first + kWindow);
      most = std::max(most, static_cast<std::size_t>(end - first));
    }
    return most;
  }

  std::deque<MonotonicTime> arrivals;

private:
  struct Entry
  {
    HostId host;
    std::optional<TargetLimits> held;
    std::size_t hub = 0;
    MonotonicTime downUntil;
    bool greeted = false;
    std::optional<MonotonicTime> toldAt;
  };

  struct Control
  {
    LimitBook book;
    std::vector<TargetLimit> told;
    MonotonicTime downUntil;
  };

  struct Message
  {
    MonotonicTime at;
    std::size_t to = 0;
    LoadReport news;
    // From a control host, for an entry host that hears it while it is its hub.
    std::optional<std::size_t> fromControl;
    bool fromEntry = false;
  };

  MonotonicTime Now() const { return this->clock.MonotonicNow(); }
  bool Happens(double aChance) { return std::bernoulli_distribution(aChance)(this->random); }
  std::size_t Draw(std::size_t aCount) { return this->random() % aCount; }

  template<typename Host>
  bool IsUp(const Host& aHost) const
  {
    return this->Now() >= aHost.downUntil;
  }

  void Post(Message aMessage)
  {
    aMessage.at = this->Now() + milliseconds(5 + this->Draw(200));
    if (this->Happens(0.05)) {
      this->messages.push_back(aMessage);
      aMessage.at += milliseconds(this->Draw(500));
    }
    this->messages.push_back(std::move(aMessage));
  }

  void Disturb()
  {
    if (this->Happens(0.002)) {
      Entry& entry = this->entries[this->Draw(this->entries.size())];
      entry.held.emplace(this->clock, entry.host);
      entry.downUntil = this->Now() + kHostDown;
      entry.greeted = false;
      entry.toldAt.reset();
    }
    if (this->Happens(0.001)) {
      this->Restart(this->Draw(this->controls.size()));
    }
  }

  void Restart(std::size_t aControl)
  {
    this->controls[aControl] = Control{ {}, {}, this->Now() + kHostDown };
    for (Entry& entry : this->entries) {
      if (entry.hub == aControl) {
        entry.hub = (entry.hub + 1) % this->controls.size();
        entry.held->TellAllAnew();
        entry.greeted = false;
      }
    }
  }

  // Each host has more calls than the target takes from all of them.
  void Send()
  {
    for (Entry& entry : this->entries) {
      if (!this->IsUp(entry) || !this->Happens(0.2) || !entry.held->MaySend(kTarget)) {
        continue;
      }
      entry.held->OnSent(kTarget);
      // The target can hold a host to what it has told it, since the host's last start.
      if (entry.toldAt && this->Now() >= *entry.toldAt + kTold) {
        this->arrivals.push_back(this->Now());
      }
      entry.toldAt = entry.toldAt.value_or(this->Now());
      entry.held->OnAnswer(this->record, this->limit, this->Now());
    }
  }

  std::set<HostId> Roster() const
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
          entry.held->Take(*message.news.limits);
        }
      } else if (this->IsUp(this->controls[message.to])) {
        this->TakeReports(message);
      }
    }
  }

  void TakeReports(const Message& aMessage)
  {
    this->controls[aMessage.to].book.Take(aMessage.news.limitReports);
    for (std::size_t other = 0; aMessage.fromEntry && other < this->controls.size(); ++other) {
      if (other != aMessage.to) {
        this->Post(Message{ {}, other, aMessage.news, std::nullopt, false });
      }
    }
  }

  void Tell()
  {
    for (Entry& entry : this->entries) {
      LoadReport news;
      news.limitReports = entry.held->TakeReports();
      if (this->IsUp(entry) && !news.limitReports.empty()) {
        this->Post(Message{ {}, entry.hub, std::move(news), std::nullopt, true });
      }
    }
    const std::set<HostId> roster = this->Roster();
    for (std::size_t index = 0; index < this->controls.size(); ++index) {
      Control& control = this->controls[index];
      const std::vector<TargetLimit> shares = control.book.Shares(roster);
      const bool changed = shares != control.told;
      control.told = shares;
      for (std::size_t to = 0; to < this->entries.size() && this->IsUp(control); ++to) {
        Entry& entry = this->entries[to];
        const bool greets = this->IsUp(entry) && !entry.greeted;
        if (entry.hub == index && (changed || greets)) {
          entry.greeted = entry.greeted || greets;
          LoadReport news;
          news.limits = shares;
          this->Post(Message{ {}, to, std::move(news), index, false });
        }
      }
    }
  }

  ManualClock clock;
  std::mt19937 random;
  RequestRate limit;
  TargetRecord record;
  std::deque<Entry> entries;
  std::vector<Control> controls;
  std::vector<Message> messages;
};

double
MostAllowed(RequestRate aLimit)
{
  return kTolerance * aLimit.perSecond * std::chrono::duration<double>(kWindow).count() + kSlack;
}

// Guards against hosts that together send a target more than it names as its limit, however late
// their news is and whatever hosts restart.
RC_GTEST_PROP(LimitModelTest, NineHostsKeepToALimit, (std::uint32_t aSeed, std::uint8_t aTenths))
{
  const RequestRate limit{ static_cast<double>(aTenths) / 10 };
  LimitModel model(Size{ 9, 3 }, limit, aSeed);
  model.Run();
  RC_ASSERT(static_cast<double>(model.MostInWindow()) <= MostAllowed(limit));
}

// As above, and the target is not left alone.
TEST(LimitModelTest, HundredsOfHostsKeepToALimit)
{
  constexpr std::uint32_t kSeeds = 15;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    const RequestRate limit{ 3.5 + seed };
    LimitModel model(Size{ 195, 5 }, limit, seed);
    model.Run();
    EXPECT_LE(static_cast<double>(model.MostInWindow()), MostAllowed(limit)) << "seed " << seed;
    const double counted = std::chrono::duration<double>(kLimitedFor - kNotice).count();
    const double usable = limit.perSecond * counted;
    EXPECT_GE(static_cast<double>(model.arrivals.size()), usable / 2) << "seed " << seed;
  }
}

} // namespace
} // namespace damasklink
