// Simulates entry hosts, control hosts and targets in virtual time. Requests with one part of their
// prompts in common crash each target that answers them. Counts those that reach targets, and the
// sound requests that begin.
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include <gtest/gtest.h>

#include "damasklink/coordination/CrashFilter.h"
#include "damasklink/coordination/CrashRegistry.h"
#include "support/EventQueue.h"

namespace damasklink {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kReportInterval = milliseconds(100);
constexpr Duration kSumInterval = milliseconds(50);
constexpr Duration kPublishInterval = milliseconds(100);
constexpr std::size_t kLinks = 3;
constexpr Duration kRunTime = milliseconds(400);
constexpr Duration kTargetDown = seconds(2);
constexpr Duration kTargetDetected = milliseconds(50);
constexpr Duration kHostDown = seconds(1);
constexpr int kMaxSends = 2;
// The deadly requests come from then on, and end when the run does.
constexpr Duration kDeadlyFrom = seconds(8);
constexpr Duration kRunFor = seconds(26);
constexpr int kCrashesToJudge = 5;
// What the users allow.
constexpr int kMaxSent = 3;
constexpr double kMinShare = 0.5;
// Fewer sound requests say nothing of their share.
constexpr int kMinAsked = 20;

const ServiceName kService("lm");
const RequestFingerprint kFirstPart(1);
const RequestFingerprint kDeadlyPart(2);
constexpr std::uint64_t kOtherParts = 8;

struct Case
{
  std::size_t entryHosts;
  std::size_t controlHosts;
  std::size_t targets;
  // Of all hosts together.
  double deadlyPerSecond;
  double soundPerSecond;
  // From the fifth crash until all hosts must know of the part.
  Duration contact;
  // Targets that crash at once for another reason, now and then.
  double massCrashShare = 0;
  bool killsControlHosts = false;
};

class CrashingPartModel
{
public:
  CrashingPartModel(const Case& aCase, std::uint32_t aSeed)
    : parameters(aCase)
    , random(aSeed)
  {
    for (std::size_t index = 0; index < aCase.controlHosts; ++index) {
      Control& control = this->controls.emplace_back();
      control.host = HostId(std::to_string(index));
      control.registry.emplace(this->clock);
    }
    for (std::size_t index = 0; index < aCase.entryHosts; ++index) {
      this->entries.push_back(std::make_unique<CrashFilter>(this->clock));
    }
    this->targets.resize(aCase.targets);
  }

  void Run()
  {
    this->clock.Advance(seconds(1));
    const MonotonicTime end = this->Now() + kRunFor;
    for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
      this->Repeat(kReportInterval, [this, entry] { this->Report(entry); });
    }
    for (Control& control : this->controls) {
      this->Repeat(kSumInterval, [this, &control] { this->PublishReports(control); });
      this->Repeat(kPublishInterval, [this, &control] { this->PublishVerdicts(control); });
    }
    this->Arrive(this->parameters.soundPerSecond, [this] { this->BeginSound(); });
    if (this->parameters.deadlyPerSecond > 0) {
      this->events.After(kDeadlyFrom, [this] {
        this->Arrive(this->parameters.deadlyPerSecond, [this] { this->BeginDeadly(); });
      });
    }
    if (this->parameters.massCrashShare > 0) {
      this->Repeat(seconds(5), [this] { this->CrashMany(); });
    }
    if (this->parameters.killsControlHosts) {
      this->Repeat(seconds(6), [this] { this->KillControl(); });
    }
    this->events.RunUntil(end);
  }

  int crashes = 0;
  int sentAfterNotice = 0;
  int soundRefused = 0;
  int calmAsked = 0;
  int calmBegun = 0;
  int laterAsked = 0;
  int laterBegun = 0;

private:
  struct Control
  {
    HostId host;
    std::optional<CrashRegistry> registry;
    CrashingRequests published;
    std::vector<std::pair<CrashReport, MonotonicTime>> heldCrashes;
    std::vector<SuccessfulRun> heldRuns;
    MonotonicTime downUntil;
  };

  struct Call
  {
    std::size_t entry = 0;
    RequestFingerprint request;
    std::vector<RequestFingerprint> parts;
    bool deadly = false;
    // Whether it is counted among the sound calls of a phase.
    bool calm = false;
    bool later = false;
    bool begun = false;
    int sends = 0;
  };

  using CallPtr = std::shared_ptr<Call>;

  struct Running
  {
    CallPtr call;
    MonotonicTime sentAt;
  };

  struct TargetState
  {
    std::uint64_t incarnation = 1;
    MonotonicTime downUntil;
    std::vector<Running> running;
  };

  MonotonicTime Now() const { return this->clock.MonotonicNow(); }
  std::size_t RandomIndex(std::size_t aCount) { return this->random() % aCount; }
  Duration RandomTime(Duration aMost)
  {
    return milliseconds(this->random() % std::max<std::int64_t>(aMost / milliseconds(1), 1));
  }

  void Repeat(Duration aInterval, std::function<void()> aRun)
  {
    this->events.After(this->RandomTime(aInterval) + milliseconds(1),
                       [this, aInterval, aRun] { this->Again(aInterval, aRun); });
  }

  void Again(Duration aInterval, const std::function<void()>& aRun)
  {
    aRun();
    this->events.After(aInterval, [this, aInterval, aRun] { this->Again(aInterval, aRun); });
  }

  void Arrive(double aPerSecond, const std::function<void()>& aRun)
  {
    std::exponential_distribution<double> pause(aPerSecond);
    const std::chrono::duration<double> next(pause(this->random));
    this->events.After(std::chrono::duration_cast<Duration>(next), [this, aPerSecond, aRun] {
      aRun();
      this->Arrive(aPerSecond, aRun);
    });
  }

  Duration MessageDelay() { return milliseconds(2) + this->RandomTime(milliseconds(30)); }

  bool IsDown(const Control& aControl) const { return this->Now() < aControl.downUntil; }

  CallPtr MakeCall(RequestFingerprint aPart)
  {
    const auto call = std::make_shared<Call>();
    call->entry = this->RandomIndex(this->entries.size());
    call->request = RequestFingerprint(1000 + this->nextRequest++);
    call->parts = { kFirstPart, aPart };
    return call;
  }

  void BeginSound()
  {
    const CallPtr call = this->MakeCall(RequestFingerprint(100 + this->RandomIndex(kOtherParts)));
    call->calm = this->crashes == 0;
    call->later =
      this->crashes > 0 && this->Now() > this->lastJudgedCrash + 2 * this->parameters.contact;
    this->calmAsked += call->calm ? 1 : 0;
    this->laterAsked += call->later ? 1 : 0;
    this->Send(call);
  }

  void BeginDeadly()
  {
    const CallPtr call = this->MakeCall(kDeadlyPart);
    call->deadly = true;
    this->Send(call);
  }

  bool IsRefused(const Call& aCall)
  {
    const CrashFilter& filter = *this->entries[aCall.entry];
    return filter.IsActive() &&
           (filter.IsRefused(aCall.request) ||
            std::any_of(aCall.parts.begin(), aCall.parts.end(), [&](RequestFingerprint aPart) {
              return filter.IsRefused(aPart);
            }));
  }

  // Sends the call to a random target that is up.
  void Send(const CallPtr& aCall)
  {
    if (this->IsRefused(*aCall)) {
      this->soundRefused += aCall->deadly ? 0 : 1;
      return;
    }
    const std::size_t index = this->RandomIndex(this->targets.size());
    TargetState& target = this->targets[index];
    ++aCall->sends;
    if (this->Now() < target.downUntil) {
      if (aCall->sends < kMaxSends) {
        this->events.After(milliseconds(5), [this, aCall] { this->Send(aCall); });
      }
      return;
    }
    target.running.push_back(Running{ aCall, this->Now() });
    const std::uint64_t incarnation = target.incarnation;
    if (aCall->deadly) {
      const bool isLate = this->crashes >= kCrashesToJudge &&
                          this->Now() > this->lastJudgedCrash + this->parameters.contact;
      this->sentAfterNotice += isLate ? 1 : 0;
      this->events.After(milliseconds(30) + this->RandomTime(milliseconds(150)),
                         [this, index, incarnation] {
                           if (this->targets[index].incarnation == incarnation) {
                             this->CountCrash();
                             this->Crash(index);
                           }
                         });
      return;
    }
    this->events.After(milliseconds(60), [this, aCall, index, incarnation] {
      if (this->targets[index].incarnation == incarnation) {
        this->calmBegun += aCall->calm && !aCall->begun ? 1 : 0;
        this->laterBegun += aCall->later && !aCall->begun ? 1 : 0;
        aCall->begun = true;
      }
    });
    this->events.After(kRunTime, [this, aCall, index, incarnation] {
      if (this->targets[index].incarnation == incarnation) {
        this->End(aCall, this->targets[index]);
      }
    });
  }

  void End(const CallPtr& aCall, TargetState& aTarget)
  {
    std::erase_if(aTarget.running, [&](const Running& aOther) { return aOther.call == aCall; });
    CrashFilter& filter = *this->entries[aCall->entry];
    if (!filter.IsActive()) {
      return;
    }
    filter.OnSuccessfulRun(SuccessfulRun{ aCall->request, kService });
    for (const RequestFingerprint part : aCall->parts) {
      filter.OnSuccessfulPart(SuccessfulRun{ part, kService });
    }
  }

  void CountCrash()
  {
    if (++this->crashes <= kCrashesToJudge) {
      this->lastJudgedCrash = this->Now();
    }
  }

  // Each host learns some time later that its requests broke off and the target has ended.
  void Crash(std::size_t aIndex)
  {
    TargetState& target = this->targets[aIndex];
    for (const Running& running : std::exchange(target.running, {})) {
      CrashReport report;
      report.request = running.call->request;
      report.service = kService;
      report.target = TargetId(std::to_string(aIndex));
      report.incarnation = Incarnation(target.incarnation);
      report.parts = running.call->parts;
      report.sentAgo = this->Now() - running.sentAt;
      const Duration delay = this->RandomTime(kTargetDetected);
      this->events.After(delay, [this, call = running.call, report, delay] {
        this->entries[call->entry]->OnCrash(report.Aged(delay));
        if (call->sends < kMaxSends) {
          this->Send(call);
        }
      });
    }
    ++target.incarnation;
    target.downUntil = this->Now() + kTargetDown;
  }

  void CrashMany()
  {
    const auto count = static_cast<std::size_t>(this->parameters.massCrashShare *
                                                static_cast<double>(this->targets.size()));
    for (std::size_t number = 0; number < count; ++number) {
      const std::size_t index = this->RandomIndex(this->targets.size());
      if (this->Now() >= this->targets[index].downUntil) {
        this->Crash(index);
      }
    }
  }

  void KillControl()
  {
    Control& control = this->controls[this->RandomIndex(this->controls.size())];
    control.registry.emplace(this->clock);
    control.published = CrashingRequests();
    control.heldCrashes.clear();
    control.heldRuns.clear();
    control.downUntil = this->Now() + kHostDown;
    for (const std::unique_ptr<CrashFilter>& entry : this->entries) {
      entry->OnLost(control.host);
      entry->ResendAll();
    }
    this->events.After(kHostDown, [this, &control] {
      for (Control& other : this->controls) {
        if (&other != &control && !this->IsDown(other)) {
          control.registry->Add(other.registry->All());
        }
      }
    });
  }

  std::size_t HubOf(std::size_t aEntry)
  {
    for (std::size_t link = 0; link < kLinks; ++link) {
      const std::size_t index = (aEntry + link) % this->controls.size();
      if (!this->IsDown(this->controls[index])) {
        return index;
      }
    }
    return aEntry % this->controls.size();
  }

  void Report(std::size_t aEntry)
  {
    const std::vector<CrashReport> reports = this->entries[aEntry]->TakeReports();
    const std::vector<SuccessfulRun> runs = this->entries[aEntry]->TakeSuccessfulRuns();
    if (reports.empty() && runs.empty()) {
      return;
    }
    Control& hub = this->controls[this->HubOf(aEntry)];
    this->events.After(this->MessageDelay(), [this, &hub, reports, runs] {
      if (this->IsDown(hub)) {
        return;
      }
      hub.registry->Add(reports);
      hub.registry->AddSuccessfulRuns(runs);
      for (const CrashReport& report : reports) {
        hub.heldCrashes.emplace_back(report, this->Now());
      }
      hub.heldRuns.insert(hub.heldRuns.end(), runs.begin(), runs.end());
    });
  }

  void PublishReports(Control& aControl)
  {
    std::vector<CrashReport> reports;
    for (const auto& [report, since] : std::exchange(aControl.heldCrashes, {})) {
      reports.push_back(report.Aged(this->Now() - since));
    }
    const std::vector<SuccessfulRun> runs = std::exchange(aControl.heldRuns, {});
    if (reports.empty() && runs.empty()) {
      return;
    }
    for (Control& other : this->controls) {
      if (&other != &aControl) {
        this->events.After(this->MessageDelay(), [this, &other, reports, runs] {
          if (!this->IsDown(other)) {
            other.registry->Add(reports);
            other.registry->AddSuccessfulRuns(runs);
          }
        });
      }
    }
  }

  void PublishVerdicts(Control& aControl)
  {
    if (this->IsDown(aControl)) {
      return;
    }
    const CrashingRequests verdicts = aControl.registry->Verdicts();
    if (verdicts == aControl.published) {
      return;
    }
    aControl.published = verdicts;
    const auto self = static_cast<std::size_t>(std::stoul(aControl.host.Value()));
    for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
      const std::size_t distance =
        (self + this->controls.size() - entry % this->controls.size()) % this->controls.size();
      if (distance < kLinks) {
        this->events.After(this->MessageDelay(), [this, entry, verdicts, host = aControl.host] {
          this->entries[entry]->SetVerdicts(host, verdicts);
        });
      }
    }
  }

  Case parameters;
  std::mt19937 random;
  ManualClock clock;
  testing::EventQueue events{ this->clock };
  std::deque<Control> controls;
  std::vector<std::unique_ptr<CrashFilter>> entries;
  std::vector<TargetState> targets;
  std::uint64_t nextRequest = 0;
  // The fifth crash, or the last one if there were fewer.
  MonotonicTime lastJudgedCrash;
};

void
ExpectFound(const Case& aCase, int aSeeds)
{
  for (int seed = 1; seed <= aSeeds; ++seed) {
    CrashingPartModel model(aCase, static_cast<std::uint32_t>(seed));
    model.Run();
    const std::string name = std::to_string(aCase.deadlyPerSecond) + " deadly a second, " +
                             std::to_string(aCase.soundPerSecond) + " sound, mass crashes " +
                             std::to_string(aCase.massCrashShare) + ", seed " +
                             std::to_string(seed) + ", crashes " + std::to_string(model.crashes);
    EXPECT_LE(model.sentAfterNotice, kMaxSent) << name;
    const double calm = model.calmBegun / std::max(1.0, 1.0 * model.calmAsked);
    const double later = model.laterBegun / std::max(1.0, 1.0 * model.laterAsked);
    if (model.laterAsked >= kMinAsked) {
      EXPECT_GE(later, kMinShare * calm) << name;
    }
    if (aCase.deadlyPerSecond == 0) {
      EXPECT_EQ(model.soundRefused, 0) << name;
    }
  }
}

// Guards against a part of prompts that crashes target after target, and against refusing sound
// requests for it, at any size of a deployment and at low and high rates.
TEST(CrashingPartModelTest, PartIsRefusedAt9Hosts)
{
  for (const double deadly : { 1.0, 4.0, 20.0, 50.0 }) {
    for (const double sound : { 1.0, 10.0, 100.0 }) {
      ExpectFound(Case{ 9, 3, 12, deadly, sound, seconds(3) }, 5);
    }
  }
}

TEST(CrashingPartModelTest, PartIsRefusedBesideMassCrashesAt9Hosts)
{
  for (const double deadly : { 1.0, 4.0, 20.0 }) {
    for (const double sound : { 10.0, 100.0 }) {
      ExpectFound(Case{ 9, 3, 12, deadly, sound, seconds(3), 0.3 }, 5);
    }
  }
}

TEST(CrashingPartModelTest, PartIsRefusedWhileControlHostsEndAt9Hosts)
{
  ExpectFound(Case{ 9, 3, 12, 4, 50, seconds(3), 0, true }, 10);
}

// Guards against refusing anything when many targets end at once for another reason.
TEST(CrashingPartModelTest, MassCrashesHaveNothingRefused)
{
  for (const double sound : { 1.0, 10.0, 100.0 }) {
    ExpectFound(Case{ 9, 3, 12, 0, sound, seconds(3), 0.5 }, 10);
  }
  ExpectFound(Case{ 72, 8, 60, 0, 400, seconds(4), 0.5 }, 3);
}

TEST(CrashingPartModelTest, PartIsRefusedAt72Hosts)
{
  for (const double deadly : { 1.0, 50.0 }) {
    for (const double sound : { 10.0, 400.0 }) {
      ExpectFound(Case{ 72, 8, 60, deadly, sound, seconds(4), 0.2 }, 3);
    }
  }
}

TEST(CrashingPartModelTest, PartIsRefusedAt985Hosts)
{
  for (const double deadly : { 1.0, 50.0 }) {
    ExpectFound(Case{ 985, 25, 9697, deadly, 1200, seconds(6), 0.05 }, 1);
  }
}

} // namespace
} // namespace damasklink
