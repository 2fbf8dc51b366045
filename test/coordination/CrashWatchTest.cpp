#include "damasklink/coordination/CrashWatch.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

const RequestFingerprint kRequest(7);
const ServiceName kService("s");
const SuccessfulRun kSound{ kRequest, kService };
const HostId kOne("control-1");
const HostId kTwo("control-2");
const CrashReport kReport{ kRequest, WorkspaceId("w"), kService, TargetId("t"), Incarnation(1) };

class CrashWatchTest : public testing::Test
{
protected:
  ManualClock clock;
  CrashWatch watch{ this->clock };
};

TEST_F(CrashWatchTest, IsNotActiveWhileNothingCrashes)
{
  this->watch.Take(kOne, CrashingRequests{});
  EXPECT_FALSE(this->watch.IsActive());
  this->watch.OnSound(kSound);
  EXPECT_TRUE(this->watch.TakeSound().empty());
  this->watch.OnCrash(kReport);
  EXPECT_TRUE(this->watch.IsActive());
}

TEST_F(CrashWatchTest, ReportsAreToldOnceAndAnewToTheNextControlHost)
{
  this->watch.OnCrash(kReport);
  EXPECT_EQ(this->watch.TakeReports(), std::vector<CrashReport>{ kReport });
  EXPECT_TRUE(this->watch.TakeReports().empty());
  this->watch.TellAllAnew();
  EXPECT_EQ(this->watch.TakeReports(), std::vector<CrashReport>{ kReport });
  this->clock.Advance(CrashWatch::kRetold);
  this->watch.TellAllAnew();
  EXPECT_TRUE(this->watch.TakeReports().empty());
  EXPECT_FALSE(this->watch.IsActive());
}

TEST_F(CrashWatchTest, SoundRunsOfReportedAndSuspectedRequestsAreTold)
{
  this->watch.OnCrash(kReport);
  this->watch.OnSound(kSound);
  EXPECT_EQ(this->watch.TakeSound(), std::vector<SuccessfulRun>{ kSound });
  const SuccessfulRun suspected{ RequestFingerprint(8), kService };
  this->watch.Take(kOne, CrashingRequests{ {}, { suspected.request } });
  this->watch.OnSound(suspected);
  this->watch.OnSound(SuccessfulRun{ RequestFingerprint(9), kService });
  EXPECT_EQ(this->watch.TakeSound(), std::vector<SuccessfulRun>{ suspected });
}

TEST_F(CrashWatchTest, OneControlHostIsEnoughToRefuse)
{
  this->watch.Take(kOne, CrashingRequests{});
  this->watch.Take(kTwo, CrashingRequests{ { kRequest }, {} });
  EXPECT_TRUE(this->watch.IsRefused(kRequest));
  this->watch.Take(kTwo, CrashingRequests{});
  EXPECT_FALSE(this->watch.IsRefused(kRequest));
}

TEST_F(CrashWatchTest, TheLastWordHoldsWhileNoControlHostIsConnected)
{
  this->watch.Take(kOne, CrashingRequests{ { kRequest }, {} });
  this->watch.Take(kTwo, CrashingRequests{ { kRequest }, {} });
  this->watch.OnLost(kOne);
  this->watch.OnLost(kTwo);
  EXPECT_TRUE(this->watch.IsRefused(kRequest));
  this->watch.Take(kOne, CrashingRequests{});
  EXPECT_FALSE(this->watch.IsRefused(kRequest));
}

TEST_F(CrashWatchTest, ReportsAreBounded)
{
  for (std::uint64_t index = 0; index < 2 * CrashWatch::kMostReports; ++index) {
    this->watch.OnCrash(CrashReport{ RequestFingerprint(index), {}, {}, TargetId("t"), {} });
  }
  EXPECT_EQ(this->watch.TakeReports().size(), CrashWatch::kMostReports);
}

} // namespace
} // namespace damasklink
