#include "damasklink/coordination/CrashLedger.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

const RequestFingerprint kGuilty(7);
const WorkspaceId kWorkspace("w");
const ServiceName kService("s");
const SuccessfulRun kSound{ kGuilty, kService };

CrashReport
Crash(const std::string& aTarget, RequestFingerprint aRequest = kGuilty, std::uint64_t aStart = 1)
{
  return CrashReport{ aRequest, kWorkspace, kService, TargetId(aTarget), Incarnation(aStart) };
}

class CrashLedgerTest : public testing::Test
{
protected:
  bool IsRefused() const { return this->ledger.Told().refused.contains(kGuilty); }

  void Settle() { this->clock.Advance(CrashLedger::kSettling); }

  ManualClock clock;
  CrashLedger ledger{ this->clock };
};

TEST_F(CrashLedgerTest, RequestThatEndedThreeTargetsIsRefusedOnceNewsHasSettled)
{
  this->ledger.Take({ Crash("a"), Crash("b") });
  this->Settle();
  EXPECT_FALSE(this->IsRefused());
  EXPECT_TRUE(this->ledger.Told().suspected.contains(kGuilty));
  this->ledger.Take({ Crash("c") });
  EXPECT_FALSE(this->IsRefused());
  this->Settle();
  EXPECT_TRUE(this->IsRefused());
  ASSERT_EQ(this->ledger.ToRefuse().size(), 1U);
  EXPECT_EQ(this->ledger.ToRefuse()[0].facts.workspace, kWorkspace);
}

TEST_F(CrashLedgerTest, OneEndThatSeveralHostsReportCountsOnce)
{
  this->ledger.Take({ Crash("a"), Crash("a"), Crash("b") });
  this->ledger.Take({ Crash("b"), Crash("a") });
  this->Settle();
  EXPECT_FALSE(this->IsRefused());
}

TEST_F(CrashLedgerTest, StartsOfOneTargetCountEach)
{
  this->ledger.Take({ Crash("a", kGuilty, 1), Crash("a", kGuilty, 2), Crash("a", kGuilty, 3) });
  this->Settle();
  EXPECT_TRUE(this->IsRefused());
}

TEST_F(CrashLedgerTest, RequestThatRanWellBeginsAnew)
{
  this->ledger.Take({ Crash("a"), Crash("b"), Crash("c") });
  this->ledger.TakeSound({ kSound });
  this->ledger.Take({ Crash("d"), Crash("e") });
  this->Settle();
  EXPECT_FALSE(this->IsRefused());
}

TEST_F(CrashLedgerTest, SoundRunAtAnotherServiceClearsNothing)
{
  this->ledger.Take({ Crash("a"), Crash("b"), Crash("c") });
  this->ledger.TakeSound({ SuccessfulRun{ kGuilty, ServiceName("another") } });
  this->Settle();
  EXPECT_TRUE(this->IsRefused());
}

TEST_F(CrashLedgerTest, LaterCrashesDoNotPutOffTheRefusal)
{
  this->ledger.Take({ Crash("a"), Crash("b"), Crash("c") });
  this->Settle();
  this->ledger.Take({ Crash("d") });
  EXPECT_TRUE(this->IsRefused());
}

TEST_F(CrashLedgerTest, WhatTheGroupRefusesHoldsWithoutReports)
{
  this->ledger.SetRefused({ { kGuilty, RefusedRequest{ kWorkspace, this->clock.WallNow() } } });
  EXPECT_TRUE(this->IsRefused());
  EXPECT_TRUE(this->ledger.ToRelease().empty());
}

TEST_F(CrashLedgerTest, RefusedRequestThatRanWellAfterAllIsReleased)
{
  this->ledger.SetRefused({ { kGuilty, RefusedRequest{ kWorkspace, this->clock.WallNow() } } });
  this->ledger.TakeSound({ kSound });
  EXPECT_FALSE(this->IsRefused());
  EXPECT_EQ(this->ledger.ToRelease().size(), 1U);
  this->ledger.SetRefused({});
  EXPECT_TRUE(this->ledger.ToRelease().empty());
}

TEST_F(CrashLedgerTest, ReleasedRequestMustCrashThreeTargetsAgain)
{
  this->ledger.Take({ Crash("a"), Crash("b"), Crash("c") });
  this->ledger.SetRefused({ { kGuilty, RefusedRequest{ kWorkspace, this->clock.WallNow() } } });
  this->ledger.SetRefused({});
  this->ledger.Take({ Crash("d") });
  this->Settle();
  EXPECT_FALSE(this->IsRefused());
}

TEST_F(CrashLedgerTest, RefusalEndsWithItsTime)
{
  this->ledger.SetRefused({ { kGuilty, RefusedRequest{ kWorkspace, this->clock.WallNow() } } });
  this->clock.Advance(CrashLedger::kRefusedFor);
  EXPECT_EQ(this->ledger.ToRelease().size(), 1U);
}

TEST_F(CrashLedgerTest, ManyOtherRequestsDoNotPushOutOneThatComesAgain)
{
  this->ledger.Take({ Crash("a"), Crash("b") });
  for (std::uint64_t other = 0; other < 2 * CrashLedger::kMostRequests; ++other) {
    this->ledger.Take({ Crash("x", RequestFingerprint(1000 + other)) });
  }
  EXPECT_EQ(this->ledger.All().size(), CrashLedger::kMostRequests + 1);
  this->ledger.Take({ Crash("c") });
  this->Settle();
  EXPECT_TRUE(this->IsRefused());
}

TEST_F(CrashLedgerTest, AnotherControlHostLearnsAll)
{
  this->ledger.Take({ Crash("a"), Crash("b"), Crash("c") });
  CrashLedger other(this->clock);
  other.Take(this->ledger.All());
  this->Settle();
  EXPECT_EQ(other.Told(), this->ledger.Told());
}

} // namespace
} // namespace damasklink
