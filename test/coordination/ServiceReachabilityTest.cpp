#include "damasklink/coordination/ServiceReachability.h"

#include <gtest/gtest.h>

#include "damasklink/coordination/UnconfirmedCrashReports.h"

namespace damasklink {
namespace {

using std::chrono::milliseconds;

const ServiceName kService("app");

class ServiceReachabilityTest : public testing::Test
{
protected:
  ReachabilityChange Probe(bool aReached)
  {
    EXPECT_TRUE(this->paths.BeginProbe(kService));
    const ReachabilityChange change = this->paths.EndProbe(kService, aReached);
    this->clock.Advance(ServiceReachability::kReachedInterval);
    return change;
  }

  ManualClock clock;
  ServiceReachability paths{ this->clock };
};

TEST_F(ServiceReachabilityTest, ChangesOnlyThroughProbes)
{
  EXPECT_FALSE(this->paths.IsUnreachable(kService));
  EXPECT_EQ(this->Probe(false), ReachabilityChange::Lost);
  EXPECT_TRUE(this->paths.IsUnreachable(kService));
  EXPECT_FALSE(this->paths.IsUnreachable(ServiceName("other")));
  // Open connections may go on working.
  this->paths.OnBytes(kService);
  EXPECT_TRUE(this->paths.IsUnreachable(kService));
  EXPECT_EQ(this->Probe(false), ReachabilityChange::None);
  EXPECT_EQ(this->Probe(true), ReachabilityChange::Regained);
  EXPECT_FALSE(this->paths.AnyUnreachable());
}

TEST_F(ServiceReachabilityTest, ProbesOneAtATimeAndNotTooOften)
{
  EXPECT_TRUE(this->paths.BeginProbe(kService));
  EXPECT_TRUE(this->paths.IsProbing(kService));
  this->clock.Advance(ServiceReachability::kProbeInterval);
  EXPECT_FALSE(this->paths.BeginProbe(kService));
  this->paths.EndProbe(kService, false);
  EXPECT_TRUE(this->paths.BeginProbe(kService));
  this->paths.EndProbe(kService, false);
  EXPECT_FALSE(this->paths.BeginProbe(kService));
  EXPECT_TRUE(this->paths.DueForProbe().empty());
  this->clock.Advance(ServiceReachability::kProbeInterval);
  EXPECT_EQ(this->paths.DueForProbe(), std::vector<ServiceName>{ kService });
}

// Guards against probes of hundreds of hosts that add to the work of targets with much work.
TEST_F(ServiceReachabilityTest, ReachedServiceIsProbedSeldom)
{
  EXPECT_TRUE(this->paths.BeginProbe(kService));
  this->paths.EndProbe(kService, true);
  this->clock.Advance(ServiceReachability::kProbeInterval);
  EXPECT_FALSE(this->paths.BeginProbe(kService));
  this->clock.Advance(ServiceReachability::kReachedInterval);
  EXPECT_TRUE(this->paths.BeginProbe(kService));
}

TEST_F(ServiceReachabilityTest, ServiceIsSuspiciousOnlyWhileARequestWaits)
{
  this->clock.Advance(std::chrono::hours(1));
  EXPECT_TRUE(this->paths.SuspiciousServices().empty());
  this->paths.OnSent(kService);
  this->clock.Advance(ServiceReachability::kSuspiciousSilence - milliseconds(1));
  EXPECT_TRUE(this->paths.SuspiciousServices().empty());
  this->clock.Advance(milliseconds(1));
  EXPECT_EQ(this->paths.SuspiciousServices(), std::vector<ServiceName>{ kService });
  this->paths.OnBytes(kService);
  EXPECT_TRUE(this->paths.SuspiciousServices().empty());
  this->clock.Advance(ServiceReachability::kSuspiciousSilence);
  EXPECT_FALSE(this->paths.SuspiciousServices().empty());
  this->paths.OnEnded(kService);
  EXPECT_TRUE(this->paths.SuspiciousServices().empty());
}

TEST_F(ServiceReachabilityTest, ShowsWhetherServiceWasReachedSince)
{
  const MonotonicTime before = this->clock.MonotonicNow();
  EXPECT_FALSE(this->paths.WasReachedAfter(kService, before));
  this->clock.Advance(milliseconds(1));
  this->paths.OnBytes(kService);
  EXPECT_TRUE(this->paths.WasReachedAfter(kService, before));
  EXPECT_FALSE(this->paths.WasReachedAfter(kService, this->clock.MonotonicNow()));
  EXPECT_TRUE(this->paths.HadBytesWithin(kService, milliseconds(1)));
  this->clock.Advance(milliseconds(1));
  EXPECT_FALSE(this->paths.HadBytesWithin(kService, milliseconds(1)));
}

const Endpoint kAddress{ "10.1.0.9", 8080 };

class UnconfirmedCrashReportsTest : public ServiceReachabilityTest
{
protected:
  CrashReport report{ RequestFingerprint(7), WorkspaceId(), kService, TargetId("t"), {} };
  UnconfirmedCrashReports unconfirmed{ this->clock, this->paths };
};

TEST_F(UnconfirmedCrashReportsTest, ReportIsConfirmedWhenAnotherTargetWasReached)
{
  this->unconfirmed.Add(this->report, kAddress);
  EXPECT_TRUE(this->unconfirmed.TakeConfirmed().empty());
  this->clock.Advance(milliseconds(1));
  this->paths.OnBytes(kService);
  EXPECT_EQ(this->unconfirmed.TakeConfirmed(),
            std::vector<CrashReport>{ this->report.Aged(milliseconds(1)) });
  EXPECT_TRUE(this->unconfirmed.TakeConfirmed().empty());
}

// Guards against requests that are accused because this host is cut off.
TEST_F(UnconfirmedCrashReportsTest, ReportOfUnreachableServiceIsDropped)
{
  this->unconfirmed.Add(this->report, kAddress);
  this->Probe(false);
  EXPECT_TRUE(this->unconfirmed.TakeConfirmed().empty());
  const std::vector<UnconfirmedCrashReports::Entry> unreachable =
    this->unconfirmed.TakeUnreachable();
  ASSERT_EQ(unreachable.size(), 1U);
  EXPECT_EQ(unreachable[0].report.request, this->report.request);
  EXPECT_EQ(unreachable[0].address, kAddress);
  this->Probe(true);
  this->clock.Advance(UnconfirmedCrashReports::kMaxAge);
  EXPECT_TRUE(this->unconfirmed.TakeConfirmed().empty());
}

TEST_F(UnconfirmedCrashReportsTest, ReportIsConfirmedInTheEndWithoutOtherTargets)
{
  this->unconfirmed.Add(this->report, kAddress);
  this->clock.Advance(UnconfirmedCrashReports::kMaxAge);
  EXPECT_EQ(this->unconfirmed.TakeConfirmed().size(), 1U);
}

} // namespace
} // namespace damasklink
