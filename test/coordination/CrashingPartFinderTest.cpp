#include "damasklink/coordination/CrashingPartFinder.h"

#include <optional>

#include <gtest/gtest.h>

namespace damasklink {
namespace {

using std::chrono::milliseconds;
using Parts = std::vector<RequestFingerprint>;

const ServiceName kService("s");
// The first part of all prompts, one that crashes targets, and others.
const RequestFingerprint kFirst(1);
const RequestFingerprint kDeadly(2);
const RequestFingerprint kOther(3);
const RequestFingerprint kAnother(4);

class CrashingPartFinderTest : public ::testing::Test
{
protected:
  // A target crashes now; its requests were sent to it some time before.
  void Crash(const std::vector<Parts>& aRequests, Duration aSentAgo = milliseconds(100))
  {
    ++this->crashed;
    for (const Parts& parts : aRequests) {
      CrashReport report;
      report.request = RequestFingerprint(1000 + this->requests++);
      report.workspace = WorkspaceId("w");
      report.service = kService;
      report.target = TargetId(std::to_string(this->crashed));
      report.parts = parts;
      report.sentAgo = aSentAgo;
      this->finder.Add(report);
    }
  }

  void CrashSeveral(std::size_t aCount, const std::vector<Parts>& aRequests)
  {
    for (std::size_t count = 0; count < aCount; ++count) {
      this->clock.Advance(milliseconds(300));
      this->Crash(aRequests);
    }
  }

  void Succeed(RequestFingerprint aPart) { this->finder.AddSuccessfulRun({ aPart, kService }); }

  std::set<RequestFingerprint> Crashing()
  {
    this->finder.Crashing();
    this->clock.Advance(CrashingPartFinder::kSettleTime);
    return this->finder.Crashing();
  }

  ManualClock clock;
  CrashingPartFinder finder{ this->clock };
  std::uint64_t crashed = 0;
  std::uint64_t requests = 0;
};

// Guards against a part that crashes target after target since all requests with it differ.
TEST_F(CrashingPartFinderTest, FindsThePartOfRequestsThatAllDiffer)
{
  this->CrashSeveral(2, { { kFirst, kDeadly } });
  EXPECT_TRUE(this->Crashing().empty());
  EXPECT_EQ(this->finder.Suspects(9).size(), 2U);
  this->CrashSeveral(1, { { kFirst, kDeadly } });
  EXPECT_TRUE(this->finder.Crashing().empty());
  EXPECT_EQ(this->Crashing(), std::set{ kDeadly });
  EXPECT_EQ(this->finder.WorkspaceOf(kDeadly), WorkspaceId("w"));
  EXPECT_TRUE(this->finder.IsExplained(kFirst));
}

// Guards against refusing the parts of sound requests that were running on the same targets.
TEST_F(CrashingPartFinderTest, PartsOfSoundRequestsOnTheSameTargetsAreNotFound)
{
  this->CrashSeveral(1, { { kFirst, kDeadly }, { kFirst, kOther }, { kFirst, kAnother } });
  this->CrashSeveral(1, { { kFirst, kOther }, { kFirst, kDeadly } });
  this->Succeed(kFirst);
  this->CrashSeveral(2, { { kFirst, kOther }, { kFirst, kDeadly } });
  EXPECT_EQ(this->Crashing(), std::set{ kDeadly });
}

TEST_F(CrashingPartFinderTest, SuccessfulRunVoidsEarlierCrashesAtTheService)
{
  this->CrashSeveral(3, { { kFirst, kDeadly } });
  this->finder.AddSuccessfulRun({ kDeadly, ServiceName("another") });
  EXPECT_EQ(this->Crashing(), std::set{ kDeadly });
  this->Succeed(kDeadly);
  this->Succeed(kFirst);
  EXPECT_TRUE(this->Crashing().empty());
  EXPECT_TRUE(this->finder.Suspects(9).empty());
}

// Guards against refusing anything when many targets end at once for another reason.
TEST_F(CrashingPartFinderTest, CrashesAtTheSameTimeAreNotCausedByAPart)
{
  for (int target = 0; target < 30; ++target) {
    this->Crash({ { kFirst, kOther }, { kFirst, kAnother } });
  }
  EXPECT_TRUE(this->Crashing().empty());
  EXPECT_FALSE(this->finder.Suspects(9).empty());
}

// Guards against refusing a common part for good after all targets ended at once two times, with no
// time in between for a prompt to be answered.
TEST_F(CrashingPartFinderTest, TargetsThatEndTogetherTwiceAreNotEndedByAPart)
{
  for (int wave = 0; wave < 2; ++wave) {
    this->clock.Advance(std::chrono::seconds(5));
    for (int target = 0; target < 12; ++target) {
      this->clock.Advance(milliseconds(2));
      this->Crash({ { kFirst, kOther }, { kFirst, kAnother } });
    }
  }
  EXPECT_TRUE(this->Crashing().empty());
}

// A target that fell silent, with requests that were sent to it before and after that.
class SilentTargetTest : public CrashingPartFinderTest
{
protected:
  // Reports a request to target aTarget that was sent at this time after the start of the test.
  void Report(int aTarget,
              const Parts& aParts,
              Duration aSentAt,
              std::optional<Duration> aHeardAt = std::nullopt)
  {
    CrashReport report;
    report.request = RequestFingerprint(1000 + this->requests++);
    report.service = kService;
    report.target = TargetId("silent-" + std::to_string(aTarget));
    report.parts = aParts;
    report.silent = true;
    report.sentAgo = kReportedAt - aSentAt;
    report.brokenAgo = milliseconds(1000);
    if (aHeardAt) {
      report.heardAgo = kReportedAt - *aHeardAt;
    }
    this->finder.Add(report);
  }

  std::set<RequestFingerprint> CrashingLater()
  {
    this->finder.Crashing();
    this->clock.Advance(std::chrono::seconds(1));
    return this->finder.Crashing();
  }

  static constexpr Duration kReportedAt = std::chrono::seconds(9);
};

// Guards against refusing the parts of sound requests that were sent to targets after these had
// crashed without closing their connections.
TEST_F(SilentTargetTest, RequestsThatWereSentAfterItsEndAreNoSuspects)
{
  for (const int target : { 0, 1, 2 }) {
    const Duration crash = milliseconds(500) * target;
    this->Report(target, { kFirst, kDeadly }, crash);
    this->Report(target, { kFirst, kOther }, crash + milliseconds(300));
    this->Report(target, { kFirst, kOther }, crash + milliseconds(400));
  }
  EXPECT_EQ(this->finder.Suspects(9), (std::vector{ kFirst }));
  EXPECT_EQ(this->CrashingLater(), std::set{ kDeadly });
  EXPECT_FALSE(this->finder.IsExplained(kOther));
}

// Guards against passing over the cause because another request had been waiting for longer.
TEST_F(SilentTargetTest, RequestsThatWereSentWhileItWasHeardAreSuspects)
{
  for (const int target : { 0, 1, 2 }) {
    const Duration crash = milliseconds(1000) * target;
    this->Report(target, { kFirst, kOther }, crash - milliseconds(900));
    this->Report(target, { kFirst, kDeadly }, crash, crash);
    this->Report(target, { kFirst, kAnother }, crash + milliseconds(700));
    this->Report(target, { kFirst, kAnother }, crash + milliseconds(1000));
  }
  this->Succeed(kOther);
  EXPECT_EQ(this->CrashingLater(), std::set{ kDeadly });
}

TEST_F(SilentTargetTest, FirstOfSeveralAttemptsIsTheSuspect)
{
  for (const int target : { 0, 1, 2 }) {
    const Duration crash = milliseconds(1000) * target;
    for (const Duration later : { milliseconds(0), milliseconds(600) }) {
      CrashReport report;
      report.request = RequestFingerprint(500 + static_cast<std::uint64_t>(target));
      report.service = kService;
      report.target = TargetId("silent-" + std::to_string(target));
      report.parts = { kFirst, kDeadly };
      report.silent = true;
      report.sentAgo = kReportedAt - crash - later;
      this->finder.Add(report);
    }
    this->Report(target, { kFirst, kOther }, crash + milliseconds(50));
  }
  this->Succeed(kOther);
  EXPECT_EQ(this->CrashingLater(), std::set{ kDeadly });
}

// Hosts find out at different times that targets have ended.
TEST_F(CrashingPartFinderTest, RequestsThatWereSentBeforeTheFirstCrashDoNotCount)
{
  for (int target = 0; target < 6; ++target) {
    this->clock.Advance(milliseconds(100));
    this->Crash({ { kFirst, kOther } }, milliseconds(100) * (target + 2));
  }
  EXPECT_TRUE(this->Crashing().empty());
}

TEST_F(CrashingPartFinderTest, LastRequestWithThePartCounts)
{
  for (int target = 0; target < 3; ++target) {
    this->clock.Advance(milliseconds(300));
    this->Crash({ { kFirst, kDeadly } }, std::chrono::seconds(5));
    --this->crashed;
    this->Crash({ { kFirst, kDeadly } });
  }
  EXPECT_EQ(this->Crashing(), std::set{ kDeadly });
}

TEST_F(CrashingPartFinderTest, AgesOfReportsCount)
{
  for (std::uint64_t target = 0; target < 3; ++target) {
    CrashReport report;
    report.request = RequestFingerprint(100 + target);
    report.service = kService;
    report.target = TargetId(std::to_string(target));
    report.parts = { kDeadly };
    report.brokenAgo = milliseconds(900) - target * milliseconds(300);
    report.sentAgo = report.brokenAgo + milliseconds(100);
    this->finder.Add(report);
  }
  // What is reported late is believed late.
  EXPECT_TRUE(this->Crashing().empty());
  this->clock.Advance(milliseconds(400));
  EXPECT_EQ(this->finder.Crashing(), std::set{ kDeadly });
}

// Guards against a few targets that a frequent part crashes all at once, again and again.
TEST_F(CrashingPartFinderTest, CrashesInTwoWavesAreEnough)
{
  for (int wave = 0; wave < 2; ++wave) {
    EXPECT_TRUE(this->Crashing().empty());
    this->clock.Advance(std::chrono::seconds(2));
    for (int target = 0; target < 3; ++target) {
      this->Crash({ { kFirst, kDeadly } });
    }
  }
  EXPECT_EQ(this->Crashing(), std::set{ kDeadly });
}

// Guards against refusing all requests of a caller for a part in some of them.
TEST_F(CrashingPartFinderTest, OfTwoPartsInTheSameCrashesTheLaterOneIsTheCause)
{
  this->CrashSeveral(4, { { kFirst, kOther, kDeadly } });
  EXPECT_EQ(this->Crashing(), std::set{ kDeadly });
}

TEST_F(CrashingPartFinderTest, PartBeforeOthersIsFoundByItsOtherCrashes)
{
  this->CrashSeveral(3, { { kDeadly, kOther } });
  EXPECT_EQ(this->Crashing(), std::set{ kOther });
  this->CrashSeveral(2, { { kDeadly, kAnother } });
  EXPECT_EQ(this->Crashing(), std::set{ kDeadly });
  EXPECT_TRUE(this->finder.IsExplained(kOther));
}

TEST_F(CrashingPartFinderTest, OneMoreCrashOfTheFirstPartDoesNotMakeItTheCause)
{
  this->CrashSeveral(1, { { kFirst, kAnother } });
  this->CrashSeveral(3, { { kFirst, kDeadly } });
  EXPECT_EQ(this->Crashing(), std::set{ kDeadly });
}

TEST_F(CrashingPartFinderTest, PartThatWasAnsweredOnceMustCrashMoreTargets)
{
  this->CrashSeveral(1, { { kOther } });
  this->Succeed(kOther);
  this->CrashSeveral(CrashingPartFinder::kCrashesAfterSuccess - 1, { { kOther } });
  EXPECT_TRUE(this->Crashing().empty());
  this->CrashSeveral(1, { { kOther } });
  EXPECT_EQ(this->Crashing(), std::set{ kOther });
}

TEST_F(CrashingPartFinderTest, FindsTwoPartsAtATime)
{
  for (int turn = 0; turn < 3; ++turn) {
    this->CrashSeveral(1, { { kFirst, kDeadly } });
    this->CrashSeveral(1, { { kFirst, kAnother } });
  }
  this->Succeed(kFirst);
  EXPECT_EQ(this->Crashing(), (std::set{ kDeadly, kAnother }));
}

TEST_F(CrashingPartFinderTest, CrashReportedBySeveralHostsCountsOnce)
{
  this->CrashSeveral(2, { { kDeadly } });
  CrashReport report = this->finder.All().front();
  this->clock.Advance(milliseconds(300));
  report.brokenAgo += milliseconds(300);
  report.sentAgo += milliseconds(300);
  this->finder.Add(report);
  report.request = RequestFingerprint(5000);
  this->finder.Add(report);
  EXPECT_TRUE(this->Crashing().empty());
}

TEST_F(CrashingPartFinderTest, ForgottenPartStartsFromZero)
{
  this->CrashSeveral(3, { { kDeadly } });
  this->finder.Forget(kDeadly);
  EXPECT_TRUE(this->Crashing().empty());
  this->CrashSeveral(2, { { kDeadly } });
  EXPECT_TRUE(this->Crashing().empty());
}

TEST_F(CrashingPartFinderTest, ReportsOfAllRestoreAnotherControlHost)
{
  this->CrashSeveral(3, { { kFirst, kDeadly }, { kFirst, kOther } });
  this->clock.Advance(milliseconds(700));
  CrashingPartFinder other(this->clock);
  for (const CrashReport& report : this->finder.All()) {
    other.Add(report);
  }
  other.AddSuccessfulRun({ kFirst, kService });
  other.AddSuccessfulRun({ kOther, kService });
  other.Crashing();
  // As long as the first crash was ago.
  this->clock.Advance(milliseconds(1300));
  EXPECT_EQ(other.Crashing(), std::set{ kDeadly });
}

TEST_F(CrashingPartFinderTest, IsBounded)
{
  for (std::size_t crash = 0; crash < 2 * CrashingPartFinder::kMaxCrashes; ++crash) {
    this->clock.Advance(milliseconds(1));
    this->Crash({ { RequestFingerprint(10 + crash) } });
  }
  EXPECT_EQ(this->finder.All().size(), CrashingPartFinder::kMaxCrashes);
  this->Crash(std::vector<Parts>(2 * CrashingPartFinder::kMaxReportsPerCrash, Parts{ kOther }));
  EXPECT_EQ(this->finder.All().size(),
            CrashingPartFinder::kMaxCrashes - 1 + CrashingPartFinder::kMaxReportsPerCrash);
}

TEST_F(CrashingPartFinderTest, ReportsWithoutPartsAreIgnored)
{
  this->CrashSeveral(3, { {} });
  EXPECT_TRUE(this->finder.All().empty());
}

} // namespace
} // namespace damasklink
