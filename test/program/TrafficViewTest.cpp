#include "program/TrafficView.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

// Returns a view with one team, whose workspace has the given policy for stale configurations.
TrafficView
MakeView(WhenStale aWhenStale)
{
  ConfigTree tree;
  WorkspaceNode& workspace = tree.workspaces[WorkspaceId("w")];
  workspace.policy.whenStale = aWhenStale;
  workspace.teams[TeamId("t")].keys = { DigestOf("key") };
  TrafficView view;
  view.revision = Revision(1);
  view.callers = std::make_shared<const CallerDirectory>(tree);
  return view;
}

TEST(TrafficViewTest, RefusesStaleViewOnlyForSubtreesThatAskForIt)
{
  TrafficView refusing = MakeView(WhenStale::Refuse);
  EXPECT_TRUE(FindCaller(refusing, DigestOf("key")));
  refusing.stale = true;
  EXPECT_EQ(FindCaller(refusing, DigestOf("key")).error().kind, ErrorKind::Unavailable);
  TrafficView serving = MakeView(WhenStale::Serve);
  serving.stale = true;
  EXPECT_TRUE(FindCaller(serving, DigestOf("key")));
}

TEST(TrafficViewTest, ReportsUnavailableNotUnauthenticatedWithoutTree)
{
  EXPECT_EQ(FindCaller(TrafficView(), DigestOf("key")).error().kind, ErrorKind::Unavailable);
  EXPECT_EQ(FindCaller(MakeView(WhenStale::Serve), DigestOf("other")).error().kind,
            ErrorKind::Unauthenticated);
}

} // namespace
} // namespace damasklink
