#include "damasklink/coordination/CrashLedger.h"

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

class CrashLedgerTest : public testing::Test
{
protected:
  bool IsRefused() const { return this->registry.Verdicts().refused.contains(kRequest); }

  void PassSettleTime() { this->clock.Advance(CrashLedger::kSettleTime); }

  ManualClock clock;
  CrashLedger registry{ this->clock };
};

TEST_F(CrashLedgerTest, RefusesRequestAfterThreeCrashesAndTheSettleTime)
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

TEST_F(CrashLedgerTest, CrashReportedBySeveralHostsCountsOnce)
{
  this->registry.Add({ Crash("a"), Crash("a"), Crash("b") });
  this->registry.Add({ Crash("b"), Crash("a") });
  this->PassSettleTime();
  EXPECT_FALSE(this->IsRefused());
}

TEST_F(CrashLedgerTest, IncarnationsOfOneTargetCountSeparately)
{
  this->registry.Add({ Crash("a", kRequest, 1), Crash("a", kRequest, 2), Crash("a", kRequest, 3) });
  this->PassSettleTime();
  EXPECT_TRUE(this->IsRefused());
}

TEST_F(CrashLedgerTest, SuccessfulRunResetsTheCount)
{
  this->registry.Add({ Crash("a"), Crash("b"), Crash("c") });
  this->registry.AddSuccessfulRuns({ kSuccessfulRun });
  this->registry.Add({ Crash("d"), Crash("e") });
  this->PassSettleTime();
  EXPECT_FALSE(this->IsRefused());
}

TEST_F(CrashLedgerTest, SuccessfulRunAtAnotherServiceClearsNothing)
{
  this->registry.Add({ Crash("a"), Crash("b"), Crash("c") });
  this->registry.AddSuccessfulRuns({ SuccessfulRun{ kRequest, ServiceName("another") } });
  this->PassSettleTime();
  EXPECT_TRUE(this->IsRefused());
}

TEST_F(CrashLedgerTest, LaterCrashesDoNotDelayTheRefusal)
{
  this->registry.Add({ Crash("a"), Crash("b"), Crash("c") });
  this->PassSettleTime();
  this->registry.Add({ Crash("d") });
  EXPECT_TRUE(this->IsRefused());
}

TEST_F(CrashLedgerTest, CommittedRefusalHoldsWithoutReports)
{
  this->registry.SetRefused({ { kRequest, RefusedRequest{ kWorkspace, this->clock.WallNow() } } });
  EXPECT_TRUE(this->IsRefused());
  EXPECT_TRUE(this->registry.ToRelease().empty());
}

TEST_F(CrashLedgerTest, SuccessfulRunReleasesARefusedRequest)
{
  this->registry.SetRefused({ { kRequest, RefusedRequest{ kWorkspace, this->clock.WallNow() } } });
  this->registry.AddSuccessfulRuns({ kSuccessfulRun });
  EXPECT_FALSE(this->IsRefused());
  EXPECT_EQ(this->registry.ToRelease().size(), 1U);
  this->registry.SetRefused({});
  EXPECT_TRUE(this->registry.ToRelease().empty());
}

TEST_F(CrashLedgerTest, ReleasedRequestMustCrashThreeTargetsAgain)
{
  this->registry.Add({ Crash("a"), Crash("b"), Crash("c") });
  this->registry.SetRefused({ { kRequest, RefusedRequest{ kWorkspace, this->clock.WallNow() } } });
  this->registry.SetRefused({});
  this->registry.Add({ Crash("d") });
  this->PassSettleTime();
  EXPECT_FALSE(this->IsRefused());
}

TEST_F(CrashLedgerTest, RefusalExpires)
{
  this->registry.SetRefused({ { kRequest, RefusedRequest{ kWorkspace, this->clock.WallNow() } } });
  this->clock.Advance(CrashLedger::kRefusalPeriod);
  EXPECT_EQ(this->registry.ToRelease().size(), 1U);
}

TEST_F(CrashLedgerTest, EvictsRequestsWithFewestCrashesFirst)
{
  this->registry.Add({ Crash("a"), Crash("b") });
  for (std::uint64_t other = 0; other < 2 * CrashLedger::kMaxRequests; ++other) {
    this->registry.Add({ Crash("x", RequestFingerprint(1000 + other)) });
  }
  EXPECT_EQ(this->registry.All().size(), CrashLedger::kMaxRequests + 1);
  this->registry.Add({ Crash("c") });
  this->PassSettleTime();
  EXPECT_TRUE(this->IsRefused());
}

TEST_F(CrashLedgerTest, ReportsOfAllRestoreAnotherControlHost)
{
  this->registry.Add({ Crash("a"), Crash("b"), Crash("c") });
  CrashLedger other(this->clock);
  other.Add(this->registry.All());
  this->PassSettleTime();
  EXPECT_EQ(other.Verdicts(), this->registry.Verdicts());
}

} // namespace
} // namespace damasklink
