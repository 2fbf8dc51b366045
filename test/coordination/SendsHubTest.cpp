#include "damasklink/coordination/SendsHub.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

const HostId kSelf("hub");

InFlightLoad
Sends(const std::string& aTarget, std::uint64_t aRequests)
{
  return InFlightLoad{ TargetId(aTarget), aRequests, TokenCount(aRequests * 10), TokenCount(), {} };
}

class SendsHubTest : public testing::Test
{
protected:
  void Take(const std::string& aHost, std::vector<InFlightLoad> aSends)
  {
    this->hub.Take(LoadReport{ HostId(aHost), std::move(aSends), {}, {}, false },
                   this->clock.MonotonicNow());
  }

  ManualClock clock;
  SendsHub hub;
};

TEST_F(SendsHubTest, HostsAreAddedUp)
{
  this->Take("x", { Sends("a", 2) });
  this->Take("y", { Sends("a", 3), Sends("b", 1) });
  const LoadReport news = this->hub.TakeChanges(kSelf);
  EXPECT_EQ(news.host, kSelf);
  EXPECT_EQ(news.sends, (std::vector<InFlightLoad>{ Sends("a", 5), Sends("b", 1) }));
}

TEST_F(SendsHubTest, OnlyWhatHasChangedIsToldAgain)
{
  this->Take("x", { Sends("a", 2), Sends("b", 1) });
  this->hub.TakeChanges(kSelf);
  EXPECT_TRUE(this->hub.TakeChanges(kSelf).sends.empty());
  this->Take("x", { Sends("b", 4) });
  EXPECT_EQ(this->hub.TakeChanges(kSelf).sends, std::vector<InFlightLoad>{ Sends("b", 4) });
}

TEST_F(SendsHubTest, LaterWordsOfAHostTakeThePlaceOfEarlierOnes)
{
  this->Take("x", { Sends("a", 2) });
  this->Take("x", { Sends("a", 1) });
  EXPECT_EQ(this->hub.TakeChanges(kSelf).sends, std::vector<InFlightLoad>{ Sends("a", 1) });
}

TEST_F(SendsHubTest, HostThatIsGoneTakesItsShareAlong)
{
  this->Take("x", { Sends("a", 2) });
  this->Take("y", { Sends("a", 3) });
  this->hub.TakeChanges(kSelf);
  this->hub.Forget(HostId("x"));
  EXPECT_EQ(this->hub.TakeChanges(kSelf).sends, std::vector<InFlightLoad>{ Sends("a", 3) });
  EXPECT_EQ(this->hub.Tellers(), std::set<HostId>{ HostId("y") });
}

TEST_F(SendsHubTest, HostThatTellsAnotherFromNowOnCountsNoMore)
{
  this->Take("x", { Sends("a", 2) });
  this->hub.Take(LoadReport{ HostId("x"), {}, {}, {}, true }, this->clock.MonotonicNow());
  EXPECT_TRUE(this->hub.Tellers().empty());
  EXPECT_EQ(this->hub.TakeChanges(kSelf).sends, std::vector<InFlightLoad>{ Sends("a", 0) });
}

TEST_F(SendsHubTest, ExcessesOfStoresAreAddedUpOnce)
{
  this->hub.Take(LoadReport{ HostId("x"), {}, { StoreFetchDelay{ "s", 2, 10 } }, {}, false },
                 this->clock.MonotonicNow());
  this->hub.Take(LoadReport{ HostId("y"), {}, { StoreFetchDelay{ "s", 1, 200 } }, {}, false },
                 this->clock.MonotonicNow());
  const std::vector<StoreFetchDelay> expected{ StoreFetchDelay{ "s", 3, 210 } };
  EXPECT_EQ(this->hub.TakeChanges(kSelf).excesses, expected);
  EXPECT_TRUE(this->hub.TakeChanges(kSelf).excesses.empty());
}

TEST_F(SendsHubTest, PartsOfAllHostsAreToldOnce)
{
  InFlightLoad first = Sends("a", 1);
  first.parts = { SizedPart{ PartKey(1), TokenCount(800) } };
  InFlightLoad second = Sends("a", 1);
  second.parts = { SizedPart{ PartKey(2), TokenCount(900) } };
  this->Take("x", { first });
  this->Take("y", { second });
  const LoadReport news = this->hub.TakeChanges(kSelf);
  ASSERT_EQ(news.sends.size(), 1U);
  EXPECT_EQ(news.sends.front().parts.size(), 2U);
  this->Take("x", { Sends("a", 0) });
  EXPECT_TRUE(this->hub.TakeChanges(kSelf).sends.front().parts.empty());
}

TEST_F(SendsHubTest, EntryHostsAreToldOneTotalOfAllControlHosts)
{
  this->Take("x", { Sends("a", 2) });
  this->hub.TakeSum(LoadReport{ HostId("north"), { Sends("a", 5), Sends("b", 1) }, {}, {}, false },
                    this->clock.MonotonicNow());
  EXPECT_EQ(this->hub.TakeChanges(kSelf).sends, std::vector<InFlightLoad>{ Sends("a", 2) });
  const LoadReport totals = this->hub.TakeTotals(kSelf);
  EXPECT_EQ(totals.host, kSelf);
  EXPECT_EQ(totals.sends, (std::vector<InFlightLoad>{ Sends("a", 7), Sends("b", 1) }));
  EXPECT_TRUE(this->hub.TakeTotals(kSelf).sends.empty());
}

TEST_F(SendsHubTest, ControlHostThatFallsSilentTakesItsShareAlong)
{
  this->Take("x", { Sends("a", 2) });
  this->hub.TakeSum(LoadReport{ HostId("north"), { Sends("a", 5) }, {}, {}, false },
                    this->clock.MonotonicNow());
  this->hub.TakeTotals(kSelf);
  this->clock.Advance(std::chrono::seconds(3));
  this->hub.ForgetSumsBefore(this->clock.MonotonicNow() - std::chrono::seconds(2));
  EXPECT_EQ(this->hub.TakeTotals(kSelf).sends, std::vector<InFlightLoad>{ Sends("a", 2) });
}

TEST_F(SendsHubTest, NewTellerIsToldAllTotals)
{
  this->Take("x", { Sends("a", 2) });
  this->hub.TakeSum(LoadReport{ HostId("north"), { Sends("b", 1) }, {}, {}, false },
                    this->clock.MonotonicNow());
  this->hub.TakeTotals(kSelf);
  EXPECT_EQ(this->hub.AllTotals(kSelf).sends,
            (std::vector<InFlightLoad>{ Sends("a", 2), Sends("b", 1) }));
}

TEST_F(SendsHubTest, FindingsOfAllAreToldOnceToEntryHosts)
{
  this->hub.Take(
    LoadReport{ HostId("x"), {}, {}, { TargetReachabilityReport{ TargetId("a"), 1, 0 } }, false },
    this->clock.MonotonicNow());
  this->hub.TakeSum(
    LoadReport{
      HostId("north"), {}, {}, { TargetReachabilityReport{ TargetId("a"), 2, 0 } }, false },
    this->clock.MonotonicNow());
  const std::vector<TargetReachabilityReport> expected{ TargetReachabilityReport{
    TargetId("a"), 3, 0 } };
  EXPECT_EQ(this->hub.TakeTotals(kSelf).findings, expected);
  EXPECT_TRUE(this->hub.TakeTotals(kSelf).findings.empty());
}

// The load: 195 entry hosts in five zones, one control host in each, 98 targets. In every step each
// host has something new of some targets. What an entry host hears in a step is one message with
// each target once, whatever the number of hosts.
TEST(SendsHubLoadTest, WhatAnEntryHostHearsDoesNotGrowWithTheNumberOfHosts)
{
  constexpr int kTargets = 98;
  constexpr int kHubs = 5;
  const auto heardOf = [](int aEntryHosts) {
    ManualClock clock;
    std::vector<SendsHub> hubs(kHubs);
    for (int host = 0; host < aEntryHosts; ++host) {
      LoadReport news;
      news.host = HostId("entry-" + std::to_string(host));
      for (int sent = 0; sent < 3; ++sent) {
        news.sends.push_back(Sends("target-" + std::to_string((host * 7 + sent) % kTargets), 1));
      }
      hubs[static_cast<std::size_t>(host % kHubs)].Take(news, clock.MonotonicNow());
    }
    for (std::size_t hub = 1; hub < kHubs; ++hub) {
      const HostId name("hub-" + std::to_string(hub));
      hubs.front().TakeSum(hubs[hub].TakeChanges(name), clock.MonotonicNow());
    }
    std::uint64_t requests = 0;
    const LoadReport totals = hubs.front().TakeTotals(kSelf);
    for (const InFlightLoad& sends : totals.sends) {
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
