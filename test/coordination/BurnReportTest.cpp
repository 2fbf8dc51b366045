#include "damasklink/coordination/BurnReport.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

constexpr std::uint64_t kTotal = 1000;

// Returns a row with the default objective of 95 in 100 and the given failures of kTotal requests
// in each window.
WorkspaceBurn
RowWithFailures(std::uint64_t aFiveMinutes, std::uint64_t aOneHour, std::uint64_t aSixHours)
{
  WorkspaceBurn row;
  row.workspace = WorkspaceId("a");
  row.windows = { ServiceLevelCount{ kTotal - aFiveMinutes, kTotal },
                  ServiceLevelCount{ kTotal - aOneHour, kTotal },
                  ServiceLevelCount{ kTotal - aSixHours, kTotal } };
  return row;
}

TEST(BurnReportTest, BurnRateOfOneUsesUpTheErrorBudgetExactly)
{
  EXPECT_NEAR(BurnRateOf({ 950, kTotal }, ServiceLevel{}), 1.0, 1e-9);
  EXPECT_NEAR(BurnRateOf({ 0, kTotal }, ServiceLevel{}), 20.0, 1e-9);
  EXPECT_EQ(BurnRateOf({}, ServiceLevel{}), 0);
}

TEST(BurnReportTest, LevelsRequireBothTheirWindows)
{
  EXPECT_EQ(BurnLevelOf(RowWithFailures(0, 0, 0)), BurnLevel::Calm);
  EXPECT_EQ(BurnLevelOf(RowWithFailures(0, 0, 60)), BurnLevel::Watch);
  EXPECT_EQ(BurnLevelOf(RowWithFailures(0, 310, 310)), BurnLevel::Act);
  EXPECT_EQ(BurnLevelOf(RowWithFailures(0, 310, 0)), BurnLevel::Calm)
    << "burns in the 1-hour window only";
  EXPECT_EQ(BurnLevelOf(RowWithFailures(730, 730, 0)), BurnLevel::Page);
  EXPECT_EQ(BurnLevelOf(RowWithFailures(0, 730, 0)), BurnLevel::Calm)
    << "no failures in the last 5 minutes";
  EXPECT_EQ(BurnLevelOf(RowWithFailures(1000, 0, 0)), BurnLevel::Calm)
    << "burns in the 5-minute window only";
}

TEST(BurnReportTest, MergeAddsCountsAndTakesTheStricterObjective)
{
  HostBurn first{ HostId("one"), { RowWithFailures(1, 2, 3) } };
  HostBurn second{ HostId("two"), { RowWithFailures(10, 20, 30) } };
  second.workspaces.front().objective.share = 0.99;
  const auto rows = MergeBurn({ first, second });
  ASSERT_EQ(rows.size(), 1U);
  EXPECT_EQ(rows.front().windows.at(2), (ServiceLevelCount{ 2 * kTotal - 33, 2 * kTotal }));
  EXPECT_EQ(rows.front().objective.share, 0.99);
}

TEST(BurnReportTest, JoinListsWorkspacesWithoutRequestsToo)
{
  const auto rows =
    JoinBurn({ { WorkspaceId("a"), ServiceLevel{} } }, { { WorkspaceId("gone"), WindowCounts{} } });
  ASSERT_EQ(rows.size(), 2U);
  EXPECT_EQ(rows.at(0).workspace, WorkspaceId("a"));
  EXPECT_EQ(rows.at(1).workspace, WorkspaceId("gone"));
}

} // namespace
} // namespace damasklink
