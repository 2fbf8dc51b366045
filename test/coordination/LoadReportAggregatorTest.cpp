#include "damasklink/coordination/LoadReportAggregator.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

const HostId kSelf("hub");

InFlightLoad
Load(const std::string& aTarget, std::uint64_t aRequests)
{
  return InFlightLoad{ TargetId(aTarget), aRequests, TokenCount(aRequests * 10), TokenCount(), {} };
}

class LoadReportAggregatorTest : public testing::Test
{
protected:
  void Update(const std::string& aHost, std::vector<InFlightLoad> aLoads)
  {
    this->aggregator.Update(LoadReport{ HostId(aHost), std::move(aLoads), {}, {}, false },
                            this->clock.MonotonicNow());
  }

  ManualClock clock;
  LoadReportAggregator aggregator;
};

TEST_F(LoadReportAggregatorTest, AddsUpTheLoadOfHosts)
{
  this->Update("x", { Load("a", 2) });
  this->Update("y", { Load("a", 3), Load("b", 1) });
  const LoadReport report = this->aggregator.TakeChanges(kSelf);
  EXPECT_EQ(report.host, kSelf);
  EXPECT_EQ(report.sends, (std::vector<InFlightLoad>{ Load("a", 5), Load("b", 1) }));
}

TEST_F(LoadReportAggregatorTest, TakeChangesReturnsOnlyChangedTargets)
{
  this->Update("x", { Load("a", 2), Load("b", 1) });
  this->aggregator.TakeChanges(kSelf);
  EXPECT_TRUE(this->aggregator.TakeChanges(kSelf).sends.empty());
  this->Update("x", { Load("b", 4) });
  EXPECT_EQ(this->aggregator.TakeChanges(kSelf).sends, std::vector<InFlightLoad>{ Load("b", 4) });
}

TEST_F(LoadReportAggregatorTest, LaterUpdateOfAHostReplacesEarlierOnes)
{
  this->Update("x", { Load("a", 2) });
  this->Update("x", { Load("a", 1) });
  EXPECT_EQ(this->aggregator.TakeChanges(kSelf).sends, std::vector<InFlightLoad>{ Load("a", 1) });
}

TEST_F(LoadReportAggregatorTest, PassesBrittleServicesOnOnce)
{
  const BrittleService measured{ ServiceName("s"),
                                 RequestRate{ 3 },
                                 std::chrono::milliseconds(40) };
  const BrittleService later{ ServiceName("s"), RequestRate{ 2 }, Duration::zero() };
  for (const BrittleService& brittle : { measured, later }) {
    LoadReport report;
    report.host = HostId("x");
    report.brittle = { brittle };
    this->aggregator.Update(report, this->clock.MonotonicNow());
  }
  const BrittleService merged{ ServiceName("s"), RequestRate{ 2 }, measured.runTime };
  EXPECT_EQ(this->aggregator.TakeChanges(kSelf).brittle, std::vector<BrittleService>{ merged });
  EXPECT_EQ(this->aggregator.TakeTotals(kSelf).brittle, std::vector<BrittleService>{ merged });
  EXPECT_TRUE(this->aggregator.TakeTotals(kSelf).brittle.empty());
}

TEST_F(LoadReportAggregatorTest, BrittleServicesOfOtherControlHostsGoToEntryHostsOnly)
{
  LoadReport report;
  report.host = HostId("peer");
  report.brittle = { BrittleService{ ServiceName("s"), RequestRate{ 3 }, Duration::zero() } };
  this->aggregator.UpdatePeerSum(report, this->clock.MonotonicNow());
  EXPECT_TRUE(this->aggregator.TakeChanges(kSelf).brittle.empty());
  EXPECT_EQ(this->aggregator.TakeTotals(kSelf).brittle, report.brittle);
}

TEST_F(LoadReportAggregatorTest, RemovingAHostSubtractsItsLoad)
{
  this->Update("x", { Load("a", 2) });
  this->Update("y", { Load("a", 3) });
  this->aggregator.TakeChanges(kSelf);
  this->aggregator.Remove(HostId("x"));
  EXPECT_EQ(this->aggregator.TakeChanges(kSelf).sends, std::vector<InFlightLoad>{ Load("a", 3) });
  EXPECT_EQ(this->aggregator.Publishers(), std::set<HostId>{ HostId("y") });
}

TEST_F(LoadReportAggregatorTest, LastUpdateOfAHostRemovesIt)
{
  this->Update("x", { Load("a", 2) });
  this->aggregator.Update(LoadReport{ HostId("x"), {}, {}, {}, true }, this->clock.MonotonicNow());
  EXPECT_TRUE(this->aggregator.Publishers().empty());
  EXPECT_EQ(this->aggregator.TakeChanges(kSelf).sends, std::vector<InFlightLoad>{ Load("a", 0) });
}

TEST_F(LoadReportAggregatorTest, AddsUpStoreExcessesOnce)
{
  this->aggregator.Update(
    LoadReport{ HostId("x"), {}, { StoreFetchDelay{ "s", 2, 10 } }, {}, false },
    this->clock.MonotonicNow());
  this->aggregator.Update(
    LoadReport{ HostId("y"), {}, { StoreFetchDelay{ "s", 1, 200 } }, {}, false },
    this->clock.MonotonicNow());
  const std::vector<StoreFetchDelay> expected{ StoreFetchDelay{ "s", 3, 210 } };
  EXPECT_EQ(this->aggregator.TakeChanges(kSelf).excesses, expected);
  EXPECT_TRUE(this->aggregator.TakeChanges(kSelf).excesses.empty());
}

TEST_F(LoadReportAggregatorTest, ReturnsPartsOfAllHostsOnce)
{
  InFlightLoad first = Load("a", 1);
  first.parts = { SizedPart{ PartKey(1), TokenCount(800) } };
  InFlightLoad second = Load("a", 1);
  second.parts = { SizedPart{ PartKey(2), TokenCount(900) } };
  this->Update("x", { first });
  this->Update("y", { second });
  const LoadReport report = this->aggregator.TakeChanges(kSelf);
  ASSERT_EQ(report.sends.size(), 1U);
  EXPECT_EQ(report.sends.front().parts.size(), 2U);
  this->Update("x", { Load("a", 0) });
  EXPECT_TRUE(this->aggregator.TakeChanges(kSelf).sends.front().parts.empty());
}

TEST_F(LoadReportAggregatorTest, TotalsIncludeOtherControlHosts)
{
  this->Update("x", { Load("a", 2) });
  this->aggregator.UpdatePeerSum(
    LoadReport{ HostId("north"), { Load("a", 5), Load("b", 1) }, {}, {}, false },
    this->clock.MonotonicNow());
  EXPECT_EQ(this->aggregator.TakeChanges(kSelf).sends, std::vector<InFlightLoad>{ Load("a", 2) });
  const LoadReport totals = this->aggregator.TakeTotals(kSelf);
  EXPECT_EQ(totals.host, kSelf);
  EXPECT_EQ(totals.sends, (std::vector<InFlightLoad>{ Load("a", 7), Load("b", 1) }));
  EXPECT_TRUE(this->aggregator.TakeTotals(kSelf).sends.empty());
}

TEST_F(LoadReportAggregatorTest, RemovingASilentControlHostSubtractsItsLoad)
{
  this->Update("x", { Load("a", 2) });
  this->aggregator.UpdatePeerSum(LoadReport{ HostId("north"), { Load("a", 5) }, {}, {}, false },
                                 this->clock.MonotonicNow());
  this->aggregator.TakeTotals(kSelf);
  this->clock.Advance(std::chrono::seconds(3));
  this->aggregator.RemovePeersSilentSince(this->clock.MonotonicNow() - std::chrono::seconds(2));
  EXPECT_EQ(this->aggregator.TakeTotals(kSelf).sends, std::vector<InFlightLoad>{ Load("a", 2) });
}

TEST_F(LoadReportAggregatorTest, AllTotalsContainEveryTargetInUse)
{
  this->Update("x", { Load("a", 2) });
  this->aggregator.UpdatePeerSum(LoadReport{ HostId("north"), { Load("b", 1) }, {}, {}, false },
                                 this->clock.MonotonicNow());
  this->aggregator.TakeTotals(kSelf);
  EXPECT_EQ(this->aggregator.AllTotals(kSelf).sends,
            (std::vector<InFlightLoad>{ Load("a", 2), Load("b", 1) }));
}

TEST_F(LoadReportAggregatorTest, ReturnsFindingsOfAllHostsOnce)
{
  this->aggregator.Update(
    LoadReport{ HostId("x"), {}, {}, { TargetReachabilityReport{ TargetId("a"), 1, 0 } }, false },
    this->clock.MonotonicNow());
  this->aggregator.UpdatePeerSum(
    LoadReport{
      HostId("north"), {}, {}, { TargetReachabilityReport{ TargetId("a"), 2, 0 } }, false },
    this->clock.MonotonicNow());
  const std::vector<TargetReachabilityReport> expected{ TargetReachabilityReport{
    TargetId("a"), 3, 0 } };
  EXPECT_EQ(this->aggregator.TakeTotals(kSelf).findings, expected);
  EXPECT_TRUE(this->aggregator.TakeTotals(kSelf).findings.empty());
}

// 195 entry hosts in five zones with one control host each, and 98 targets. Each entry host reports
// changes at some targets. The totals that an entry host gets contain each target once, whatever
// the number of hosts.
TEST(LoadReportAggregatorLoadTest, TotalsDoNotGrowWithTheNumberOfHosts)
{
  constexpr int kTargets = 98;
  constexpr int kControlHosts = 5;
  const auto sizeOfTotals = [](int aEntryHosts) {
    ManualClock clock;
    std::vector<LoadReportAggregator> controlHosts(kControlHosts);
    for (int host = 0; host < aEntryHosts; ++host) {
      LoadReport report;
      report.host = HostId("entry-" + std::to_string(host));
      for (int sent = 0; sent < 3; ++sent) {
        report.sends.push_back(Load("target-" + std::to_string((host * 7 + sent) % kTargets), 1));
      }
      controlHosts[static_cast<std::size_t>(host % kControlHosts)].Update(report,
                                                                          clock.MonotonicNow());
    }
    for (std::size_t index = 1; index < kControlHosts; ++index) {
      const HostId name("hub-" + std::to_string(index));
      controlHosts.front().UpdatePeerSum(controlHosts[index].TakeChanges(name),
                                         clock.MonotonicNow());
    }
    std::uint64_t requests = 0;
    const LoadReport totals = controlHosts.front().TakeTotals(kSelf);
    for (const InFlightLoad& sends : totals.sends) {
      requests += sends.requests;
    }
    EXPECT_EQ(requests, static_cast<std::uint64_t>(aEntryHosts) * 3);
    return totals.sends.size();
  };
  EXPECT_LE(sizeOfTotals(195), static_cast<std::size_t>(kTargets));
  EXPECT_LE(sizeOfTotals(1000), static_cast<std::size_t>(kTargets));
}

} // namespace
} // namespace damasklink
