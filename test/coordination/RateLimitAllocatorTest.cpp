#include "damasklink/coordination/RateLimitAllocator.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace damasklink {
namespace {

const TargetId kTarget("t");

std::set<HostId>
Hosts(std::size_t aCount)
{
  std::set<HostId> hosts;
  for (std::size_t index = 0; index < aCount; ++index) {
    hosts.insert(HostId("10.0.0." + std::to_string(index)));
  }
  return hosts;
}

LimitReport
Report(std::optional<double> aPerSecond, std::uint64_t aStart = 1)
{
  LimitReport report{ kTarget, Incarnation(aStart), std::nullopt };
  if (aPerSecond) {
    report.limit = RequestRate{ *aPerSecond };
  }
  return report;
}

TEST(RateLimitAllocatorTest, FewHostsShareASmallLimit)
{
  RateLimitAllocator book;
  book.Take({ Report(3.9) });
  const std::vector<TargetLimit> shares = book.Shares(Hosts(195));
  ASSERT_EQ(shares.size(), 1U);
  EXPECT_EQ(shares[0].hosts.size(), 3U);
  EXPECT_DOUBLE_EQ(shares[0].share.perSecond, 1.3);
}

RC_GTEST_PROP(RateLimitAllocatorTest,
              SharesAddUpToTheLimit,
              (std::uint16_t aTenths, std::uint8_t aHosts))
{
  RateLimitAllocator book;
  const double limit = static_cast<double>(aTenths) / 10;
  book.Take({ Report(limit) });
  const TargetLimit share = book.Shares(Hosts(aHosts)).at(0);
  const double all = share.share.perSecond * static_cast<double>(share.hosts.size());
  RC_ASSERT(share.hosts.size() <= aHosts);
  RC_ASSERT(all <= std::max(limit, RateLimitAllocator::kMinRate.perSecond) + 1e-9);
  RC_ASSERT(aHosts == 0 || all >= limit - 1e-9);
}

TEST(RateLimitAllocatorTest, LostHostMovesOnlyItsOwnShare)
{
  RateLimitAllocator book;
  book.Take({ Report(4) });
  std::set<HostId> hosts = Hosts(9);
  const std::set<HostId> before = book.Shares(hosts)[0].hosts;
  hosts.erase(*before.begin());
  const std::set<HostId> after = book.Shares(hosts)[0].hosts;
  std::size_t kept = 0;
  for (const HostId& host : before) {
    kept += after.count(host);
  }
  EXPECT_EQ(after.size(), 4U);
  EXPECT_EQ(kept, 3U);
}

TEST(RateLimitAllocatorTest, LiftedLimitIsRemoved)
{
  RateLimitAllocator book;
  book.Take({ Report(4), Report(std::nullopt) });
  EXPECT_TRUE(book.IsEmpty());
}

TEST(RateLimitAllocatorTest, IgnoresReportsOfAnEarlierIncarnation)
{
  RateLimitAllocator book;
  book.Take({ Report(4, 2), Report(9, 1), Report(std::nullopt, 1) });
  EXPECT_EQ(book.All(), std::vector<LimitReport>{ Report(4, 2) });
}

TEST(RateLimitAllocatorTest, RetainOnlyRemovesOtherTargets)
{
  RateLimitAllocator book;
  book.Take({ Report(4) });
  book.RetainOnly([](const TargetId&, Incarnation) { return false; });
  EXPECT_TRUE(book.IsEmpty());
}

constexpr Duration kColdFor = std::chrono::seconds(3);

ColdTarget
Cold(Duration aColdFor = kColdFor)
{
  return ColdTarget{ kTarget, Incarnation(1), aColdFor, RequestRate{ 16 } };
}

TEST(RateLimitAllocatorTest, DividesColdRateIntoWholeRequestsPerSecond)
{
  RateLimitAllocator book;
  book.UpdateColdTarget(Cold(), MonotonicTime());
  const TargetLimit many = book.Shares(Hosts(80)).at(0);
  EXPECT_EQ(many.hosts.size(), 16U);
  EXPECT_DOUBLE_EQ(many.share.perSecond, 1);
  const TargetLimit few = book.Shares(Hosts(9)).at(0);
  EXPECT_EQ(few.hosts.size(), 8U);
  EXPECT_DOUBLE_EQ(few.share.perSecond, 2);
  EXPECT_EQ(few.limit, std::nullopt);
}

TEST(RateLimitAllocatorTest, RemovesColdTargetOnceItIsWarm)
{
  RateLimitAllocator book;
  const MonotonicTime start;
  book.UpdateColdTarget(Cold(), start);
  book.RemoveWarmTargets(start + kColdFor - std::chrono::milliseconds(1));
  EXPECT_FALSE(book.IsEmpty());
  book.RemoveWarmTargets(start + kColdFor);
  EXPECT_TRUE(book.IsEmpty());
}

// Entry hosts are told of changes only, so the word of each heartbeat must not be one.
TEST(RateLimitAllocatorTest, HeartbeatsWithTheSameEndDoNotChangeShares)
{
  RateLimitAllocator book;
  const MonotonicTime start;
  const Duration later = std::chrono::milliseconds(1200);
  book.UpdateColdTarget(Cold(), start);
  const std::vector<TargetLimit> before = book.Shares(Hosts(9));
  book.UpdateColdTarget(Cold(kColdFor - later + RateLimitAllocator::kColdEndTolerance),
                        start + later);
  EXPECT_EQ(book.Shares(Hosts(9)), before);
}

TEST(RateLimitAllocatorTest, LaterReportExtendsTheColdPeriod)
{
  RateLimitAllocator book;
  const MonotonicTime start;
  book.UpdateColdTarget(Cold(), start);
  book.UpdateColdTarget(Cold(), start + kColdFor / 2);
  book.RemoveWarmTargets(start + kColdFor);
  EXPECT_FALSE(book.IsEmpty());
}

TEST(RateLimitAllocatorTest, AppliesTheSmallerOfLimitAndColdRate)
{
  RateLimitAllocator book;
  book.Take({ Report(4) });
  book.UpdateColdTarget(Cold(), MonotonicTime());
  EXPECT_DOUBLE_EQ(book.Shares(Hosts(9))[0].share.perSecond, 1);
  book.Take({ Report(100) });
  EXPECT_DOUBLE_EQ(book.Shares(Hosts(9))[0].share.perSecond, 2);
  book.Take({ Report(std::nullopt) });
  EXPECT_EQ(book.Shares(Hosts(9))[0].limit, std::nullopt);
  EXPECT_TRUE(book.All().empty());
}

// The pattern: hundreds of targets start at one moment; what hosts are told of them stays bounded.
TEST(RateLimitAllocatorTest, DividesABoundedNumberOfColdTargets)
{
  RateLimitAllocator book;
  for (int index = 0; index < 1000; ++index) {
    ColdTarget cold = Cold();
    cold.target = TargetId("t" + std::to_string(index));
    book.UpdateColdTarget(cold, MonotonicTime());
  }
  book.Take({ Report(4) });
  EXPECT_EQ(book.Shares(Hosts(300)).size(), 64U + 1U);
}

} // namespace
} // namespace damasklink
