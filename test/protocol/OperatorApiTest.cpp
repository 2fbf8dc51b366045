#include "damasklink/protocol/OperatorApi.h"

#include <gtest/gtest.h>

#include "damasklink/protocol/ErrorBody.h"

namespace damasklink {
namespace {

const SubtreeName kName = WorkspaceSubtree(WorkspaceId("w"));

TEST(OperatorApiTest, RoundTripsChangeRequest)
{
  const ChangeRequest request{ ChangeId("c"), kName, Revision(3), "ana", "text: \"x\"\n", false };
  EXPECT_EQ(ParseChangeRequest(FormatChangeRequest(request)).value(), request);
}

TEST(OperatorApiTest, RejectsChangeWithoutIdOrContent)
{
  EXPECT_FALSE(ParseChangeRequest("[]"));
  EXPECT_FALSE(ParseChangeRequest(FormatChangeRequest({ ChangeId(), kName, {}, "", "x", false })));
  EXPECT_FALSE(
    ParseChangeRequest(FormatChangeRequest({ ChangeId("c"), kName, {}, "", "", false })));
  EXPECT_FALSE(
    ParseChangeRequest(FormatChangeRequest({ ChangeId("c"), kName, {}, "", "x", true })));
}

TEST(OperatorApiTest, RoundTripsHostStatus)
{
  HostStatus status;
  status.host = HostId("h");
  status.zone = ZoneId("z");
  status.revision = Revision(7);
  status.confirmedAge = std::chrono::seconds(3);
  status.stale = true;
  status.peers = { PeerStatus{ HostId("p"), true, Revision(6) } };
  status.targets = { TargetStatus{ "t", "engine", "z", true, "m@v" } };
  status.rollouts = { RolloutStatus{ "d", "stopped", "why" } };
  EXPECT_EQ(ParseHostStatus(FormatHostStatus(status)).value(), status);
}

TEST(OperatorApiTest, RoundTripsListsHistoryAndInForceReport)
{
  const SubtreeList list{ Revision(4), { SubtreeVersion{ kName, Revision(2) } } };
  EXPECT_EQ(ParseSubtreeList(FormatSubtreeList(list)).value(), list);
  const std::vector<HistoryEntry> history{
    { Revision(4), WallTime(std::chrono::seconds(9)), ChangeId("c"), "ana", kName, true }
  };
  EXPECT_EQ(ParseHistory(FormatHistory(history)).value(), history);
  const InForceReport report{ Revision(4), { HostId("a") }, { HostId("b") } };
  EXPECT_EQ(ParseInForceReport(FormatInForceReport(report)).value(), report);
}

TEST(OperatorApiTest, ErrorBodyKeepsKindAndMessage)
{
  CallerError error;
  error.error = Error{ ErrorKind::Conflict, "what", "remedy" };
  const Error read = ParseErrorBody(409, FormatErrorBody(error));
  EXPECT_EQ(read.kind, ErrorKind::Conflict);
  EXPECT_EQ(read.message, "what; remedy");
}

} // namespace
} // namespace damasklink
