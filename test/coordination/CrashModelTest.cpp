// Simulates entry hosts, control hosts and targets in virtual time, and counts which requests reach
// the targets.
#include <algorithm>
#include <deque>
#include <optional>
#include <random>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "damasklink/coordination/CrashFilter.h"
#include "damasklink/coordination/CrashRegistry.h"

namespace damasklink {
namespace {

using std::chrono::milliseconds;

constexpr Duration kStep = milliseconds(50);
constexpr Duration kRunTime = std::chrono::seconds(60);
// Time from the third crash until all hosts must know of it, and how many repeats may still reach
// targets after that.
constexpr Duration kDetectionTime = std::chrono::seconds(3);
constexpr int kMaxRepeats = 3;
constexpr Duration kTargetDown = std::chrono::seconds(2);
constexpr Duration kHostDown = std::chrono::seconds(1);

const RequestFingerprint kCrashing(1);
// A request that many callers send, running on every target.
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
    const MonotonicTime end = this->Now() + kRunTime;
    while (this->Now() < end) {
      this->clock.Advance(kStep);
      this->InjectFaults();
      this->SendCrashing();
      this->RunShared();
      this->RepeatInterrupted();
      this->Deliver();
      this->SendReportsAndVerdicts();
    }
  }

  int repeatsAfterDetection = 0;
  int sharedRefused = 0;
  int interrupted = 0;
  int interruptedRefused = 0;

private:
  struct Entry
  {
    explicit Entry(const Clock& aClock)
      : instance(aClock)
    {
    }

    CrashFilter& Filter() { return *this->instance; }

    std::optional<CrashFilter> instance;
    std::size_t hub = 0;
    MonotonicTime downUntil;
    // Whether control hosts have sent it their verdicts since it started.
    bool synced = true;
  };

  struct Control
  {
    explicit Control(const Clock& aClock)
      : instance(aClock)
    {
    }

    CrashRegistry& Registry() { return *this->instance; }

    HostId host;
    std::optional<CrashRegistry> instance;
    CrashingRequests sentVerdicts;
    MonotonicTime downUntil;
  };

  struct TargetState
  {
    std::uint64_t incarnation = 1;
    MonotonicTime downUntil;
  };

  // A message to an entry host if it contains verdicts, else to a control host.
  struct Message
  {
    MonotonicTime at;
    std::size_t to = 0;
    LoadReport report;
    bool fromEntry = false;
    std::optional<CrashingRequests> verdicts;
    HostId from;
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
      aMessage.at += milliseconds(this->RandomIndex(1000));
    }
    this->messages.push_back(std::move(aMessage));
  }

  void InjectFaults()
  {
    if (this->Chance(0.002)) {
      this->RestartControl(this->controls[this->RandomIndex(this->controls.size())]);
    }
    if (this->Chance(0.0005)) {
      for (Control& control : this->controls) {
        this->RestartControl(control);
      }
    }
    if (this->Chance(0.01)) {
      Entry& entry = this->entries[this->RandomIndex(this->entries.size())];
      entry.instance.emplace(this->clock);
      entry.downUntil = this->Now() + kHostDown;
      entry.synced = false;
    }
    if (this->Chance(0.01)) {
      // Several targets crash at once for another reason.
      for (int count = 0; count < 4; ++count) {
        this->Crash(this->targets[this->RandomIndex(this->targets.size())], std::nullopt);
      }
    }
  }

  // Loses the memory of the control host; the replicated log is kept.
  void RestartControl(Control& aControl)
  {
    aControl.instance.emplace(this->clock);
    aControl.sentVerdicts = CrashingRequests();
    aControl.downUntil = this->Now() + kHostDown;
    for (Entry& entry : this->entries) {
      entry.Filter().OnLost(aControl.host);
      if (this->controls[entry.hub].host == aControl.host) {
        entry.hub = (entry.hub + 1) % this->controls.size();
        entry.Filter().ResendAll();
      }
    }
  }

  void SendCrashing()
  {
    if (!this->Chance(0.15)) {
      return;
    }
    Entry& entry = this->entries[this->RandomIndex(this->entries.size())];
    TargetState& target = this->targets[this->RandomIndex(this->targets.size())];
    const bool isSent =
      this->IsUp(entry) && this->IsUp(target) && !entry.Filter().IsRefused(kCrashing);
    if (!isSent) {
      return;
    }
    const bool isInformed = this->Now() >= entry.downUntil + kDetectionTime;
    if (isInformed && this->thirdCrash && this->Now() > *this->thirdCrash + kDetectionTime) {
      ++this->repeatsAfterDetection;
    }
    if (++this->crashes == static_cast<int>(CrashRegistry::kCrashesToRefuse)) {
      this->thirdCrash = this->Now();
    }
    this->Crash(target, &entry);
  }

  // The entry hosts report every request that ran on the target.
  void Crash(TargetState& aTarget, std::optional<Entry*> aSender)
  {
    if (!this->IsUp(aTarget)) {
      return;
    }
    CrashReport report;
    report.target = TargetId(std::to_string(&aTarget - this->targets.data()));
    report.incarnation = Incarnation(aTarget.incarnation);
    if (aSender) {
      report.request = kCrashing;
      (*aSender)->Filter().OnCrash(report);
    }
    for (int running = 0; running < 10; ++running) {
      Entry& entry = this->entries[this->RandomIndex(this->entries.size())];
      report.request = running < 3 ? kShared : RequestFingerprint(100 + this->nextRequest++);
      if (this->IsUp(entry)) {
        entry.Filter().OnCrash(report);
      }
      if (report.request != kShared) {
        ++this->interrupted;
        this->toRepeat.push_back(report.request);
      }
    }
    ++aTarget.incarnation;
    aTarget.downUntil = this->Now() + kTargetDown;
  }

  // Callers repeat the interrupted requests. Most of them run well, some are interrupted again.
  void RepeatInterrupted()
  {
    for (const RequestFingerprint request : std::exchange(this->toRepeat, {})) {
      Entry& entry = this->entries[this->RandomIndex(this->entries.size())];
      if (!this->IsUp(entry)) {
        continue;
      }
      if (entry.Filter().IsRefused(request)) {
        ++this->interruptedRefused;
      } else if (this->Chance(0.1)) {
        const std::size_t target = this->RandomIndex(this->targets.size());
        entry.Filter().OnCrash(CrashReport{ request,
                                            {},
                                            {},
                                            TargetId(std::to_string(target)),
                                            Incarnation(this->targets[target].incarnation) });
        this->toRepeat.push_back(request);
      } else {
        entry.Filter().OnSuccessfulRun(SuccessfulRun{ request, {} });
      }
    }
  }

  void RunShared()
  {
    for (Entry& entry : this->entries) {
      if (!this->IsUp(entry) || !this->Chance(0.2)) {
        continue;
      }
      if (entry.Filter().IsRefused(kShared)) {
        ++this->sharedRefused;
      } else {
        entry.Filter().OnSuccessfulRun(SuccessfulRun{ kShared, {} });
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
      if (message.verdicts) {
        if (this->IsUp(this->entries[message.to])) {
          this->entries[message.to].Filter().SetVerdicts(message.from, *message.verdicts);
        }
      } else if (this->IsUp(this->controls[message.to])) {
        this->TakeReport(message);
      }
    }
  }

  void TakeReport(const Message& aMessage)
  {
    CrashRegistry& registry = this->controls[aMessage.to].Registry();
    registry.Add(aMessage.report.crashes);
    registry.AddSuccessfulRuns(aMessage.report.sound);
    for (std::size_t other = 0; aMessage.fromEntry && other < this->controls.size(); ++other) {
      if (other != aMessage.to) {
        this->Post(Message{ {}, other, aMessage.report, false, std::nullopt, {} });
      }
    }
  }

  void Sync(Entry& aEntry)
  {
    aEntry.synced = true;
    const auto to = static_cast<std::size_t>(
      std::find_if(this->entries.begin(),
                   this->entries.end(),
                   [&](const Entry& aOther) { return &aOther == &aEntry; }) -
      this->entries.begin());
    for (const Control& control : this->controls) {
      if (this->IsUp(control)) {
        this->Post(Message{ {}, to, {}, false, control.sentVerdicts, control.host });
      }
    }
  }

  void SendReportsAndVerdicts()
  {
    for (Entry& entry : this->entries) {
      if (this->IsUp(entry) && !entry.synced) {
        this->Sync(entry);
      }
      LoadReport report;
      report.crashes = entry.Filter().TakeReports();
      report.sound = entry.Filter().TakeSuccessfulRuns();
      if (this->IsUp(entry) && (!report.crashes.empty() || !report.sound.empty())) {
        this->Post(Message{ {}, entry.hub, std::move(report), true, std::nullopt, {} });
      }
    }
    for (Control& control : this->controls) {
      if (!this->IsUp(control)) {
        continue;
      }
      control.Registry().SetRefused(this->log.Refused());
      this->Commit(control);
      const CrashingRequests verdicts = control.Registry().Verdicts();
      if (verdicts != control.sentVerdicts) {
        control.sentVerdicts = verdicts;
        for (std::size_t to = 0; to < this->entries.size(); ++to) {
          this->Post(Message{ {}, to, {}, false, verdicts, control.host });
        }
      }
    }
  }

  // Any control host may be the leader.
  void Commit(Control& aControl)
  {
    for (const RefuseRequest& refuse : aControl.Registry().ToRefuse()) {
      this->log.Apply(ApplyContext{}, EncodeServingCommand(refuse));
    }
    for (const ReleaseRequest& release : aControl.Registry().ToRelease()) {
      this->log.Apply(ApplyContext{}, EncodeServingCommand(release));
    }
  }

  ManualClock clock;
  std::mt19937 random;
  std::deque<Entry> entries;
  std::deque<Control> controls;
  std::vector<TargetState> targets;
  std::vector<Message> messages;
  std::vector<RequestFingerprint> toRepeat;
  ServingStateMachine log;
  std::uint64_t nextRequest = 0;
  int crashes = 0;
  std::optional<MonotonicTime> thirdCrash;
};

void
Check(const Size& aSize, std::uint32_t aSeed)
{
  CrashModel model(aSize, aSeed);
  model.Run();
  RC_ASSERT(model.repeatsAfterDetection <= kMaxRepeats);
  RC_ASSERT(model.sharedRefused == 0);
  RC_ASSERT(model.interruptedRefused == 0);
}

// A request that crashes targets must not be sent to one after another, even when hosts restart and
// messages are late or doubled. Requests that ran on the same targets must not be refused.
RC_GTEST_PROP(CrashModelTest, CrashingRequestStopsAtNineHosts, (std::uint32_t aSeed))
{
  Check(Size{ 9, 3, 12 }, aSeed);
}

// The same with hundreds of hosts.
TEST(CrashModelTest, CrashingRequestStopsAtHundredsOfHosts)
{
  constexpr std::uint32_t kSeeds = 15;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    CrashModel model(Size{ 195, 5, 93 }, seed);
    model.Run();
    EXPECT_LE(model.repeatsAfterDetection, kMaxRepeats) << "seed " << seed;
    EXPECT_EQ(model.sharedRefused, 0) << "seed " << seed;
    EXPECT_EQ(model.interruptedRefused, 0)
      << "seed " << seed << ", interrupted " << model.interrupted;
  }
}

} // namespace
} // namespace damasklink
