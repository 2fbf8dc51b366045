#include "program/ControlPicture.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

constexpr Duration kSilence = std::chrono::seconds(4);

TargetRecord
Record(const std::string& aId, std::uint64_t aSequence, std::uint16_t aPort = 8080)
{
  TargetRecord record;
  record.id = TargetId(aId);
  record.service = ServiceName("s");
  record.sequence = Sequence(aSequence);
  record.endpoint = Endpoint{ "10.1.0.9", aPort };
  record.models = { ServedModel{ ModelName("m"), WeightVersion("1"), {} } };
  return record;
}

class ControlPictureTest : public ::testing::Test
{
protected:
  ManualClock clock;
  ControlPicture picture{ this->clock, kSilence };
};

TEST_F(ControlPictureTest, HeartbeatThatSaysTheSameIsNoChange)
{
  this->picture.Hear(Record("t", 1));
  ASSERT_EQ(this->picture.TakeChanges().size(), 1U);
  this->picture.Hear(Record("t", 2));
  EXPECT_TRUE(this->picture.TakeChanges().empty());
}

TEST_F(ControlPictureTest, SilenceIsAChange)
{
  this->picture.Hear(Record("t", 1));
  this->picture.TakeChanges();
  this->clock.Advance(kSilence);
  const auto changes = this->picture.TakeChanges();
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes.front().standing, TargetAvailability::Silent);
}

TEST_F(ControlPictureTest, SignedOffTargetStaysGoneWhateverComesLate)
{
  this->picture.Hear(Record("t", 1));
  this->picture.Depart(TargetId("t"));
  this->picture.Hear(Record("t", 9));
  const auto changes = this->picture.TakeChanges();
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes.front().standing, TargetAvailability::Leaving);
}

TEST_F(ControlPictureTest, LaterTargetAtAnAddressTakesItOver)
{
  this->picture.Hear(Record("old", 5));
  this->picture.Hear(Record("new", 1));
  this->picture.TakeChanges();
  EXPECT_FALSE(this->picture.Registry().IsUsable(TargetId("old")));
  EXPECT_TRUE(this->picture.Registry().IsUsable(TargetId("new")));
}

TEST_F(ControlPictureTest, GhostAtAnAddressGivesItBackWithTheNextHeartbeat)
{
  this->picture.Hear(Record("new", 1));
  this->picture.Hear(Record("old", 5));
  this->picture.Hear(Record("new", 2));
  EXPECT_TRUE(this->picture.Registry().IsUsable(TargetId("new")));
}

TEST_F(ControlPictureTest, OnlyWhatWasHeardDirectlyIsPassedOn)
{
  this->picture.Hear(Record("direct", 1, 1));
  this->picture.HearSecondHand(Record("second", 1, 2));
  const auto news = this->picture.TakeNews();
  ASSERT_EQ(news.size(), 1U);
  EXPECT_EQ(news.front().record.id, TargetId("direct"));
  EXPECT_TRUE(this->picture.TakeNews().empty());
}

TEST_F(ControlPictureTest, ReportedWeightsGoBeforeThoseOfOlderHeartbeats)
{
  this->picture.Hear(Record("t", 1));
  this->picture.TakeChanges();
  this->picture.SetReported({ { { TargetId("t"), ModelName("m") }, 2 } });
  const auto changes = this->picture.TakeChanges();
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes.front().record.models.front().version, WeightVersion("2"));
}

TEST_F(ControlPictureTest, TargetThatStartsAgainUnderItsIdCountsItsHeartbeatsAnew)
{
  TargetRecord earlier = Record("t", 50);
  earlier.incarnation = Incarnation(1000);
  this->picture.Hear(earlier);
  this->picture.Depart(TargetId("t"), Incarnation(1000));
  TargetRecord later = Record("t", 1);
  later.incarnation = Incarnation(2000);
  this->picture.Hear(later);
  // Both of these come late.
  this->picture.Hear(earlier);
  this->picture.Depart(TargetId("t"), Incarnation(1000));
  const auto changes = this->picture.TakeChanges();
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes.front().standing, TargetAvailability::Usable);
  EXPECT_EQ(changes.front().record.incarnation, Incarnation(2000));
}

TEST_F(ControlPictureTest, EnginesAreListedAsTheyAreNow)
{
  this->picture.Hear(Record("a", 1, 1));
  this->picture.Hear(Record("b", 1, 2));
  TargetRecord service = Record("c", 1, 3);
  service.kind = TargetKind::Service;
  this->picture.Hear(service);
  EXPECT_EQ(this->picture.UsableEngines().size(), 2U);
  this->clock.Advance(kSilence / 2);
  this->picture.Hear(Record("b", 2, 2));
  this->clock.Advance(kSilence / 2);
  ASSERT_EQ(this->picture.UsableEngines().size(), 1U);
  EXPECT_EQ(this->picture.UsableEngines().front().id, TargetId("b"));
  EXPECT_EQ(this->picture.RemainingEngines().size(), 2U);
  this->picture.Depart(TargetId("a"));
  EXPECT_EQ(this->picture.RemainingEngines().size(), 1U);
  TargetRecord newer = Record("b", 3, 2);
  newer.models.front().version = WeightVersion("2");
  this->picture.Hear(newer);
  EXPECT_EQ(this->picture.UsableEngines().front().models.front().version, WeightVersion("2"));
}

TEST_F(ControlPictureTest, PauseIsToldOnceAndTakenBackOnce)
{
  this->picture.Hear(Record("t", 1));
  this->picture.TakeChanges();
  for (const bool paused : { true, false }) {
    const std::set<TargetId> targets{ TargetId("t") };
    this->picture.SetPaused(paused ? targets : std::set<TargetId>());
    const auto changes = this->picture.TakeChanges();
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes.front().paused, paused);
    EXPECT_TRUE(this->picture.TakeChanges().empty());
  }
}

TEST_F(ControlPictureTest, WriterOfAServiceThatNobodyNamedLeavesTheOthersAsTheyAre)
{
  this->picture.SetServices({ ServiceName("s") });
  this->picture.Hear(Record("t", 1));
  TargetRecord foreign = Record("t", 99);
  foreign.service = ServiceName("other");
  EXPECT_FALSE(this->picture.Hear(foreign));
  const auto changes = this->picture.TakeChanges();
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes.front().standing, TargetAvailability::Usable);
  EXPECT_EQ(changes.front().record.service, ServiceName("s"));
}

TEST_F(ControlPictureTest, TargetOfAServiceThatWasDroppedMayStillSignOff)
{
  this->picture.Hear(Record("t", 1));
  this->picture.SetServices({ ServiceName("other") });
  TargetRecord leaving = Record("t", 2);
  leaving.leaving = true;
  EXPECT_TRUE(this->picture.Hear(leaving));
}

TEST_F(ControlPictureTest, ColdTargetsAreTold)
{
  const ColdStartSpec traits{ RequestRate{ 16 }, std::chrono::seconds(3) };
  this->picture.SetColdTraits({ { ServiceName("s"), traits } });
  TargetRecord record = Record("t", 1);
  record.coldFor = std::chrono::seconds(2);
  this->picture.Hear(record);
  const std::vector<ColdTarget> cold = this->picture.TakeCold();
  ASSERT_EQ(cold.size(), 1U);
  EXPECT_EQ(cold[0], (ColdTarget{ TargetId("t"), Incarnation(), record.coldFor, traits.rate }));
  EXPECT_TRUE(this->picture.TakeCold().empty());
}

TEST_F(ControlPictureTest, TargetsOfServicesThatDeclareNoRateAreNeverCold)
{
  TargetRecord record = Record("t", 1);
  record.coldFor = std::chrono::seconds(2);
  this->picture.Hear(record);
  EXPECT_TRUE(this->picture.TakeCold().empty());
}

TEST_F(ControlPictureTest, TargetsOfAZoneThatIsGivenBackCountAsCold)
{
  const ColdStartSpec traits{ RequestRate{ 16 }, std::chrono::seconds(3) };
  this->picture.SetColdTraits({ { ServiceName("s"), traits } });
  TargetRecord here = Record("here", 1);
  here.zone = ZoneId("hall");
  this->picture.Hear(here);
  this->picture.Hear(Record("elsewhere", 1, 8081));
  this->picture.OnZoneReturned(here.zone);
  const std::vector<ColdTarget> cold = this->picture.TakeCold();
  ASSERT_EQ(cold.size(), 1U);
  EXPECT_EQ(cold[0].target, here.id);
  EXPECT_EQ(cold[0].coldFor, traits.lasts);
}

} // namespace
} // namespace damasklink
