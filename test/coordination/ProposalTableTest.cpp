#include "damasklink/coordination/ProposalTable.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

using Standing = ProposalTable::Standing;

ProposalId
MakeId(std::uint64_t aSequence, std::uint64_t aFloor = 1, std::uint64_t aProposer = 7)
{
  return ProposalId{ aProposer, Sequence(aSequence), Sequence(aFloor) };
}

constexpr LogIndex kStart(1);

TEST(ProposalTableTest, CopyGetsTheFirstAnswer)
{
  ProposalTable table;
  EXPECT_EQ(table.Note(MakeId(1), kStart), Standing::Fresh);
  table.Keep(MakeId(1), "first");
  EXPECT_EQ(table.Note(MakeId(1), kStart), Standing::Applied);
  EXPECT_EQ(table.Find(MakeId(1)), "first");
}

TEST(ProposalTableTest, LaterProposalMayOvertakeAnEarlierOne)
{
  ProposalTable table;
  table.Note(MakeId(2), kStart);
  table.Keep(MakeId(2), "second");
  EXPECT_EQ(table.Note(MakeId(1), kStart), Standing::Fresh);
}

TEST(ProposalTableTest, GivenUpProposalIsNeverApplied)
{
  ProposalTable table;
  table.Note(MakeId(3, 3), kStart);
  EXPECT_EQ(table.Note(MakeId(2, 2), kStart), Standing::Expired);
}

TEST(ProposalTableTest, ForgetsTheProposerThatIsSilentForLongest)
{
  ProposalTable table;
  table.Note(MakeId(1), kStart);
  table.Keep(MakeId(1), "kept");
  for (std::uint64_t other = 100; other < 100 + 4095; ++other) {
    table.Note(MakeId(1, 1, other), LogIndex(other));
  }
  EXPECT_TRUE(table.Find(MakeId(1)).has_value());
  table.Note(MakeId(1, 1, 9), LogIndex(9'000));
  EXPECT_FALSE(table.Find(MakeId(1)).has_value());
}

TEST(ProposalTableTest, SnapshotKeepsAnswersAndFloors)
{
  ProposalTable table;
  table.Note(MakeId(3, 3), kStart);
  table.Keep(MakeId(3, 3), "third");
  ProposalTable loaded;
  ASSERT_TRUE(loaded.Load(table.Save()));
  EXPECT_EQ(loaded.Find(MakeId(3)), "third");
  EXPECT_EQ(loaded.Note(MakeId(2), kStart), Standing::Expired);
  EXPECT_FALSE(loaded.Load("damaged"));
  EXPECT_EQ(loaded.Find(MakeId(3)), "third");
}

} // namespace
} // namespace damasklink
