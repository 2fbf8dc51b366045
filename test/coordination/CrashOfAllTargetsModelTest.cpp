// Simulates hosts in virtual time while a request ends all targets of a service, so that each host
// reaches none of them and takes itself to be cut off, or while hosts are cut off.
#include <algorithm>
#include <deque>
#include <random>
#include <string>

#include <gtest/gtest.h>

#include "damasklink/coordination/CrashFilter.h"
#include "damasklink/coordination/CrashRegistry.h"
#include "damasklink/coordination/InterruptedRequests.h"
#include "damasklink/coordination/UnconfirmedCrashReports.h"

namespace damasklink {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(10);
constexpr Duration kProofTime = milliseconds(300);
constexpr Duration kCutTime = milliseconds(1500);
constexpr std::size_t kHosts = 5;
constexpr std::size_t kTargets = 3;
constexpr int kMaxLateRepeats = 3;

const ServiceName kService("app");
const RequestFingerprint kCrashing(1);
// A request that many callers send.
const RequestFingerprint kShared(2);
// A request that is in progress at each host that is cut off, and that no other host sends.
const RequestFingerprint kOfCutHosts(3);

class AllTargetsModel
{
public:
  explicit AllTargetsModel(std::uint32_t aSeed)
    : random(aSeed)
  {
    for (std::size_t index = 0; index < kHosts; ++index) {
      this->hosts.emplace_back(this->clock);
    }
    this->targets.resize(kTargets);
  }

  // The request is repeated at changing hosts.
  void RunCrashing()
  {
    for (int step = 0; step < 2000; ++step) {
      if (step % 25 == 0) {
        this->SendCrashing();
      }
      this->Step(step);
    }
  }

  // Now and then one host is cut off. All targets go on.
  void RunCuts()
  {
    for (int step = 0; step < 6000; ++step) {
      if (step % 300 == 0) {
        Host& host = this->AnyHost();
        host.cutUntil = this->Now() + kCutTime;
        this->Break(host, kOfCutHosts, this->targets[this->random() % kTargets]);
      }
      this->Step(step);
    }
  }

  bool IsAccused(RequestFingerprint aRequest) const
  {
    const CrashingRequests verdicts = this->registry.Verdicts();
    return verdicts.refused.contains(aRequest) || verdicts.suspected.contains(aRequest);
  }

  int lateRepeats = 0;
  int crashes = 0;
  int sharedRefused = 0;

private:
  struct Target
  {
    std::uint64_t incarnation = 1;
    bool up = true;
    MonotonicTime startsAt;
  };

  // An answer broke off; the connections to the target prove its end at the given time.
  struct Proof
  {
    MonotonicTime at;
    CrashReport report;
  };

  struct Host
  {
    explicit Host(const Clock& aClock)
      : paths(aClock)
      , unconfirmed(aClock, paths)
      , interrupted(aClock)
      , filter(aClock)
    {
    }

    ServiceReachability paths;
    UnconfirmedCrashReports unconfirmed;
    InterruptedRequests interrupted;
    CrashFilter filter;
    std::deque<Proof> proofs;
    MonotonicTime cutUntil;
  };

  struct Start
  {
    MonotonicTime heardAt;
    Host* host;
    TargetRecord record;
  };

  MonotonicTime Now() const { return this->clock.MonotonicNow(); }
  Host& AnyHost() { return this->hosts[this->random() % this->hosts.size()]; }
  bool Reaches(const Host& aHost) const { return this->Now() >= aHost.cutUntil; }

  TargetRecord RecordOf(const Target& aTarget) const
  {
    TargetRecord record;
    const auto index = static_cast<std::size_t>(&aTarget - this->targets.data());
    record.id = TargetId(std::to_string(index));
    record.incarnation = Incarnation(aTarget.incarnation);
    record.endpoint = Endpoint{ "10.1.0." + record.id.Value(), 8080 };
    record.service = kService;
    return record;
  }

  void Break(Host& aHost, RequestFingerprint aRequest, const Target& aTarget)
  {
    const TargetRecord record = this->RecordOf(aTarget);
    const CrashReport report{ aRequest, WorkspaceId("w"), kService, record.id, record.incarnation };
    aHost.interrupted.Add(report, record.endpoint);
    if (aHost.paths.IsUnreachable(kService)) {
      aHost.interrupted.OnServiceUnreachable(kService);
    } else {
      aHost.proofs.push_back(Proof{ this->Now() + kProofTime, report });
      this->Probe(aHost);
    }
  }

  Target* AnyTarget()
  {
    std::vector<Target*> up;
    for (Target& target : this->targets) {
      if (target.up) {
        up.push_back(&target);
      }
    }
    return up.empty() ? nullptr : up[this->random() % up.size()];
  }

  void SendCrashing()
  {
    Host& host = this->AnyHost();
    Target* target = this->AnyTarget();
    if (target == nullptr || host.filter.IsRefused(kCrashing)) {
      return;
    }
    if (this->crashes >= 3 && this->Now() > this->thirdCrash + seconds(3)) {
      ++this->lateRepeats;
    }
    if (++this->crashes == 3) {
      this->thirdCrash = this->Now();
    }
    target->up = false;
    target->startsAt = this->Now() + milliseconds(1000 + this->random() % 1000);
    this->Break(host, kCrashing, *target);
    this->Break(this->AnyHost(), kShared, *target);
    this->Break(this->AnyHost(), kShared, *target);
  }

  void RunShared()
  {
    Host& host = this->AnyHost();
    if (host.filter.IsRefused(kShared)) {
      ++this->sharedRefused;
    } else if (this->AnyTarget() != nullptr && this->Reaches(host)) {
      host.paths.OnBytes(kService);
      if (host.filter.IsActive() || !host.interrupted.IsEmpty()) {
        host.interrupted.OnSuccessfulRun(SuccessfulRun{ kShared, kService });
        host.filter.OnSuccessfulRun(SuccessfulRun{ kShared, kService });
      }
    }
  }

  void StartTargets()
  {
    for (Target& target : this->targets) {
      if (target.up || this->Now() < target.startsAt) {
        continue;
      }
      target.up = true;
      ++target.incarnation;
      for (Host& host : this->hosts) {
        const Duration delay = milliseconds(100 + this->random() % 300);
        this->starts.push_back(Start{ this->Now() + delay, &host, this->RecordOf(target) });
      }
    }
    std::erase_if(this->starts, [&](const Start& aStart) {
      const bool isDue = aStart.heardAt <= this->Now();
      if (isDue) {
        for (CrashReport& report : aStart.host->interrupted.TakeConfirmedByStart(aStart.record)) {
          aStart.host->filter.OnCrash(std::move(report));
        }
      }
      return isDue;
    });
  }

  void Probe(Host& aHost)
  {
    if (aHost.paths.BeginProbe(kService)) {
      const bool reached = this->Reaches(aHost) && this->AnyTarget() != nullptr;
      if (aHost.paths.EndProbe(kService, reached) == ReachabilityChange::Lost) {
        aHost.interrupted.OnServiceUnreachable(kService);
      }
    }
  }

  void CheckPaths(Host& aHost)
  {
    while (!aHost.proofs.empty() && aHost.proofs.front().at <= this->Now()) {
      const TargetId target = aHost.proofs.front().report.target;
      const Endpoint address{ "10.1.0." + target.Value(), 8080 };
      const bool refused = !this->Reaches(aHost) || !this->targets[std::stoul(target.Value())].up;
      if (refused) {
        aHost.unconfirmed.Add(aHost.proofs.front().report.Aged(kProofTime), address);
        this->Probe(aHost);
      }
      aHost.proofs.pop_front();
    }
    if (!aHost.paths.DueForProbe().empty()) {
      this->Probe(aHost);
    }
    for (UnconfirmedCrashReports::Entry& entry : aHost.unconfirmed.TakeUnreachable()) {
      aHost.interrupted.Add(std::move(entry.report), entry.address);
      aHost.interrupted.OnServiceUnreachable(kService);
    }
    for (CrashReport& report : aHost.unconfirmed.TakeConfirmed()) {
      aHost.filter.OnCrash(std::move(report));
    }
  }

  void Step(int aStep)
  {
    this->clock.Advance(kStep);
    this->StartTargets();
    if (aStep % 5 == 0) {
      this->RunShared();
    }
    for (Host& host : this->hosts) {
      if (aStep % 5 == 0) {
        this->CheckPaths(host);
      }
      if (aStep % 10 == 0) {
        this->registry.Add(host.filter.TakeReports());
        this->registry.AddSuccessfulRuns(host.filter.TakeSuccessfulRuns());
      }
    }
    if (aStep % 10 == 5) {
      for (Host& host : this->hosts) {
        host.filter.SetVerdicts(HostId("control"), this->registry.Verdicts());
      }
    }
  }

  ManualClock clock;
  std::mt19937 random;
  std::deque<Host> hosts;
  std::vector<Target> targets;
  std::deque<Start> starts;
  CrashRegistry registry{ this->clock };
  MonotonicTime thirdCrash;
};

constexpr std::uint32_t kSeeds = 200;

// Guards against a request that is sent on because its crashes leave no target to be reached.
TEST(CrashOfAllTargetsModelTest, RequestThatEndsAllTargetsIsRefused)
{
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    AllTargetsModel model(seed);
    model.RunCrashing();
    EXPECT_LE(model.lateRepeats, kMaxLateRepeats) << "seed " << seed << ", " << model.crashes;
    EXPECT_EQ(model.sharedRefused, 0) << "seed " << seed;
  }
}

TEST(CrashOfAllTargetsModelTest, HostsThatAreCutOffAccuseNothing)
{
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    AllTargetsModel model(seed);
    model.RunCuts();
    EXPECT_FALSE(model.IsAccused(kOfCutHosts)) << "seed " << seed;
    EXPECT_FALSE(model.IsAccused(kShared)) << "seed " << seed;
  }
}

} // namespace
} // namespace damasklink
