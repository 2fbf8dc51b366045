#include <filesystem>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include "damasklink/protocol/OperatorApi.h"
#include "damasklink/state/TreeFile.h"
#include "program/TestHost.h"

namespace damasklink::testing {
namespace {

using ::testing::HasSubstr;
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnauthenticated = 401;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;

const SubtreeName kOffice = WorkspaceSubtree(WorkspaceId("head-office"));

ChangeRequest
ShareChange(const std::string& aId, std::uint64_t aBase)
{
  const std::string content = "workspaces:\n  head-office:\n    share: 3\n";
  return ChangeRequest{ ChangeId(aId), kOffice, Revision(aBase), "ana", content, false };
}

class ConfigurationApiTest : public ::testing::Test
{
protected:
  void SetUp() override { ASSERT_TRUE(this->host.Start()); }
  void TearDown() override { this->host.Stop(); }

  HttpClientResponse Ask(const std::string& aMethod,
                         const std::string& aPath,
                         const std::string& aBody = "",
                         const std::string& aKey = kOperatorKey) const
  {
    return Call(this->host.Addresses().operators, aMethod, "/v1/config/" + aPath, aKey, aBody)
      .value();
  }

  HttpClientResponse Apply(const ChangeRequest& aRequest) const
  {
    return this->Ask("POST", "changes", FormatChangeRequest(aRequest));
  }

  SubtreeView Office() const
  {
    return ParseSubtreeView(this->Ask("GET", "subtrees/workspaces/head-office").body).value();
  }

  HostProcess host{ SampleSettings() };
};

TEST_F(ConfigurationApiTest, ReturnsAcceptedChangeAndItsHistory)
{
  const SubtreeView before = this->Office();
  const HttpClientResponse answer = this->Apply(ShareChange("c1", before.version.Value()));
  ASSERT_EQ(answer.status, kOk) << answer.body;
  const Revision revision = ParseAccepted(answer.body).value();
  EXPECT_EQ(this->Office().version, revision);
  EXPECT_THAT(this->Office().content, HasSubstr("share: 3"));
  const auto history = ParseHistory(this->Ask("GET", "history?most=1").body).value();
  ASSERT_EQ(history.size(), 1U);
  EXPECT_EQ(history.front().change, ChangeId("c1"));
  EXPECT_EQ(history.front().author, "ana");
  EXPECT_EQ(this->Apply(ShareChange("c1", before.version.Value())).body, answer.body)
    << "a resend gets the first answer";
}

TEST_F(ConfigurationApiTest, RefusesChangeFromOldVersionWithRemedy)
{
  const HttpClientResponse answer = this->Apply(ShareChange("c1", 77));
  EXPECT_EQ(answer.status, kConflict);
  EXPECT_THAT(answer.body, HasSubstr("not applied"));
  EXPECT_THAT(answer.body, HasSubstr("get the version in force"));
  EXPECT_THAT(answer.body, HasSubstr("not_run"));
}

TEST_F(ConfigurationApiTest, RefusesFaultyContentWithItsLine)
{
  ChangeRequest request = ShareChange("c1", 0);
  request.content = "workspaces:\n  head-office:\n    colour: red\n";
  const HttpClientResponse answer = this->Apply(request);
  EXPECT_EQ(answer.status, kBadRequest);
  EXPECT_THAT(answer.body, HasSubstr("content:3"));
  request.content = "workspaces:\n  other:\n    share: 3\n";
  EXPECT_THAT(this->Apply(request).body, HasSubstr("not the one subtree"));
}

TEST_F(ConfigurationApiTest, EveryCallRequiresAnOperatorKey)
{
  for (const char* path : { "subtrees", "subtrees/defaults", "history", "status", "in-force" }) {
    EXPECT_EQ(this->Ask("GET", path, "", kCallerKey).status, kUnauthenticated) << path;
  }
  EXPECT_EQ(this->Ask("POST", "changes", "{}", "").status, kUnauthenticated);
}

TEST_F(ConfigurationApiTest, ReportsHostsWhereRevisionIsInForce)
{
  const auto inForce = ParseInForceReport(this->Ask("GET", "in-force?revision=1").body).value();
  EXPECT_EQ(inForce.inForce, std::vector<HostId>{ HostId("solo") });
  const auto missing = ParseInForceReport(this->Ask("GET", "in-force?revision=999").body).value();
  EXPECT_EQ(missing.missing, std::vector<HostId>{ HostId("solo") });
}

// One host of three whose peers are unreachable, with a tree on its disk.
TEST(IsolatedHostTest, ServesStoredTreeAsStaleAndRefusesChanges)
{
  const std::filesystem::path folder =
    std::filesystem::temp_directory_path() / ("cut-off-host-" + std::to_string(::getpid()));
  RevisionedTree stored;
  WorkspaceNode workspace;
  workspace.teams[TeamId("t")].keys = { DigestOf("key") };
  stored.Apply({ Revision(9), { kOffice, std::make_shared<const SubtreeContent>(workspace) } });
  PosixDisk disk;
  ASSERT_TRUE(TreeFile(disk, folder).Write(stored));
  HostSettings settings = SampleSettings();
  settings.initialTree.clear();
  settings.dataFolder = folder;
  settings.peers = { PeerSettings{ settings.host, settings.zone, {}, {}, true },
                     PeerSettings{ HostId("b"), ZoneId("b"), { "127.0.0.1", 1 }, {}, true },
                     PeerSettings{ HostId("c"), ZoneId("c"), { "127.0.0.1", 1 }, {}, true } };
  HostProcess host(settings);
  ASSERT_TRUE(host.Start());
  const Endpoint operators = host.Addresses().operators;
  const auto status =
    ParseHostStatus(Call(operators, "GET", "/v1/config/status", kOperatorKey).value().body);
  EXPECT_EQ(status.value().revision, Revision(9));
  EXPECT_TRUE(status.value().stale);
  const HttpClientResponse refused = Call(operators,
                                          "POST",
                                          "/v1/config/changes",
                                          kOperatorKey,
                                          FormatChangeRequest(ShareChange("c1", 9)))
                                       .value();
  EXPECT_EQ(refused.status, kUnavailable) << refused.body;
  EXPECT_THAT(refused.body, HasSubstr("not applied"));
  EXPECT_EQ(Call(host.Addresses().callers, "GET", "/v1/models", "key").value().status, kOk);
  host.Stop();
  std::filesystem::remove_all(folder);
}

} // namespace
} // namespace damasklink::testing
