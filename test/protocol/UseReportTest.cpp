#include "damasklink/protocol/UseReport.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

TEST(UseReportTest, EncodesOnlyTheCostliestWorkspaces)
{
  const UseByWorkspace use{ { WorkspaceId("a"), 1 },
                            { WorkspaceId("b"), 3 },
                            { WorkspaceId("c"), 2 } };
  const UseByWorkspace costliest{ { WorkspaceId("b"), 3 }, { WorkspaceId("c"), 2 } };
  EXPECT_EQ(DecodeUseReport(EncodeUseReport(use, 2)).value(), costliest);
}

TEST(UseReportTest, RejectsInvalidBytesAndNegativeCosts)
{
  EXPECT_FALSE(DecodeUseReport("garbage"));
  EXPECT_FALSE(DecodeUseReport(EncodeUseReport({ { WorkspaceId("a"), -1 } }, 2)));
}

} // namespace
} // namespace damasklink
