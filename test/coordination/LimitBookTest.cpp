#include "damasklink/coordination/LimitBook.h"

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

TEST(LimitBookTest, FewHostsShareASmallLimit)
{
  LimitBook book;
  book.Take({ Report(3.9) });
  const std::vector<TargetLimit> shares = book.Shares(Hosts(195));
  ASSERT_EQ(shares.size(), 1U);
  EXPECT_EQ(shares[0].hosts.size(), 3U);
  EXPECT_DOUBLE_EQ(shares[0].share.perSecond, 1.3);
}

RC_GTEST_PROP(LimitBookTest, SharesAddUpToTheLimit, (std::uint16_t aTenths, std::uint8_t aHosts))
{
  LimitBook book;
  const double limit = static_cast<double>(aTenths) / 10;
  book.Take({ Report(limit) });
  const TargetLimit share = book.Shares(Hosts(aHosts)).at(0);
  const double all = share.share.perSecond * static_cast<double>(share.hosts.size());
  RC_ASSERT(share.hosts.size() <= aHosts);
  RC_ASSERT(all <= std::max(limit, LimitBook::kLeast.perSecond) + 1e-9);
  RC_ASSERT(aHosts == 0 || all >= limit - 1e-9);
}

TEST(LimitBookTest, ALostHostMovesItsShareAlone)
{
  LimitBook book;
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

TEST(LimitBookTest, LiftedLimitIsGone)
{
  LimitBook book;
  book.Take({ Report(4), Report(std::nullopt) });
  EXPECT_TRUE(book.IsEmpty());
}

TEST(LimitBookTest, WordOfAnEarlierStartChangesNothing)
{
  LimitBook book;
  book.Take({ Report(4, 2), Report(9, 1), Report(std::nullopt, 1) });
  EXPECT_EQ(book.All(), std::vector<LimitReport>{ Report(4, 2) });
}

TEST(LimitBookTest, TargetsThatAreGoneAreForgotten)
{
  LimitBook book;
  book.Take({ Report(4) });
  book.KeepOnly([](const TargetId&, Incarnation) { return false; });
  EXPECT_TRUE(book.IsEmpty());
}

} // namespace
} // namespace damasklink
