#include "damasklink/coordination/CrashRegistry.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

const RequestFingerprint kGuilty(7);
const WorkspaceId kWorkspace("w");
const ServiceName kService("s");
const SoundRun kSound{ kGuilty, kService };

CrashReport
Crash(const std::string& aTarget, RequestFingerprint aRequest = kGuilty, std::uint64_t aStart = 1)
{
  return CrashReport{ aRequest, kWorkspace, kService, TargetId(aTarget), Incarnation(aStart) };
}

class CrashRegistryTest : public testing::Test
{
protected:
  bool IsRefused() const { return this->ledger.Verdicts().refused.contains(kGuilty); }

  void Settle() { this->clock.Advance(CrashRegistry::kSettleTime); }

  ManualClock clock;
  CrashRegistry ledger{ this->clock };
};

TEST_F(CrashRegistryTest, RefusesRequestAfterThreeCrashesAndTheSettleTime)
{
  this->ledger.Take({ Crash("a"), Crash("b") });
  this->Settle();
  EXPECT_FALSE(this->IsRefused());
  EXPECT_TRUE(this->ledger.Verdicts().suspected.contains(kGuilty));
  this->ledger.Take({ Crash("c") });
  EXPECT_FALSE(this->IsRefused());
  this->Settle();
  EXPECT_TRUE(this->IsRefused());
  ASSERT_EQ(this->ledger.ToRefuse().size(), 1U);
  EXPECT_EQ(this->ledger.ToRefuse()[0].facts.workspace, kWorkspace);
}

TEST_F(CrashRegistryTest, CrashReportedBySeveralHostsCountsOnce)
{
  this->ledger.Take({ Crash("a"), Crash("a"), Crash("b") });
  this->ledger.Take({ Crash("b"), Crash("a") });
  this->Settle();
  EXPECT_FALSE(this->IsRefused());
}

TEST_F(CrashRegistryTest, IncarnationsOfOneTargetCountSeparately)
{
  this->ledger.Take({ Crash("a", kGuilty, 1), Crash("a", kGuilty, 2), Crash("a", kGuilty, 3) });
  this->Settle();
  EXPECT_TRUE(this->IsRefused());
}

TEST_F(CrashRegistryTest, SuccessfulRunResetsTheCount)
{
  this->ledger.Take({ Crash("a"), Crash("b"), Crash("c") });
  this->ledger.TakeSuccessfulRuns({ kSound });
  this->ledger.Take({ Crash("d"), Crash("e") });
  this->Settle();
  EXPECT_FALSE(this->IsRefused());
}

TEST_F(CrashRegistryTest, SuccessfulRunAtAnotherServiceClearsNothing)
{
  this->ledger.Take({ Crash("a"), Crash("b"), Crash("c") });
  this->ledger.TakeSuccessfulRuns({ SoundRun{ kGuilty, ServiceName("another") } });
  this->Settle();
  EXPECT_TRUE(this->IsRefused());
}

TEST_F(CrashRegistryTest, LaterCrashesDoNotDelayTheRefusal)
{
  this->ledger.Take({ Crash("a"), Crash("b"), Crash("c") });
  this->Settle();
  this->ledger.Take({ Crash("d") });
  EXPECT_TRUE(this->IsRefused());
}

TEST_F(CrashRegistryTest, CommittedRefusalHoldsWithoutReports)
{
  this->ledger.SetRefused({ { kGuilty, RefusedRequest{ kWorkspace, this->clock.WallNow() } } });
  EXPECT_TRUE(this->IsRefused());
  EXPECT_TRUE(this->ledger.ToRelease().empty());
}

TEST_F(CrashRegistryTest, SuccessfulRunReleasesARefusedRequest)
{
  this->ledger.SetRefused({ { kGuilty, RefusedRequest{ kWorkspace, this->clock.WallNow() } } });
  this->ledger.TakeSuccessfulRuns({ kSound });
  EXPECT_FALSE(this->IsRefused());
  EXPECT_EQ(this->ledger.ToRelease().size(), 1U);
  this->ledger.SetRefused({});
  EXPECT_TRUE(this->ledger.ToRelease().empty());
}

TEST_F(CrashRegistryTest, ReleasedRequestMustCrashThreeTargetsAgain)
{
  this->ledger.Take({ Crash("a"), Crash("b"), Crash("c") });
  this->ledger.SetRefused({ { kGuilty, RefusedRequest{ kWorkspace, this->clock.WallNow() } } });
  this->ledger.SetRefused({});
  this->ledger.Take({ Crash("d") });
  this->Settle();
  EXPECT_FALSE(this->IsRefused());
}

TEST_F(CrashRegistryTest, RefusalExpires)
{
  this->ledger.SetRefused({ { kGuilty, RefusedRequest{ kWorkspace, this->clock.WallNow() } } });
  this->clock.Advance(CrashRegistry::kRefusalPeriod);
  EXPECT_EQ(this->ledger.ToRelease().size(), 1U);
}

TEST_F(CrashRegistryTest, EvictsRequestsWithFewestCrashesFirst)
{
  this->ledger.Take({ Crash("a"), Crash("b") });
  for (std::uint64_t other = 0; other < 2 * CrashRegistry::kMaxRequests; ++other) {
    this->ledger.Take({ Crash("x", RequestFingerprint(1000 + other)) });
  }
  EXPECT_EQ(this->ledger.All().size(), CrashRegistry::kMaxRequests + 1);
  this->ledger.Take({ Crash("c") });
  this->Settle();
  EXPECT_TRUE(this->IsRefused());
}

TEST_F(CrashRegistryTest, ReportsOfAllRestoreAnotherControlHost)
{
  this->ledger.Take({ Crash("a"), Crash("b"), Crash("c") });
  CrashRegistry other(this->clock);
  other.Take(this->ledger.All());
  this->Settle();
  EXPECT_EQ(other.Verdicts(), this->ledger.Verdicts());
}

} // namespace
} // namespace damasklink
