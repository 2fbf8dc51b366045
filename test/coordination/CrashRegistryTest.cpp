#include "damasklink/coordination/CrashRegistry.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

const RequestFingerprint kRequest(7);
const WorkspaceId kWorkspace("w");
const ServiceName kService("s");
const SuccessfulRun kSuccessfulRun{ kRequest, kService };

CrashReport
Crash(const std::string& aTarget,
      RequestFingerprint aRequest = kRequest,
      std::uint64_t aIncarnation = 1)
{
  return CrashReport{
    aRequest, kWorkspace, kService, TargetId(aTarget), Incarnation(aIncarnation)
  };
}

class CrashRegistryTest : public testing::Test
{
protected:
  bool IsRefused() const { return this->registry.Verdicts().refused.contains(kRequest); }

  void PassSettleTime() { this->clock.Advance(CrashRegistry::kSettleTime); }

  ManualClock clock;
  CrashRegistry registry{ this->clock };
};

TEST_F(CrashRegistryTest, RefusesRequestAfterThreeCrashesAndTheSettleTime)
{
  this->registry.Add({ Crash("a"), Crash("b") });
  this->PassSettleTime();
  EXPECT_FALSE(this->IsRefused());
  EXPECT_TRUE(this->registry.Verdicts().suspected.contains(kRequest));
  this->registry.Add({ Crash("c") });
  EXPECT_FALSE(this->IsRefused());
  this->PassSettleTime();
  EXPECT_TRUE(this->IsRefused());
  ASSERT_EQ(this->registry.ToRefuse().size(), 1U);
  EXPECT_EQ(this->registry.ToRefuse()[0].facts.workspace, kWorkspace);
}

TEST_F(CrashRegistryTest, CrashReportedBySeveralHostsCountsOnce)
{
  this->registry.Add({ Crash("a"), Crash("a"), Crash("b") });
  this->registry.Add({ Crash("b"), Crash("a") });
  this->PassSettleTime();
  EXPECT_FALSE(this->IsRefused());
}

TEST_F(CrashRegistryTest, IncarnationsOfOneTargetCountSeparately)
{
  this->registry.Add({ Crash("a", kRequest, 1), Crash("a", kRequest, 2), Crash("a", kRequest, 3) });
  this->PassSettleTime();
  EXPECT_TRUE(this->IsRefused());
}

TEST_F(CrashRegistryTest, SuccessfulRunResetsTheCount)
{
  this->registry.Add({ Crash("a"), Crash("b"), Crash("c") });
  this->registry.AddSuccessfulRuns({ kSuccessfulRun });
  this->registry.Add({ Crash("d"), Crash("e") });
  this->PassSettleTime();
  EXPECT_FALSE(this->IsRefused());
}

TEST_F(CrashRegistryTest, SuccessfulRunAtAnotherServiceClearsNothing)
{
  this->registry.Add({ Crash("a"), Crash("b"), Crash("c") });
  this->registry.AddSuccessfulRuns({ SuccessfulRun{ kRequest, ServiceName("another") } });
  this->PassSettleTime();
  EXPECT_TRUE(this->IsRefused());
}

TEST_F(CrashRegistryTest, LaterCrashesDoNotDelayTheRefusal)
{
  this->registry.Add({ Crash("a"), Crash("b"), Crash("c") });
  this->PassSettleTime();
  this->registry.Add({ Crash("d") });
  EXPECT_TRUE(this->IsRefused());
}

TEST_F(CrashRegistryTest, CommittedRefusalHoldsWithoutReports)
{
  this->registry.SetRefused({ { kRequest, RefusedRequest{ kWorkspace, this->clock.WallNow() } } });
  EXPECT_TRUE(this->IsRefused());
  EXPECT_TRUE(this->registry.ToRelease().empty());
}

TEST_F(CrashRegistryTest, SuccessfulRunReleasesARefusedRequest)
{
  this->registry.SetRefused({ { kRequest, RefusedRequest{ kWorkspace, this->clock.WallNow() } } });
  this->registry.AddSuccessfulRuns({ kSuccessfulRun });
  EXPECT_FALSE(this->IsRefused());
  EXPECT_EQ(this->registry.ToRelease().size(), 1U);
  this->registry.SetRefused({});
  EXPECT_TRUE(this->registry.ToRelease().empty());
}

TEST_F(CrashRegistryTest, ReleasedRequestMustCrashThreeTargetsAgain)
{
  this->registry.Add({ Crash("a"), Crash("b"), Crash("c") });
  this->registry.SetRefused({ { kRequest, RefusedRequest{ kWorkspace, this->clock.WallNow() } } });
  this->registry.SetRefused({});
  this->registry.Add({ Crash("d") });
  this->PassSettleTime();
  EXPECT_FALSE(this->IsRefused());
}

TEST_F(CrashRegistryTest, RefusalExpires)
{
  this->registry.SetRefused({ { kRequest, RefusedRequest{ kWorkspace, this->clock.WallNow() } } });
  this->clock.Advance(CrashRegistry::kRefusalPeriod);
  EXPECT_EQ(this->registry.ToRelease().size(), 1U);
}

TEST_F(CrashRegistryTest, EvictsRequestsWithFewestCrashesFirst)
{
  this->registry.Add({ Crash("a"), Crash("b") });
  for (std::uint64_t other = 0; other < 2 * CrashRegistry::kMaxRequests; ++other) {
    this->registry.Add({ Crash("x", RequestFingerprint(1000 + other)) });
  }
  EXPECT_EQ(this->registry.All().size(), CrashRegistry::kMaxRequests + 1);
  this->registry.Add({ Crash("c") });
  this->PassSettleTime();
  EXPECT_TRUE(this->IsRefused());
}

TEST_F(CrashRegistryTest, ReportsOfAllRestoreAnotherControlHost)
{
  this->registry.Add({ Crash("a"), Crash("b"), Crash("c") });
  CrashRegistry other(this->clock);
  other.Add(this->registry.All());
  this->PassSettleTime();
  EXPECT_EQ(other.Verdicts(), this->registry.Verdicts());
}

// Requests that all differ and have a part in common, each with another target that it crashes.
class CrashingPartTest : public CrashRegistryTest
{
protected:
  void CrashByPart(std::uint64_t aNumber)
  {
    this->clock.Advance(std::chrono::milliseconds(300));
    CrashReport report = Crash(std::to_string(aNumber), RequestFingerprint(100 + aNumber));
    report.parts = { kFirst, kPart };
    report.sentAgo = std::chrono::milliseconds(100);
    this->registry.Add({ report });
  }

  const RequestFingerprint kFirst{ 50 };
  const RequestFingerprint kPart{ 51 };
};

TEST_F(CrashingPartTest, PartIsRefusedLikeARequest)
{
  this->CrashByPart(1);
  this->CrashByPart(2);
  EXPECT_TRUE(this->registry.Verdicts().suspected.contains(kPart));
  this->CrashByPart(3);
  EXPECT_FALSE(this->registry.Verdicts().refused.contains(kPart));
  this->PassSettleTime();
  EXPECT_EQ(this->registry.Verdicts().refused, std::set{ kPart });
  EXPECT_TRUE(this->registry.IsPart(kPart));
  ASSERT_EQ(this->registry.ToRefuse().size(), 1U);
  EXPECT_EQ(this->registry.ToRefuse()[0].request, kPart);
  EXPECT_EQ(this->registry.ToRefuse()[0].facts.workspace, kWorkspace);
  this->registry.SetRefused({ { kPart, RefusedRequest{ kWorkspace, this->clock.WallNow() } } });
  EXPECT_TRUE(this->registry.ToRefuse().empty());
  EXPECT_TRUE(this->registry.ToRelease().empty());
}

TEST_F(CrashingPartTest, OperatorReleasesAPart)
{
  for (std::uint64_t number = 1; number <= 3; ++number) {
    this->CrashByPart(number);
  }
  this->PassSettleTime();
  this->registry.SetRefused({ { kPart, RefusedRequest{ kWorkspace, this->clock.WallNow() } } });
  this->registry.SetRefused({});
  EXPECT_TRUE(this->registry.Verdicts().refused.empty());
}

// Guards against refusing what the crashes of another part explain.
TEST_F(CrashingPartTest, PartThatAnotherOneExplainsIsReleased)
{
  this->registry.SetRefused({ { kFirst, RefusedRequest{ kWorkspace, this->clock.WallNow() } } });
  EXPECT_TRUE(this->registry.ToRelease().empty());
  for (std::uint64_t number = 1; number <= 3; ++number) {
    this->CrashByPart(number);
  }
  this->PassSettleTime();
  ASSERT_EQ(this->registry.ToRelease().size(), 1U);
  EXPECT_EQ(this->registry.ToRelease()[0].request, kFirst);
}

// Guards against refusing requests for which a part is to blame: they are repeated, too.
TEST_F(CrashingPartTest, RequestsWithTheCrashingPartAreNotCounted)
{
  for (std::uint64_t number = 1; number <= 3; ++number) {
    this->CrashByPart(number);
  }
  this->registry.Verdicts();
  for (std::uint64_t number = 4; number <= 9; ++number) {
    CrashReport report = Crash(std::to_string(number));
    report.parts = { kFirst, kPart };
    this->registry.Add({ report });
  }
  this->PassSettleTime();
  EXPECT_FALSE(this->IsRefused());
}

TEST_F(CrashingPartTest, ReportsOfAllRestoreThePart)
{
  for (std::uint64_t number = 1; number <= 3; ++number) {
    this->CrashByPart(number);
  }
  CrashRegistry other(this->clock);
  other.Add(this->registry.All());
  EXPECT_EQ(other.Verdicts().suspected, this->registry.Verdicts().suspected);
  // It has not watched for successful runs since the first of the crashes.
  this->clock.Advance(std::chrono::milliseconds(600));
  EXPECT_EQ(other.Verdicts(), this->registry.Verdicts());
  EXPECT_EQ(other.Verdicts().refused, std::set{ kPart });
}

} // namespace
} // namespace damasklink
