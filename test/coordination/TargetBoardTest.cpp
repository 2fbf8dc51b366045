#include "damasklink/coordination/TargetBoard.h"

#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace damasklink {
namespace {

const HostId kFirst("control-1");
const HostId kSecond("control-2");
const ServiceName kService("s");

TargetUpdate
Say(const std::string& aTarget, std::uint64_t aSequence, TargetAvailability aStanding)
{
  TargetUpdate statement;
  statement.record.id = TargetId(aTarget);
  statement.record.service = kService;
  statement.record.sequence = Sequence(aSequence);
  statement.standing = aStanding;
  return statement;
}

class TargetBoardTest : public ::testing::Test
{
protected:
  TargetBoardTest()
  {
    this->board.OnLink(kFirst, true);
    this->board.OnLink(kSecond, true);
  }

  std::size_t Usable() const { return this->board.Usable(kService).size(); }

  TargetBoard board;
};

TEST_F(TargetBoardTest, StatedTargetIsUsable)
{
  this->board.Take(kFirst, Say("t", 1, TargetAvailability::Usable));
  EXPECT_EQ(this->Usable(), 1U);
  EXPECT_TRUE(this->board.Usable(ServiceName("other")).empty());
}

TEST_F(TargetBoardTest, WhatLeftStaysGone)
{
  this->board.Take(kFirst, Say("t", 5, TargetAvailability::Leaving));
  this->board.Take(kSecond, Say("t", 6, TargetAvailability::Usable));
  EXPECT_EQ(this->Usable(), 0U);
}

TEST_F(TargetBoardTest, UsableWhileOneConnectedHostSaysSo)
{
  this->board.Take(kFirst, Say("t", 5, TargetAvailability::Silent));
  this->board.Take(kSecond, Say("t", 5, TargetAvailability::Usable));
  this->board.Take(kFirst, Say("u", 5, TargetAvailability::Usable));
  EXPECT_EQ(this->Usable(), 2U);
}

TEST_F(TargetBoardTest, WordOfALostHostYieldsToThatOfAConnectedOne)
{
  this->board.Take(kFirst, Say("t", 5, TargetAvailability::Silent));
  this->board.Take(kFirst, Say("u", 5, TargetAvailability::Usable));
  this->board.Take(kSecond, Say("t", 4, TargetAvailability::Usable));
  this->board.OnLink(kSecond, false);
  EXPECT_EQ(this->Usable(), 1U);
}

TEST_F(TargetBoardTest, CutOffHostGoesOnWithTheLastWords)
{
  this->board.Take(kFirst, Say("t", 5, TargetAvailability::Usable));
  this->board.OnLink(kFirst, false);
  this->board.OnLink(kSecond, false);
  EXPECT_EQ(this->Usable(), 1U);
}

TEST_F(TargetBoardTest, SilentTargetsServeWhenThereAreNoOthers)
{
  this->board.Take(kFirst, Say("t", 5, TargetAvailability::Silent));
  EXPECT_EQ(this->Usable(), 1U);
}

TEST_F(TargetBoardTest, PausedTargetGetsNothingWhileAnotherServes)
{
  TargetUpdate paused = Say("t", 5, TargetAvailability::Usable);
  paused.paused = true;
  this->board.Take(kFirst, paused);
  this->board.Take(kFirst, Say("u", 5, TargetAvailability::Usable));
  ASSERT_EQ(this->Usable(), 1U);
  EXPECT_EQ(this->board.Usable(kService).front().id, TargetId("u"));
}

TEST_F(TargetBoardTest, TargetThatAnotherOneReplacedIsGone)
{
  this->board.Take(kFirst, Say("t", 5, TargetAvailability::Usable));
  this->board.NoteGone(TargetId("t"));
  EXPECT_EQ(this->Usable(), 0U);
  EXPECT_EQ(this->board.Find(TargetId("t")), nullptr);
}

TEST_F(TargetBoardTest, MemoryOfWhatIsGoneIsBounded)
{
  for (std::size_t number = 0; number <= TargetBoard::kMostGone; ++number) {
    const std::string id = "t" + std::to_string(number);
    this->board.Take(kFirst, Say(id, 1, TargetAvailability::Usable));
    this->board.NoteGone(TargetId(id));
  }
  // The oldest one is forgotten, the next one is not.
  this->board.Take(kFirst, Say("t0", 2, TargetAvailability::Usable));
  this->board.Take(kFirst, Say("t1", 2, TargetAvailability::Usable));
  ASSERT_EQ(this->Usable(), 1U);
  EXPECT_EQ(this->board.Usable(kService).front().id, TargetId("t0"));
}

TEST_F(TargetBoardTest, OlderRecordDoesNotReplaceTheNewerOne)
{
  TargetUpdate newer = Say("t", 5, TargetAvailability::Usable);
  newer.record.load.slots = 7;
  this->board.Take(kFirst, newer);
  this->board.Take(kSecond, Say("t", 4, TargetAvailability::Usable));
  EXPECT_EQ(this->board.Find(TargetId("t"))->load.slots, 7U);
}

TargetUpdate
SayOf(std::uint64_t aStart, std::uint64_t aSequence, TargetAvailability aStanding)
{
  TargetUpdate statement = Say("t", aSequence, aStanding);
  statement.record.incarnation = Incarnation(aStart);
  return statement;
}

TEST_F(TargetBoardTest, TargetThatStartsAgainUnderItsIdIsUsableThoughItHadLeft)
{
  this->board.Take(kFirst, SayOf(1000, 50, TargetAvailability::Leaving));
  this->board.Take(kSecond, SayOf(2000, 1, TargetAvailability::Usable));
  EXPECT_EQ(this->Usable(), 1U);
  ASSERT_EQ(this->board.TakeRestarted().size(), 1U);
  EXPECT_TRUE(this->board.TakeRestarted().empty());
}

TEST_F(TargetBoardTest, WordsOfAnEarlierStartChangeNothing)
{
  this->board.Take(kFirst, SayOf(2000, 1, TargetAvailability::Usable));
  this->board.Take(kSecond, SayOf(1000, 50, TargetAvailability::Leaving));
  EXPECT_EQ(this->Usable(), 1U);
  EXPECT_EQ(this->board.Find(TargetId("t"))->sequence, Sequence(1));
  EXPECT_TRUE(this->board.TakeRestarted().empty());
}

TEST_F(TargetBoardTest, TargetThatWasFoundGoneComesBackWithItsNextStart)
{
  this->board.Take(kFirst, SayOf(1000, 5, TargetAvailability::Usable));
  this->board.NoteGone(TargetId("t"));
  this->board.Take(kFirst, SayOf(1000, 6, TargetAvailability::Usable));
  EXPECT_EQ(this->Usable(), 0U);
  this->board.Take(kFirst, SayOf(2000, 1, TargetAvailability::Usable));
  EXPECT_EQ(this->Usable(), 1U);
}

TEST_F(TargetBoardTest, TargetsThatAppearAreToldOnce)
{
  this->board.Take(kFirst, Say("t", 1, TargetAvailability::Usable));
  this->board.Take(kSecond, Say("t", 2, TargetAvailability::Usable));
  this->board.Take(kFirst, Say("old", 1, TargetAvailability::Silent));
  const std::vector<TargetRecord> appeared = this->board.TakeAppeared();
  ASSERT_EQ(appeared.size(), 1U);
  EXPECT_EQ(appeared[0].id, TargetId("t"));
  EXPECT_TRUE(this->board.TakeAppeared().empty());
}

TEST_F(TargetBoardTest, AZoneIsMostlySilentWhenMoreThanHalfOfItIs)
{
  this->board.Take(kFirst, Say("a", 1, TargetAvailability::Usable));
  this->board.Take(kFirst, Say("b", 1, TargetAvailability::Silent));
  EXPECT_FALSE(this->board.IsMostlySilent(ZoneId()));
  this->board.Take(kFirst, Say("c", 1, TargetAvailability::Silent));
  EXPECT_TRUE(this->board.IsMostlySilent(ZoneId()));
}

// Whatever was said before a start was first stated, and whatever is said late of earlier ones, the
// board holds what is said of the newest start alone.
RC_GTEST_PROP(TargetBoardProperty, EarlierStartsLeaveNoTrace, ())
{
  struct Saying
  {
    unsigned start;
    unsigned sequence;
    unsigned standing;
    bool second;
  };
  const auto saying = rc::gen::construct<Saying>(rc::gen::inRange(1U, 4U),
                                                 rc::gen::inRange(1U, 6U),
                                                 rc::gen::inRange(1U, 4U),
                                                 rc::gen::arbitrary<bool>());
  const auto sayings = *rc::gen::nonEmpty(rc::gen::container<std::vector<Saying>>(saying));
  unsigned newest = 0;
  for (const Saying& said : sayings) {
    newest = std::max(newest, said.start);
  }
  TargetBoard all;
  TargetBoard newestOnly;
  for (TargetBoard* board : { &all, &newestOnly }) {
    board->OnLink(kFirst, true);
    board->OnLink(kSecond, true);
  }
  for (const Saying& said : sayings) {
    const HostId& host = said.second ? kSecond : kFirst;
    const auto standing = static_cast<TargetAvailability>(said.standing);
    all.Take(host, SayOf(said.start, said.sequence, standing));
    if (said.start == newest) {
      newestOnly.Take(host, SayOf(said.start, said.sequence, standing));
    }
  }
  RC_ASSERT(all.Usable(kService) == newestOnly.Usable(kService));
}

TEST_F(TargetBoardTest, TargetsOfAnEvacuatedZoneAreNoChoiceEvenWithoutOthers)
{
  const ZoneId zone("hall");
  TargetUpdate statement = Say("t", 1, TargetAvailability::Usable);
  statement.record.zone = zone;
  this->board.Take(kFirst, statement);
  this->board.SetEvacuated({ zone });
  EXPECT_EQ(this->Usable(), 0U);
  EXPECT_EQ(this->board.InZone(zone).size(), 1U);
  this->board.Take(kFirst, Say("u", 1, TargetAvailability::Usable));
  EXPECT_EQ(this->Usable(), 1U);
  this->board.SetEvacuated({});
  EXPECT_EQ(this->Usable(), 2U);
}

} // namespace
} // namespace damasklink
