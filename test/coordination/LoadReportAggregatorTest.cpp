#include "damasklink/coordination/LoadReportAggregator.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

const HostId kSelf("hub");

TargetSendsNow
Sends(const std::string& aTarget, std::uint64_t aRequests)
{
  return TargetSendsNow{
    TargetId(aTarget), aRequests, TokenCount(aRequests * 10), TokenCount(), {}
  };
}

class LoadReportAggregatorTest : public testing::Test
{
protected:
  void Take(const std::string& aHost, std::vector<TargetSendsNow> aSends)
  {
    this->hub.Take(SendsNews{ HostId(aHost), std::move(aSends), {}, {}, false },
                   this->clock.MonotonicNow());
  }

  ManualClock clock;
  LoadReportAggregator hub;
};

TEST_F(LoadReportAggregatorTest, AddsUpTheLoadOfHosts)
{
  this->Take("x", { Sends("a", 2) });
  this->Take("y", { Sends("a", 3), Sends("b", 1) });
  const SendsNews news = this->hub.TakeChanges(kSelf);
  EXPECT_EQ(news.host, kSelf);
  EXPECT_EQ(news.sends, (std::vector<TargetSendsNow>{ Sends("a", 5), Sends("b", 1) }));
}

TEST_F(LoadReportAggregatorTest, TakeChangesReturnsOnlyChangedTargets)
{
  this->Take("x", { Sends("a", 2), Sends("b", 1) });
  this->hub.TakeChanges(kSelf);
  EXPECT_TRUE(this->hub.TakeChanges(kSelf).sends.empty());
  this->Take("x", { Sends("b", 4) });
  EXPECT_EQ(this->hub.TakeChanges(kSelf).sends, std::vector<TargetSendsNow>{ Sends("b", 4) });
}

TEST_F(LoadReportAggregatorTest, LaterUpdateOfAHostReplacesEarlierOnes)
{
  this->Take("x", { Sends("a", 2) });
  this->Take("x", { Sends("a", 1) });
  EXPECT_EQ(this->hub.TakeChanges(kSelf).sends, std::vector<TargetSendsNow>{ Sends("a", 1) });
}

TEST_F(LoadReportAggregatorTest, RemovingAHostSubtractsItsLoad)
{
  this->Take("x", { Sends("a", 2) });
  this->Take("y", { Sends("a", 3) });
  this->hub.TakeChanges(kSelf);
  this->hub.Forget(HostId("x"));
  EXPECT_EQ(this->hub.TakeChanges(kSelf).sends, std::vector<TargetSendsNow>{ Sends("a", 3) });
  EXPECT_EQ(this->hub.Publishers(), std::set<HostId>{ HostId("y") });
}

TEST_F(LoadReportAggregatorTest, LastUpdateOfAHostRemovesIt)
{
  this->Take("x", { Sends("a", 2) });
  this->hub.Take(SendsNews{ HostId("x"), {}, {}, {}, true }, this->clock.MonotonicNow());
  EXPECT_TRUE(this->hub.Publishers().empty());
  EXPECT_EQ(this->hub.TakeChanges(kSelf).sends, std::vector<TargetSendsNow>{ Sends("a", 0) });
}

TEST_F(LoadReportAggregatorTest, AddsUpStoreExcessesOnce)
{
  this->hub.Take(SendsNews{ HostId("x"), {}, { StoreExcess{ "s", 2, 10 } }, {}, false },
                 this->clock.MonotonicNow());
  this->hub.Take(SendsNews{ HostId("y"), {}, { StoreExcess{ "s", 1, 200 } }, {}, false },
                 this->clock.MonotonicNow());
  const std::vector<StoreExcess> expected{ StoreExcess{ "s", 3, 210 } };
  EXPECT_EQ(this->hub.TakeChanges(kSelf).excesses, expected);
  EXPECT_TRUE(this->hub.TakeChanges(kSelf).excesses.empty());
}

TEST_F(LoadReportAggregatorTest, ReturnsPartsOfAllHostsOnce)
{
  TargetSendsNow first = Sends("a", 1);
  first.parts = { SizedPart{ PartKey(1), TokenCount(800) } };
  TargetSendsNow second = Sends("a", 1);
  second.parts = { SizedPart{ PartKey(2), TokenCount(900) } };
  this->Take("x", { first });
  this->Take("y", { second });
  const SendsNews news = this->hub.TakeChanges(kSelf);
  ASSERT_EQ(news.sends.size(), 1U);
  EXPECT_EQ(news.sends.front().parts.size(), 2U);
  this->Take("x", { Sends("a", 0) });
  EXPECT_TRUE(this->hub.TakeChanges(kSelf).sends.front().parts.empty());
}

TEST_F(LoadReportAggregatorTest, TotalsIncludeOtherControlHosts)
{
  this->Take("x", { Sends("a", 2) });
  this->hub.TakePeerSum(
    SendsNews{ HostId("north"), { Sends("a", 5), Sends("b", 1) }, {}, {}, false },
    this->clock.MonotonicNow());
  EXPECT_EQ(this->hub.TakeChanges(kSelf).sends, std::vector<TargetSendsNow>{ Sends("a", 2) });
  const SendsNews totals = this->hub.TakeTotals(kSelf);
  EXPECT_EQ(totals.host, kSelf);
  EXPECT_EQ(totals.sends, (std::vector<TargetSendsNow>{ Sends("a", 7), Sends("b", 1) }));
  EXPECT_TRUE(this->hub.TakeTotals(kSelf).sends.empty());
}

TEST_F(LoadReportAggregatorTest, RemovingASilentControlHostSubtractsItsLoad)
{
  this->Take("x", { Sends("a", 2) });
  this->hub.TakePeerSum(SendsNews{ HostId("north"), { Sends("a", 5) }, {}, {}, false },
                        this->clock.MonotonicNow());
  this->hub.TakeTotals(kSelf);
  this->clock.Advance(std::chrono::seconds(3));
  this->hub.RemovePeersSilentSince(this->clock.MonotonicNow() - std::chrono::seconds(2));
  EXPECT_EQ(this->hub.TakeTotals(kSelf).sends, std::vector<TargetSendsNow>{ Sends("a", 2) });
}

TEST_F(LoadReportAggregatorTest, AllTotalsContainEveryTargetInUse)
{
  this->Take("x", { Sends("a", 2) });
  this->hub.TakePeerSum(SendsNews{ HostId("north"), { Sends("b", 1) }, {}, {}, false },
                        this->clock.MonotonicNow());
  this->hub.TakeTotals(kSelf);
  EXPECT_EQ(this->hub.AllTotals(kSelf).sends,
            (std::vector<TargetSendsNow>{ Sends("a", 2), Sends("b", 1) }));
}

TEST_F(LoadReportAggregatorTest, ReturnsFindingsOfAllHostsOnce)
{
  this->hub.Take(SendsNews{ HostId("x"), {}, {}, { TargetFindings{ TargetId("a"), 1, 0 } }, false },
                 this->clock.MonotonicNow());
  this->hub.TakePeerSum(
    SendsNews{ HostId("north"), {}, {}, { TargetFindings{ TargetId("a"), 2, 0 } }, false },
    this->clock.MonotonicNow());
  const std::vector<TargetFindings> expected{ TargetFindings{ TargetId("a"), 3, 0 } };
  EXPECT_EQ(this->hub.TakeTotals(kSelf).findings, expected);
  EXPECT_TRUE(this->hub.TakeTotals(kSelf).findings.empty());
}

// The load: 195 entry hosts in five zones, one control host in each, 98 targets. In every step each
// host has something new of some targets. What an entry host hears in a step is one message with
// each target once, whatever the number of hosts.
TEST(LoadReportAggregatorLoadTest, TotalsDoNotGrowWithTheNumberOfHosts)
{
  constexpr int kTargets = 98;
  constexpr int kHubs = 5;
  const auto heardOf = [](int aEntryHosts) {
    ManualClock clock;
    std::vector<LoadReportAggregator> hubs(kHubs);
    for (int host = 0; host < aEntryHosts; ++host) {
      SendsNews news;
      news.host = HostId("entry-" + std::to_string(host));
      for (int sent = 0; sent < 3; ++sent) {
        news.sends.push_back(Sends("target-" + std::to_string((host * 7 + sent) % kTargets), 1));
      }
      hubs[static_cast<std::size_t>(host % kHubs)].Take(news, clock.MonotonicNow());
    }
    for (std::size_t hub = 1; hub < kHubs; ++hub) {
      const HostId name("hub-" + std::to_string(hub));
      hubs.front().TakePeerSum(hubs[hub].TakeChanges(name), clock.MonotonicNow());
    }
    std::uint64_t requests = 0;
    const SendsNews totals = hubs.front().TakeTotals(kSelf);
    for (const TargetSendsNow& sends : totals.sends) {
      requests += sends.requests;
    }
    EXPECT_EQ(requests, static_cast<std::uint64_t>(aEntryHosts) * 3);
    return totals.sends.size();
  };
  EXPECT_LE(heardOf(195), static_cast<std::size_t>(kTargets));
  EXPECT_LE(heardOf(1000), static_cast<std::size_t>(kTargets));
}

} // namespace
} // namespace damasklink
