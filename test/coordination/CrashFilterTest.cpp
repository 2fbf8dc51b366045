#include "damasklink/coordination/CrashFilter.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

const RequestFingerprint kRequest(7);
const ServiceName kService("s");
const SuccessfulRun kSuccessfulRun{ kRequest, kService };
const HostId kOne("control-1");
const HostId kTwo("control-2");
const CrashReport kReport{ kRequest, WorkspaceId("w"), kService, TargetId("t"), Incarnation(1) };

class CrashFilterTest : public testing::Test
{
protected:
  ManualClock clock;
  CrashFilter filter{ this->clock };
};

TEST_F(CrashFilterTest, IsInactiveWithoutCrashes)
{
  this->filter.SetVerdicts(kOne, CrashingRequests{});
  EXPECT_FALSE(this->filter.IsActive());
  this->filter.OnSuccessfulRun(kSuccessfulRun);
  EXPECT_TRUE(this->filter.TakeSuccessfulRuns().empty());
  this->filter.OnCrash(kReport);
  EXPECT_TRUE(this->filter.IsActive());
}

TEST_F(CrashFilterTest, SendsReportsOnceToEachControlHost)
{
  this->filter.OnCrash(kReport);
  EXPECT_EQ(this->filter.TakeReports(), std::vector<CrashReport>{ kReport });
  EXPECT_TRUE(this->filter.TakeReports().empty());
  this->filter.ResendAll();
  EXPECT_EQ(this->filter.TakeReports(), std::vector<CrashReport>{ kReport });
  this->clock.Advance(CrashFilter::kReportLifetime);
  this->filter.ResendAll();
  EXPECT_TRUE(this->filter.TakeReports().empty());
  EXPECT_FALSE(this->filter.IsActive());
}

TEST_F(CrashFilterTest, SendsSuccessfulRunsOfReportedAndSuspectedRequests)
{
  this->filter.OnCrash(kReport);
  this->filter.OnSuccessfulRun(kSuccessfulRun);
  EXPECT_EQ(this->filter.TakeSuccessfulRuns(), std::vector<SuccessfulRun>{ kSuccessfulRun });
  const SuccessfulRun suspected{ RequestFingerprint(8), kService };
  this->filter.SetVerdicts(kOne, CrashingRequests{ {}, { suspected.request } });
  this->filter.OnSuccessfulRun(suspected);
  this->filter.OnSuccessfulRun(SuccessfulRun{ RequestFingerprint(9), kService });
  EXPECT_EQ(this->filter.TakeSuccessfulRuns(), std::vector<SuccessfulRun>{ suspected });
}

TEST_F(CrashFilterTest, ReportsStateTheirAge)
{
  CrashReport report = kReport;
  report.sentAgo = std::chrono::milliseconds(300);
  report.brokenAgo = std::chrono::milliseconds(100);
  this->filter.OnCrash(report);
  this->clock.Advance(std::chrono::milliseconds(50));
  const std::vector<CrashReport> sent = this->filter.TakeReports();
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].sentAgo, std::chrono::milliseconds(350));
  EXPECT_EQ(sent[0].brokenAgo, std::chrono::milliseconds(150));
}

TEST_F(CrashFilterTest, SendsSuccessfulRunsWithReportedAndSuspectedParts)
{
  const SuccessfulRun reported{ RequestFingerprint(21), kService };
  const SuccessfulRun suspected{ RequestFingerprint(22), kService };
  CrashReport report = kReport;
  report.parts = { RequestFingerprint(20), reported.request };
  this->filter.OnCrash(report);
  this->filter.SetVerdicts(kOne, CrashingRequests{ {}, { suspected.request } });
  this->filter.OnSuccessfulPart(reported);
  this->filter.OnSuccessfulPart(suspected);
  this->filter.OnSuccessfulPart(SuccessfulRun{ RequestFingerprint(23), kService });
  this->filter.OnSuccessfulPart(SuccessfulRun{ reported.request, ServiceName("another") });
  EXPECT_EQ(this->filter.TakeSuccessfulRuns(), (std::vector<SuccessfulRun>{ reported, suspected }));
  // The report still counts for the other parts.
  EXPECT_EQ(this->filter.TakeReports().size(), 1U);
}

TEST_F(CrashFilterTest, OneControlHostIsEnoughToRefuse)
{
  this->filter.SetVerdicts(kOne, CrashingRequests{});
  this->filter.SetVerdicts(kTwo, CrashingRequests{ { kRequest }, {} });
  EXPECT_TRUE(this->filter.IsRefused(kRequest));
  this->filter.SetVerdicts(kTwo, CrashingRequests{});
  EXPECT_FALSE(this->filter.IsRefused(kRequest));
}

TEST_F(CrashFilterTest, LastVerdictsHoldWhileNoControlHostIsConnected)
{
  this->filter.SetVerdicts(kOne, CrashingRequests{ { kRequest }, {} });
  this->filter.SetVerdicts(kTwo, CrashingRequests{ { kRequest }, {} });
  this->filter.OnLost(kOne);
  this->filter.OnLost(kTwo);
  EXPECT_TRUE(this->filter.IsRefused(kRequest));
  this->filter.SetVerdicts(kOne, CrashingRequests{});
  EXPECT_FALSE(this->filter.IsRefused(kRequest));
}

TEST_F(CrashFilterTest, ReportsAreBounded)
{
  for (std::uint64_t index = 0; index < 2 * CrashFilter::kMaxReports; ++index) {
    this->filter.OnCrash(CrashReport{ RequestFingerprint(index), {}, {}, TargetId("t"), {} });
  }
  EXPECT_EQ(this->filter.TakeReports().size(), CrashFilter::kMaxReports);
}

} // namespace
} // namespace damasklink
