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
MakeUpdate(const std::string& aTarget, std::uint64_t aSequence, TargetStanding aStanding)
{
  TargetStatement update;
  update.record.id = TargetId(aTarget);
  update.record.service = kService;
  update.record.sequence = Sequence(aSequence);
  update.standing = aStanding;
  return update;
}

class TargetDirectoryTest : public ::testing::Test
{
protected:
  TargetDirectoryTest()
  {
    this->directory.OnLink(kFirst, true);
    this->directory.OnLink(kSecond, true);
  }

  std::size_t Usable() const { return this->directory.Usable(kService).size(); }

  TargetDirectory directory;
};

TEST_F(TargetDirectoryTest, ReportedTargetIsUsable)
{
  this->directory.Take(kFirst, MakeUpdate("t", 1, TargetStanding::Usable));
  EXPECT_EQ(this->Usable(), 1U);
  EXPECT_TRUE(this->directory.Usable(ServiceName("other")).empty());
}

TEST_F(TargetDirectoryTest, LeavingTargetStaysRemoved)
{
  this->directory.Take(kFirst, MakeUpdate("t", 5, TargetStanding::Leaving));
  this->directory.Take(kSecond, MakeUpdate("t", 6, TargetStanding::Usable));
  EXPECT_EQ(this->Usable(), 0U);
}

TEST_F(TargetDirectoryTest, TargetIsUsableWhileAnyConnectedHostReportsIt)
{
  this->directory.Take(kFirst, MakeUpdate("t", 5, TargetStanding::Silent));
  this->directory.Take(kSecond, MakeUpdate("t", 5, TargetStanding::Usable));
  this->directory.Take(kFirst, MakeUpdate("u", 5, TargetStanding::Usable));
  EXPECT_EQ(this->Usable(), 2U);
}

TEST_F(TargetDirectoryTest, ConnectedHostOverridesDisconnectedOne)
{
  this->directory.Take(kFirst, MakeUpdate("t", 5, TargetStanding::Silent));
  this->directory.Take(kFirst, MakeUpdate("u", 5, TargetStanding::Usable));
  this->directory.Take(kSecond, MakeUpdate("t", 4, TargetStanding::Usable));
  this->directory.OnLink(kSecond, false);
  EXPECT_EQ(this->Usable(), 1U);
}

TEST_F(TargetDirectoryTest, LastReportsCountWithoutConnectedHosts)
{
  this->directory.Take(kFirst, MakeUpdate("t", 5, TargetStanding::Usable));
  this->directory.OnLink(kFirst, false);
  this->directory.OnLink(kSecond, false);
  EXPECT_EQ(this->Usable(), 1U);
}

TEST_F(TargetDirectoryTest, SilentTargetsAreUsedWithoutAlternatives)
{
  this->directory.Take(kFirst, MakeUpdate("t", 5, TargetStanding::Silent));
  EXPECT_EQ(this->Usable(), 1U);
}

TEST_F(TargetDirectoryTest, PausedTargetIsUnusedWhileAnotherIsUsable)
{
  TargetStatement paused = MakeUpdate("t", 5, TargetStanding::Usable);
  paused.paused = true;
  this->directory.Take(kFirst, paused);
  this->directory.Take(kFirst, MakeUpdate("u", 5, TargetStanding::Usable));
  ASSERT_EQ(this->Usable(), 1U);
  EXPECT_EQ(this->directory.Usable(kService).front().id, TargetId("u"));
}

TEST_F(TargetDirectoryTest, MarkRemovedHidesTheTarget)
{
  this->directory.Take(kFirst, MakeUpdate("t", 5, TargetStanding::Usable));
  this->directory.MarkRemoved(TargetId("t"));
  EXPECT_EQ(this->Usable(), 0U);
  EXPECT_EQ(this->directory.Find(TargetId("t")), nullptr);
}

TEST_F(TargetDirectoryTest, OldestRemovedTargetsAreForgotten)
{
  for (std::size_t number = 0; number <= TargetDirectory::kMaxRemoved; ++number) {
    const std::string id = "t" + std::to_string(number);
    this->directory.Take(kFirst, MakeUpdate(id, 1, TargetStanding::Usable));
    this->directory.MarkRemoved(TargetId(id));
  }
  // Only the oldest removed target, t0, is forgotten and may return.
  this->directory.Take(kFirst, MakeUpdate("t0", 2, TargetStanding::Usable));
  this->directory.Take(kFirst, MakeUpdate("t1", 2, TargetStanding::Usable));
  ASSERT_EQ(this->Usable(), 1U);
  EXPECT_EQ(this->directory.Usable(kService).front().id, TargetId("t0"));
}

TEST_F(TargetDirectoryTest, OlderRecordDoesNotReplaceTheNewerOne)
{
  TargetStatement newer = MakeUpdate("t", 5, TargetStanding::Usable);
  newer.record.load.slots = 7;
  this->directory.Take(kFirst, newer);
  this->directory.Take(kSecond, MakeUpdate("t", 4, TargetStanding::Usable));
  EXPECT_EQ(this->directory.Find(TargetId("t"))->load.slots, 7U);
}

TargetStatement
MakeUpdateOf(std::uint64_t aIncarnation, std::uint64_t aSequence, TargetStanding aStanding)
{
  TargetStatement update = MakeUpdate("t", aSequence, aStanding);
  update.record.incarnation = Incarnation(aIncarnation);
  return update;
}

TEST_F(TargetDirectoryTest, RestartedTargetIsUsableAfterLeaving)
{
  this->directory.Take(kFirst, MakeUpdateOf(1000, 50, TargetStanding::Leaving));
  this->directory.Take(kSecond, MakeUpdateOf(2000, 1, TargetStanding::Usable));
  EXPECT_EQ(this->Usable(), 1U);
  ASSERT_EQ(this->directory.TakeRestarted().size(), 1U);
  EXPECT_TRUE(this->directory.TakeRestarted().empty());
}

TEST_F(TargetDirectoryTest, UpdatesOfAnEarlierIncarnationAreIgnored)
{
  this->directory.Take(kFirst, MakeUpdateOf(2000, 1, TargetStanding::Usable));
  this->directory.Take(kSecond, MakeUpdateOf(1000, 50, TargetStanding::Leaving));
  EXPECT_EQ(this->Usable(), 1U);
  EXPECT_EQ(this->directory.Find(TargetId("t"))->sequence, Sequence(1));
  EXPECT_TRUE(this->directory.TakeRestarted().empty());
}

TEST_F(TargetDirectoryTest, RemovedTargetReturnsWithItsNextIncarnation)
{
  this->directory.Take(kFirst, MakeUpdateOf(1000, 5, TargetStanding::Usable));
  this->directory.MarkRemoved(TargetId("t"));
  this->directory.Take(kFirst, MakeUpdateOf(1000, 6, TargetStanding::Usable));
  EXPECT_EQ(this->Usable(), 0U);
  this->directory.Take(kFirst, MakeUpdateOf(2000, 1, TargetStanding::Usable));
  EXPECT_EQ(this->Usable(), 1U);
}

TEST_F(TargetDirectoryTest, DiscoveredTargetsAreReturnedOnce)
{
  this->directory.Take(kFirst, MakeUpdate("t", 1, TargetStanding::Usable));
  this->directory.Take(kSecond, MakeUpdate("t", 2, TargetStanding::Usable));
  this->directory.Take(kFirst, MakeUpdate("old", 1, TargetStanding::Silent));
  const std::vector<TargetRecord> discovered = this->directory.TakeDiscovered();
  ASSERT_EQ(discovered.size(), 1U);
  EXPECT_EQ(discovered[0].id, TargetId("t"));
  EXPECT_TRUE(this->directory.TakeDiscovered().empty());
}

TEST_F(TargetDirectoryTest, ZoneIsMostlySilentAboveHalf)
{
  this->directory.Take(kFirst, MakeUpdate("a", 1, TargetStanding::Usable));
  this->directory.Take(kFirst, MakeUpdate("b", 1, TargetStanding::Silent));
  EXPECT_FALSE(this->directory.IsMostlySilent(ZoneId()));
  this->directory.Take(kFirst, MakeUpdate("c", 1, TargetStanding::Silent));
  EXPECT_TRUE(this->directory.IsMostlySilent(ZoneId()));
}

// Updates may arrive late and in any order: the directory must depend only on those about the
// newest incarnation of a target.
RC_GTEST_PROP(TargetDirectoryProperty, EarlierIncarnationsLeaveNoTrace, ())
{
  struct Report
  {
    unsigned incarnation;
    unsigned sequence;
    unsigned standing;
    bool second;
  };
  const auto anyReport = rc::gen::construct<Report>(rc::gen::inRange(1U, 4U),
                                                    rc::gen::inRange(1U, 6U),
                                                    rc::gen::inRange(1U, 4U),
                                                    rc::gen::arbitrary<bool>());
  const auto reports = *rc::gen::nonEmpty(rc::gen::container<std::vector<Report>>(anyReport));
  unsigned newest = 0;
  for (const Report& report : reports) {
    newest = std::max(newest, report.incarnation);
  }
  TargetDirectory all;
  TargetDirectory newestOnly;
  for (TargetDirectory* directory : { &all, &newestOnly }) {
    directory->OnLink(kFirst, true);
    directory->OnLink(kSecond, true);
  }
  for (const Report& report : reports) {
    const HostId& host = report.second ? kSecond : kFirst;
    const auto standing = static_cast<TargetStanding>(report.standing);
    all.Take(host, MakeUpdateOf(report.incarnation, report.sequence, standing));
    if (report.incarnation == newest) {
      newestOnly.Take(host, MakeUpdateOf(report.incarnation, report.sequence, standing));
    }
  }
  RC_ASSERT(all.Usable(kService) == newestOnly.Usable(kService));
}

TEST_F(TargetDirectoryTest, EvacuatedZoneIsUnusableEvenWithoutAlternatives)
{
  const ZoneId zone("zone-1");
  TargetStatement update = MakeUpdate("t", 1, TargetStanding::Usable);
  update.record.zone = zone;
  this->directory.Take(kFirst, update);
  this->directory.SetEvacuated({ zone });
  EXPECT_EQ(this->Usable(), 0U);
  EXPECT_EQ(this->directory.InZone(zone).size(), 1U);
  this->directory.Take(kFirst, MakeUpdate("u", 1, TargetStanding::Usable));
  EXPECT_EQ(this->Usable(), 1U);
  this->directory.SetEvacuated({});
  EXPECT_EQ(this->Usable(), 2U);
}

} // namespace
} // namespace damasklink
