#include "damasklink/coordination/TargetDirectory.h"

#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace damasklink {
namespace {

const HostId kFirst("control-1");
const HostId kSecond("control-2");
const ServiceName kService("s");

TargetStatement
Say(const std::string& aTarget, std::uint64_t aSequence, TargetStanding aStanding)
{
  TargetStatement statement;
  statement.record.id = TargetId(aTarget);
  statement.record.service = kService;
  statement.record.sequence = Sequence(aSequence);
  statement.standing = aStanding;
  return statement;
}

class TargetDirectoryTest : public ::testing::Test
{
protected:
  TargetDirectoryTest()
  {
    this->board.OnLink(kFirst, true);
    this->board.OnLink(kSecond, true);
  }

  std::size_t Usable() const { return this->board.Usable(kService).size(); }

  TargetDirectory board;
};

TEST_F(TargetDirectoryTest, ReportedTargetIsUsable)
{
  this->board.Take(kFirst, Say("t", 1, TargetStanding::Usable));
  EXPECT_EQ(this->Usable(), 1U);
  EXPECT_TRUE(this->board.Usable(ServiceName("other")).empty());
}

TEST_F(TargetDirectoryTest, LeavingTargetStaysRemoved)
{
  this->board.Take(kFirst, Say("t", 5, TargetStanding::Leaving));
  this->board.Take(kSecond, Say("t", 6, TargetStanding::Usable));
  EXPECT_EQ(this->Usable(), 0U);
}

TEST_F(TargetDirectoryTest, TargetIsUsableWhileAnyConnectedHostReportsIt)
{
  this->board.Take(kFirst, Say("t", 5, TargetStanding::Silent));
  this->board.Take(kSecond, Say("t", 5, TargetStanding::Usable));
  this->board.Take(kFirst, Say("u", 5, TargetStanding::Usable));
  EXPECT_EQ(this->Usable(), 2U);
}

TEST_F(TargetDirectoryTest, ConnectedHostOverridesDisconnectedOne)
{
  this->board.Take(kFirst, Say("t", 5, TargetStanding::Silent));
  this->board.Take(kFirst, Say("u", 5, TargetStanding::Usable));
  this->board.Take(kSecond, Say("t", 4, TargetStanding::Usable));
  this->board.OnLink(kSecond, false);
  EXPECT_EQ(this->Usable(), 1U);
}

TEST_F(TargetDirectoryTest, LastReportsCountWithoutConnectedHosts)
{
  this->board.Take(kFirst, Say("t", 5, TargetStanding::Usable));
  this->board.OnLink(kFirst, false);
  this->board.OnLink(kSecond, false);
  EXPECT_EQ(this->Usable(), 1U);
}

TEST_F(TargetDirectoryTest, SilentTargetsAreUsedWithoutAlternatives)
{
  this->board.Take(kFirst, Say("t", 5, TargetStanding::Silent));
  EXPECT_EQ(this->Usable(), 1U);
}

TEST_F(TargetDirectoryTest, PausedTargetIsUnusedWhileAnotherIsUsable)
{
  TargetStatement paused = Say("t", 5, TargetStanding::Usable);
  paused.paused = true;
  this->board.Take(kFirst, paused);
  this->board.Take(kFirst, Say("u", 5, TargetStanding::Usable));
  ASSERT_EQ(this->Usable(), 1U);
  EXPECT_EQ(this->board.Usable(kService).front().id, TargetId("u"));
}

TEST_F(TargetDirectoryTest, MarkRemovedHidesTheTarget)
{
  this->board.Take(kFirst, Say("t", 5, TargetStanding::Usable));
  this->board.MarkRemoved(TargetId("t"));
  EXPECT_EQ(this->Usable(), 0U);
  EXPECT_EQ(this->board.Find(TargetId("t")), nullptr);
}

TEST_F(TargetDirectoryTest, OldestRemovedTargetsAreForgotten)
{
  for (std::size_t number = 0; number <= TargetDirectory::kMaxRemoved; ++number) {
    const std::string id = "t" + std::to_string(number);
    this->board.Take(kFirst, Say(id, 1, TargetStanding::Usable));
    this->board.MarkRemoved(TargetId(id));
  }
  // The oldest one is forgotten, the next one is not.
  this->board.Take(kFirst, Say("t0", 2, TargetStanding::Usable));
  this->board.Take(kFirst, Say("t1", 2, TargetStanding::Usable));
  ASSERT_EQ(this->Usable(), 1U);
  EXPECT_EQ(this->board.Usable(kService).front().id, TargetId("t0"));
}

TEST_F(TargetDirectoryTest, OlderRecordDoesNotReplaceTheNewerOne)
{
  TargetStatement newer = Say("t", 5, TargetStanding::Usable);
  newer.record.load.slots = 7;
  this->board.Take(kFirst, newer);
  this->board.Take(kSecond, Say("t", 4, TargetStanding::Usable));
  EXPECT_EQ(this->board.Find(TargetId("t"))->load.slots, 7U);
}

TargetStatement
SayOf(std::uint64_t aStart, std::uint64_t aSequence, TargetStanding aStanding)
{
  TargetStatement statement = Say("t", aSequence, aStanding);
  statement.record.incarnation = Incarnation(aStart);
  return statement;
}

TEST_F(TargetDirectoryTest, RestartedTargetIsUsableAfterLeaving)
{
  this->board.Take(kFirst, SayOf(1000, 50, TargetStanding::Leaving));
  this->board.Take(kSecond, SayOf(2000, 1, TargetStanding::Usable));
  EXPECT_EQ(this->Usable(), 1U);
  ASSERT_EQ(this->board.TakeRestarted().size(), 1U);
  EXPECT_TRUE(this->board.TakeRestarted().empty());
}

TEST_F(TargetDirectoryTest, StatementsOfAnEarlierIncarnationAreIgnored)
{
  this->board.Take(kFirst, SayOf(2000, 1, TargetStanding::Usable));
  this->board.Take(kSecond, SayOf(1000, 50, TargetStanding::Leaving));
  EXPECT_EQ(this->Usable(), 1U);
  EXPECT_EQ(this->board.Find(TargetId("t"))->sequence, Sequence(1));
  EXPECT_TRUE(this->board.TakeRestarted().empty());
}

TEST_F(TargetDirectoryTest, RemovedTargetReturnsWithItsNextIncarnation)
{
  this->board.Take(kFirst, SayOf(1000, 5, TargetStanding::Usable));
  this->board.MarkRemoved(TargetId("t"));
  this->board.Take(kFirst, SayOf(1000, 6, TargetStanding::Usable));
  EXPECT_EQ(this->Usable(), 0U);
  this->board.Take(kFirst, SayOf(2000, 1, TargetStanding::Usable));
  EXPECT_EQ(this->Usable(), 1U);
}

TEST_F(TargetDirectoryTest, DiscoveredTargetsAreReturnedOnce)
{
  this->board.Take(kFirst, Say("t", 1, TargetStanding::Usable));
  this->board.Take(kSecond, Say("t", 2, TargetStanding::Usable));
  this->board.Take(kFirst, Say("old", 1, TargetStanding::Silent));
  const std::vector<TargetRecord> appeared = this->board.TakeDiscovered();
  ASSERT_EQ(appeared.size(), 1U);
  EXPECT_EQ(appeared[0].id, TargetId("t"));
  EXPECT_TRUE(this->board.TakeDiscovered().empty());
}

TEST_F(TargetDirectoryTest, ZoneIsMostlySilentAboveHalf)
{
  this->board.Take(kFirst, Say("a", 1, TargetStanding::Usable));
  this->board.Take(kFirst, Say("b", 1, TargetStanding::Silent));
  EXPECT_FALSE(this->board.IsMostlySilent(ZoneId()));
  this->board.Take(kFirst, Say("c", 1, TargetStanding::Silent));
  EXPECT_TRUE(this->board.IsMostlySilent(ZoneId()));
}

// Whatever was said before a start was first stated, and whatever is said late of earlier ones, the
// board holds what is said of the newest start alone.
RC_GTEST_PROP(TargetDirectoryProperty, EarlierIncarnationsLeaveNoTrace, ())
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
  TargetDirectory all;
  TargetDirectory newestOnly;
  for (TargetDirectory* board : { &all, &newestOnly }) {
    board->OnLink(kFirst, true);
    board->OnLink(kSecond, true);
  }
  for (const Saying& said : sayings) {
    const HostId& host = said.second ? kSecond : kFirst;
    const auto standing = static_cast<TargetStanding>(said.standing);
    all.Take(host, SayOf(said.start, said.sequence, standing));
    if (said.start == newest) {
      newestOnly.Take(host, SayOf(said.start, said.sequence, standing));
    }
  }
  RC_ASSERT(all.Usable(kService) == newestOnly.Usable(kService));
}

TEST_F(TargetDirectoryTest, EvacuatedZoneIsUnusableEvenWithoutAlternatives)
{
  const ZoneId zone("hall");
  TargetStatement statement = Say("t", 1, TargetStanding::Usable);
  statement.record.zone = zone;
  this->board.Take(kFirst, statement);
  this->board.SetEvacuated({ zone });
  EXPECT_EQ(this->Usable(), 0U);
  EXPECT_EQ(this->board.InZone(zone).size(), 1U);
  this->board.Take(kFirst, Say("u", 1, TargetStanding::Usable));
  EXPECT_EQ(this->Usable(), 1U);
  this->board.SetEvacuated({});
  EXPECT_EQ(this->Usable(), 2U);
}

} // namespace
} // namespace damasklink
