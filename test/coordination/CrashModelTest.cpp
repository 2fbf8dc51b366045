// Entry hosts, control hosts and targets in virtual time; what counts is what reaches the targets.
#include <algorithm>
#include <deque>
#include <optional>
#include <random>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "damasklink/coordination/CrashLedger.h"
#include "damasklink/coordination/CrashWatch.h"

namespace damasklink {
namespace {

using std::chrono::milliseconds;

constexpr Duration kStep = milliseconds(50);
constexpr Duration kDay = std::chrono::seconds(60);
// From the third crash until all hosts must have heard of it, and repeats that may reach targets
// after that.
constexpr Duration kNotice = std::chrono::seconds(3);
constexpr int kMostRepeats = 3;
constexpr Duration kTargetDown = std::chrono::seconds(2);
constexpr Duration kHostDown = std::chrono::seconds(1);

const RequestFingerprint kGuilty(1);
// Equal requests of many callers, under way on every target.
const RequestFingerprint kShared(2);

struct Size
{
  std::size_t entryHosts;
  std::size_t controlHosts;
  std::size_t targets;
};

class CrashModel
{
public:
  CrashModel(const Size& aSize, std::uint32_t aSeed)
    : random(aSeed)
  {
    for (std::size_t index = 0; index < aSize.entryHosts; ++index) {
      this->entries.emplace_back(this->clock).hub = index % aSize.controlHosts;
    }
    for (std::size_t index = 0; index < aSize.controlHosts; ++index) {
      this->controls.emplace_back(this->clock).host = HostId(std::to_string(index));
    }
    this->targets.resize(aSize.targets);
  }

  void Run()
  {
    const MonotonicTime end = this->Now() + kDay;
    while (this->Now() < end) {
      this->clock.Advance(kStep);
      this->Disturb();
      this->SendGuilty();
      this->RunShared();
      this->RepeatStruck();
      this->Deliver();
      this->TellAndDecide();
    }
  }

  int repeatsAfterNotice = 0;
  int sharedRefused = 0;
  int struck = 0;
  int struckRefused = 0;

private:
  struct Entry
  {
    explicit Entry(const Clock& aClock)
      : held(aClock)
    {
    }

    CrashWatch& Watch() { return *this->held; }

    std::optional<CrashWatch> held;
    std::size_t hub = 0;
    MonotonicTime downUntil;
    // Control hosts have told it what they know since it started.
    bool greeted = true;
  };

  struct Control
  {
    explicit Control(const Clock& aClock)
      : held(aClock)
    {
    }

    CrashLedger& Ledger() { return *this->held; }

    HostId host;
    std::optional<CrashLedger> held;
    CrashingRequests told;
    MonotonicTime downUntil;
  };

  struct TargetState
  {
    std::uint64_t start = 1;
    MonotonicTime downUntil;
  };

  // News on its way to a control host, or to an entry host when it holds a word.
  struct Message
  {
    MonotonicTime at;
    std::size_t to = 0;
    LoadReport news;
    bool fromEntry = false;
    std::optional<CrashingRequests> word;
    HostId from;
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
      aMessage.at += milliseconds(this->Draw(1000));
    }
    this->messages.push_back(std::move(aMessage));
  }

  void Disturb()
  {
    if (this->Happens(0.002)) {
      this->RestartControl(this->controls[this->Draw(this->controls.size())]);
    }
    if (this->Happens(0.0005)) {
      for (Control& control : this->controls) {
        this->RestartControl(control);
      }
    }
    if (this->Happens(0.01)) {
      Entry& entry = this->entries[this->Draw(this->entries.size())];
      entry.held.emplace(this->clock);
      entry.downUntil = this->Now() + kHostDown;
      entry.greeted = false;
    }
    if (this->Happens(0.01)) {
      // Several targets end at once for another reason.
      for (int count = 0; count < 4; ++count) {
        this->Crash(this->targets[this->Draw(this->targets.size())], std::nullopt);
      }
    }
  }

  // What it had in memory is gone; the log stays.
  void RestartControl(Control& aControl)
  {
    aControl.held.emplace(this->clock);
    aControl.told = CrashingRequests();
    aControl.downUntil = this->Now() + kHostDown;
    for (Entry& entry : this->entries) {
      entry.Watch().OnLost(aControl.host);
      if (this->controls[entry.hub].host == aControl.host) {
        entry.hub = (entry.hub + 1) % this->controls.size();
        entry.Watch().TellAllAnew();
      }
    }
  }

  void SendGuilty()
  {
    if (!this->Happens(0.15)) {
      return;
    }
    Entry& entry = this->entries[this->Draw(this->entries.size())];
    TargetState& target = this->targets[this->Draw(this->targets.size())];
    const bool relayed =
      this->IsUp(entry) && this->IsUp(target) && !entry.Watch().IsRefused(kGuilty);
    if (!relayed) {
      return;
    }
    const bool inTouch = this->Now() >= entry.downUntil + kNotice;
    if (inTouch && this->thirdCrash && this->Now() > *this->thirdCrash + kNotice) {
      ++this->repeatsAfterNotice;
    }
    if (++this->guiltyCrashes == static_cast<int>(CrashLedger::kCrashesToRefuse)) {
      this->thirdCrash = this->Now();
    }
    this->Crash(target, &entry);
  }

  // Everything that ran on the target is struck at the hosts that sent it.
  void Crash(TargetState& aTarget, std::optional<Entry*> aGuiltyAt)
  {
    if (!this->IsUp(aTarget)) {
      return;
    }
    CrashReport report;
    report.target = TargetId(std::to_string(&aTarget - this->targets.data()));
    report.incarnation = Incarnation(aTarget.start);
    if (aGuiltyAt) {
      report.request = kGuilty;
      (*aGuiltyAt)->Watch().OnCrash(report);
    }
    for (int running = 0; running < 10; ++running) {
      Entry& entry = this->entries[this->Draw(this->entries.size())];
      report.request = running < 3 ? kShared : RequestFingerprint(100 + this->next++);
      if (this->IsUp(entry)) {
        entry.Watch().OnCrash(report);
      }
      if (report.request != kShared) {
        ++this->struck;
        this->waiting.push_back(report.request);
      }
    }
    ++aTarget.start;
    aTarget.downUntil = this->Now() + kTargetDown;
  }

  // Callers of struck requests come again; most of them run well, some are struck again.
  void RepeatStruck()
  {
    for (const RequestFingerprint request : std::exchange(this->waiting, {})) {
      Entry& entry = this->entries[this->Draw(this->entries.size())];
      if (!this->IsUp(entry)) {
        continue;
      }
      if (entry.Watch().IsRefused(request)) {
        ++this->struckRefused;
      } else if (this->Happens(0.1)) {
        const std::size_t target = this->Draw(this->targets.size());
        entry.Watch().OnCrash(CrashReport{ request,
                                           {},
                                           {},
                                           TargetId(std::to_string(target)),
                                           Incarnation(this->targets[target].start) });
        this->waiting.push_back(request);
      } else {
        entry.Watch().OnSound(SuccessfulRun{ request, {} });
      }
    }
  }

  void RunShared()
  {
    for (Entry& entry : this->entries) {
      if (!this->IsUp(entry) || !this->Happens(0.2)) {
        continue;
      }
      if (entry.Watch().IsRefused(kShared)) {
        ++this->sharedRefused;
      } else {
        entry.Watch().OnSound(SuccessfulRun{ kShared, {} });
      }
    }
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
      if (message.word) {
        if (this->IsUp(this->entries[message.to])) {
          this->entries[message.to].Watch().Take(message.from, *message.word);
        }
      } else if (this->IsUp(this->controls[message.to])) {
        this->TakeNews(message);
      }
    }
  }

  void TakeNews(const Message& aMessage)
  {
    CrashLedger& ledger = this->controls[aMessage.to].Ledger();
    ledger.Take(aMessage.news.crashes);
    ledger.TakeSound(aMessage.news.sound);
    for (std::size_t other = 0; aMessage.fromEntry && other < this->controls.size(); ++other) {
      if (other != aMessage.to) {
        this->Post(Message{ {}, other, aMessage.news, false, std::nullopt, {} });
      }
    }
  }

  void Greet(Entry& aEntry)
  {
    aEntry.greeted = true;
    const auto to = static_cast<std::size_t>(
      std::find_if(this->entries.begin(),
                   this->entries.end(),
                   [&](const Entry& aOther) { return &aOther == &aEntry; }) -
      this->entries.begin());
    for (const Control& control : this->controls) {
      if (this->IsUp(control)) {
        this->Post(Message{ {}, to, {}, false, control.told, control.host });
      }
    }
  }

  void TellAndDecide()
  {
    for (Entry& entry : this->entries) {
      if (this->IsUp(entry) && !entry.greeted) {
        this->Greet(entry);
      }
      LoadReport news;
      news.crashes = entry.Watch().TakeReports();
      news.sound = entry.Watch().TakeSound();
      if (this->IsUp(entry) && (!news.crashes.empty() || !news.sound.empty())) {
        this->Post(Message{ {}, entry.hub, std::move(news), true, std::nullopt, {} });
      }
    }
    for (Control& control : this->controls) {
      if (!this->IsUp(control)) {
        continue;
      }
      control.Ledger().SetRefused(this->log.Refused());
      this->Commit(control);
      const CrashingRequests told = control.Ledger().Told();
      if (told != control.told) {
        control.told = told;
        for (std::size_t to = 0; to < this->entries.size(); ++to) {
          this->Post(Message{ {}, to, {}, false, told, control.host });
        }
      }
    }
  }

  // Any control host may lead.
  void Commit(Control& aControl)
  {
    for (const RefuseRequest& refuse : aControl.Ledger().ToRefuse()) {
      this->log.Apply(ApplyContext{}, EncodeServingCommand(refuse));
    }
    for (const ReleaseRequest& release : aControl.Ledger().ToRelease()) {
      this->log.Apply(ApplyContext{}, EncodeServingCommand(release));
    }
  }

  ManualClock clock;
  std::mt19937 random;
  std::deque<Entry> entries;
  std::deque<Control> controls;
  std::vector<TargetState> targets;
  std::vector<Message> messages;
  std::vector<RequestFingerprint> waiting;
  ServingStateMachine log;
  std::uint64_t next = 0;
  int guiltyCrashes = 0;
  std::optional<MonotonicTime> thirdCrash;
};

void
Check(const Size& aSize, std::uint32_t aSeed)
{
  CrashModel model(aSize, aSeed);
  model.Run();
  RC_ASSERT(model.repeatsAfterNotice <= kMostRepeats);
  RC_ASSERT(model.sharedRefused == 0);
  RC_ASSERT(model.struckRefused == 0);
}

// Guards against a request being sent to target after target that it crashes, whatever hosts
// restart and however late their news is, and against the refusal of those that ran beside it.
RC_GTEST_PROP(CrashModelTest, CrashingRequestStopsAtNineHosts, (std::uint32_t aSeed))
{
  Check(Size{ 9, 3, 12 }, aSeed);
}

// As above.
TEST(CrashModelTest, CrashingRequestStopsAtHundredsOfHosts)
{
  constexpr std::uint32_t kSeeds = 15;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    CrashModel model(Size{ 195, 5, 93 }, seed);
    model.Run();
    EXPECT_LE(model.repeatsAfterNotice, kMostRepeats) << "seed " << seed;
    EXPECT_EQ(model.sharedRefused, 0) << "seed " << seed;
    EXPECT_EQ(model.struckRefused, 0) << "seed " << seed << ", struck " << model.struck;
  }
}

} // namespace
} // namespace damasklink
