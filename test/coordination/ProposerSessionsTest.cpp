#include "damasklink/coordination/ProposerSessions.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

using ProposalState = ProposerSessions::ProposalState;

ProposalId
MakeId(std::uint64_t aSequence, std::uint64_t aFloor = 1, std::uint64_t aProposer = 7)
{
  return ProposalId{ aProposer, Sequence(aSequence), Sequence(aFloor) };
}

constexpr LogIndex kStart(1);

TEST(ProposerSessionsTest, DuplicateGetsTheFirstAnswer)
{
  ProposerSessions table;
  EXPECT_EQ(table.Register(MakeId(1), kStart), ProposalState::New);
  table.Keep(MakeId(1), "first");
  EXPECT_EQ(table.Register(MakeId(1), kStart), ProposalState::Applied);
  EXPECT_EQ(table.Find(MakeId(1)), "first");
}

TEST(ProposerSessionsTest, AppliesProposalsOutOfSequence)
{
  ProposerSessions table;
  table.Register(MakeId(2), kStart);
  table.Keep(MakeId(2), "second");
  EXPECT_EQ(table.Register(MakeId(1), kStart), ProposalState::New);
}

TEST(ProposerSessionsTest, ProposalBelowFloorIsExpired)
{
  ProposerSessions table;
  table.Register(MakeId(3, 3), kStart);
  EXPECT_EQ(table.Register(MakeId(2, 2), kStart), ProposalState::Expired);
}

TEST(ProposerSessionsTest, EvictsLeastRecentProposer)
{
  ProposerSessions table;
  table.Register(MakeId(1), kStart);
  table.Keep(MakeId(1), "kept");
  for (std::uint64_t other = 100; other < 100 + 4095; ++other) {
    table.Register(MakeId(1, 1, other), LogIndex(other));
  }
  EXPECT_TRUE(table.Find(MakeId(1)).has_value());
  table.Register(MakeId(1, 1, 9), LogIndex(9'000));
  EXPECT_FALSE(table.Find(MakeId(1)).has_value());
}

TEST(ProposerSessionsTest, SnapshotKeepsAnswersAndFloors)
{
  ProposerSessions table;
  table.Register(MakeId(3, 3), kStart);
  table.Keep(MakeId(3, 3), "third");
  ProposerSessions loaded;
  ASSERT_TRUE(loaded.Load(table.Save()));
  EXPECT_EQ(loaded.Find(MakeId(3)), "third");
  EXPECT_EQ(loaded.Register(MakeId(2), kStart), ProposalState::Expired);
  EXPECT_FALSE(loaded.Load("damaged"));
  EXPECT_EQ(loaded.Find(MakeId(3)), "third");
}

} // namespace
} // namespace damasklink
