#include "damasklink/coordination/CrashFilter.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

const RequestFingerprint kRequest(7);
const ServiceName kService("s");
const SoundRun kSound{ kRequest, kService };
const HostId kOne("control-1");
const HostId kTwo("control-2");
const CrashReport kReport{ kRequest, WorkspaceId("w"), kService, TargetId("t"), Incarnation(1) };

class CrashFilterTest : public testing::Test
{
protected:
  ManualClock clock;
  CrashFilter watch{ this->clock };
};

TEST_F(CrashFilterTest, IsInactiveWithoutCrashes)
{
  this->watch.Take(kOne, CrashingRequests{});
  EXPECT_FALSE(this->watch.IsActive());
  this->watch.OnSuccessfulRun(kSound);
  EXPECT_TRUE(this->watch.TakeSuccessfulRuns().empty());
  this->watch.OnCrash(kReport);
  EXPECT_TRUE(this->watch.IsActive());
}

TEST_F(CrashFilterTest, SendsReportsOnceToEachControlHost)
{
  this->watch.OnCrash(kReport);
  EXPECT_EQ(this->watch.TakeReports(), std::vector<CrashReport>{ kReport });
  EXPECT_TRUE(this->watch.TakeReports().empty());
  this->watch.ResendAll();
  EXPECT_EQ(this->watch.TakeReports(), std::vector<CrashReport>{ kReport });
  this->clock.Advance(CrashFilter::kReportLifetime);
  this->watch.ResendAll();
  EXPECT_TRUE(this->watch.TakeReports().empty());
  EXPECT_FALSE(this->watch.IsActive());
}

TEST_F(CrashFilterTest, SendsSuccessfulRunsOfReportedAndSuspectedRequests)
{
  this->watch.OnCrash(kReport);
  this->watch.OnSuccessfulRun(kSound);
  EXPECT_EQ(this->watch.TakeSuccessfulRuns(), std::vector<SoundRun>{ kSound });
  const SoundRun suspected{ RequestFingerprint(8), kService };
  this->watch.Take(kOne, CrashingRequests{ {}, { suspected.request } });
  this->watch.OnSuccessfulRun(suspected);
  this->watch.OnSuccessfulRun(SoundRun{ RequestFingerprint(9), kService });
  EXPECT_EQ(this->watch.TakeSuccessfulRuns(), std::vector<SoundRun>{ suspected });
}

TEST_F(CrashFilterTest, OneControlHostIsEnoughToRefuse)
{
  this->watch.Take(kOne, CrashingRequests{});
  this->watch.Take(kTwo, CrashingRequests{ { kRequest }, {} });
  EXPECT_TRUE(this->watch.IsRefused(kRequest));
  this->watch.Take(kTwo, CrashingRequests{});
  EXPECT_FALSE(this->watch.IsRefused(kRequest));
}

TEST_F(CrashFilterTest, LastVerdictsHoldWhileNoControlHostIsConnected)
{
  this->watch.Take(kOne, CrashingRequests{ { kRequest }, {} });
  this->watch.Take(kTwo, CrashingRequests{ { kRequest }, {} });
  this->watch.OnLost(kOne);
  this->watch.OnLost(kTwo);
  EXPECT_TRUE(this->watch.IsRefused(kRequest));
  this->watch.Take(kOne, CrashingRequests{});
  EXPECT_FALSE(this->watch.IsRefused(kRequest));
}

TEST_F(CrashFilterTest, ReportsAreBounded)
{
  for (std::uint64_t index = 0; index < 2 * CrashFilter::kMaxReports; ++index) {
    this->watch.OnCrash(CrashReport{ RequestFingerprint(index), {}, {}, TargetId("t"), {} });
  }
  EXPECT_EQ(this->watch.TakeReports().size(), CrashFilter::kMaxReports);
}

} // namespace
} // namespace damasklink
