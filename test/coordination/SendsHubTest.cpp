#include "damasklink/coordination/SendsHub.h"

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

class SendsHubTest : public testing::Test
{
protected:
  void Take(const std::string& aHost, std::vector<TargetSendsNow> aSends)
  {
    this->hub.Take(SendsNews{ HostId(aHost), std::move(aSends), {}, {}, false },
                   this->clock.MonotonicNow());
  }

  ManualClock clock;
  SendsHub hub;
};

TEST_F(SendsHubTest, HostsAreAddedUp)
{
  this->Take("x", { Sends("a", 2) });
  this->Take("y", { Sends("a", 3), Sends("b", 1) });
  const SendsNews news = this->hub.TakeChanges(kSelf);
  EXPECT_EQ(news.host, kSelf);
  EXPECT_EQ(news.sends, (std::vector<TargetSendsNow>{ Sends("a", 5), Sends("b", 1) }));
}

TEST_F(SendsHubTest, OnlyWhatHasChangedIsToldAgain)
{
  this->Take("x", { Sends("a", 2), Sends("b", 1) });
  this->hub.TakeChanges(kSelf);
  EXPECT_TRUE(this->hub.TakeChanges(kSelf).sends.empty());
  this->Take("x", { Sends("b", 4) });
  EXPECT_EQ(this->hub.TakeChanges(kSelf).sends, std::vector<TargetSendsNow>{ Sends("b", 4) });
}

TEST_F(SendsHubTest, LaterWordsOfAHostTakeThePlaceOfEarlierOnes)
{
  this->Take("x", { Sends("a", 2) });
  this->Take("x", { Sends("a", 1) });
  EXPECT_EQ(this->hub.TakeChanges(kSelf).sends, std::vector<TargetSendsNow>{ Sends("a", 1) });
}

TEST_F(SendsHubTest, HostThatIsGoneTakesItsShareAlong)
{
  this->Take("x", { Sends("a", 2) });
  this->Take("y", { Sends("a", 3) });
  this->hub.TakeChanges(kSelf);
  this->hub.Forget(HostId("x"));
  EXPECT_EQ(this->hub.TakeChanges(kSelf).sends, std::vector<TargetSendsNow>{ Sends("a", 3) });
  EXPECT_EQ(this->hub.Tellers(), std::set<HostId>{ HostId("y") });
}

TEST_F(SendsHubTest, HostThatTellsAnotherFromNowOnCountsNoMore)
{
  this->Take("x", { Sends("a", 2) });
  this->hub.Take(SendsNews{ HostId("x"), {}, {}, {}, true }, this->clock.MonotonicNow());
  EXPECT_TRUE(this->hub.Tellers().empty());
  EXPECT_EQ(this->hub.TakeChanges(kSelf).sends, std::vector<TargetSendsNow>{ Sends("a", 0) });
}

TEST_F(SendsHubTest, ExcessesOfStoresAreAddedUpOnce)
{
  this->hub.Take(SendsNews{ HostId("x"), {}, { StoreExcess{ "s", 2, 10 } }, {}, false },
                 this->clock.MonotonicNow());
  this->hub.Take(SendsNews{ HostId("y"), {}, { StoreExcess{ "s", 1, 200 } }, {}, false },
                 this->clock.MonotonicNow());
  const std::vector<StoreExcess> expected{ StoreExcess{ "s", 3, 210 } };
  EXPECT_EQ(this->hub.TakeChanges(kSelf).excesses, expected);
  EXPECT_TRUE(this->hub.TakeChanges(kSelf).excesses.empty());
}

TEST_F(SendsHubTest, PartsOfAllHostsAreToldOnce)
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

} // namespace
} // namespace damasklink
