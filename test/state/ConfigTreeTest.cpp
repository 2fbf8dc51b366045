#include "damasklink/state/ConfigTree.h"

#include <gtest/gtest.h>

#include "damasklink/state/Digests.h"

namespace damasklink {
namespace {

const std::string kDefaults = "defaults:\n"
                              "  models:\n"
                              "    - model: m1\n"
                              "      versions: [v1]\n"
                              "  services:\n"
                              "    - name: plates\n"
                              "      idempotent: false\n"
                              "  limits:\n"
                              "    prompt_tokens: 100\n";

std::vector<std::string>
FaultsOf(const std::vector<ConfigSource>& aSources)
{
  std::vector<std::string> texts;
  for (const Fault& fault : ParseConfigSources(aSources, SubtreePolicy()).faults) {
    texts.push_back(fault.file + ":" + std::to_string(fault.line) + ":" + fault.key);
  }
  return texts;
}

std::vector<std::string>
FaultsOfWorkspace(const std::string& aWorkspace)
{
  return FaultsOf({ { "d", kDefaults }, { "w", "workspaces:\n  a:\n" + aWorkspace } });
}

using Texts = std::vector<std::string>;

TEST(ConfigTreeTest, ModelThatTheDefaultsDoNotAllowIsAFaultAtItsLine)
{
  EXPECT_EQ(FaultsOfWorkspace("    models:\n      - model: m1\n      - model: m2\n"),
            Texts{ "w:5:workspaces.a.models[1]" });
}

TEST(ConfigTreeTest, VersionThatTheDefaultsDoNotAllowIsAFault)
{
  EXPECT_EQ(FaultsOfWorkspace("    models:\n      - model: m1\n        versions: [v1, v2]\n"),
            Texts{ "w:4:workspaces.a.models[0]" });
}

TEST(ConfigTreeTest, HigherLimitOfATeamIsAFault)
{
  EXPECT_EQ(FaultsOfWorkspace("    limits: { prompt_tokens: 50 }\n"
                              "    teams:\n"
                              "      t:\n"
                              "        limits:\n"
                              "          prompt_tokens: 51\n"),
            Texts{ "w:7:workspaces.a.teams.t.limits.prompt_tokens" });
}

TEST(ConfigTreeTest, MakingAServiceRepeatableIsAFault)
{
  EXPECT_EQ(FaultsOfWorkspace("    services:\n      - name: plates\n        idempotent: true\n"),
            Texts{ "w:5:workspaces.a.services[0].idempotent" });
}

TEST(ConfigTreeTest, EmptyListAllowsNothingWhereAMissingOneInherits)
{
  const auto parsed = ParseConfigTree("workspaces:\n  a:\n    models: []\n", "f");
  const SubtreePolicy& policy = parsed.value.workspaces.at(WorkspaceId("a")).policy;
  EXPECT_EQ(policy.models, std::vector<ModelGrant>());
  EXPECT_EQ(policy.services, std::nullopt);
}

TEST(ConfigTreeTest, ServiceRoutedTwiceIsAFault)
{
  EXPECT_EQ(FaultsOf({ { "d", "defaults:\n  services:\n    - name: s\n    - name: s\n" } }),
            Texts{ "d:4:defaults.services[1]" });
}

TEST(ConfigTreeTest, KeyInTwoWorkspacesIsAFaultAcrossFiles)
{
  const std::string key = DigestOf("key").Value();
  const auto workspace = [&](const std::string& aName) {
    return "workspaces:\n  " + aName + ":\n    teams:\n      t:\n        keys:\n          - " +
           key + "\n";
  };
  EXPECT_EQ(FaultsOf({ { "a.yaml", workspace("a") }, { "b.yaml", workspace("b") } }),
            Texts{ "b.yaml:6:workspaces.b.teams.t.keys[0]" });
}

TEST(ConfigTreeTest, KeyInClearTextIsAFault)
{
  EXPECT_EQ(FaultsOfWorkspace("    teams:\n      t:\n        keys: [secret]\n"),
            Texts{ "w:5:workspaces.a.teams.t.keys[0]" });
}

TEST(ConfigTreeTest, WorkspaceInTwoFilesIsAFault)
{
  const std::string text = "workspaces:\n  a:\n    share: 1\n";
  EXPECT_EQ(FaultsOf({ { "x", text }, { "y", text } }), Texts{ "y:3:workspaces.a" });
}

TEST(ConfigTreeTest, DeploymentThatLeavesNoEngineToLoadIsAFault)
{
  EXPECT_EQ(FaultsOf({ { "d",
                         "deployments:\n  x:\n    model: m\n    version: v\n"
                         "    targets: [e1, e2]\n    keep_serving: 2\n" } }),
            Texts{ "d:6:deployments.x.keep_serving" });
}

TEST(ConfigTreeTest, ReadsTheVersionThatAFileWasMadeFrom)
{
  EXPECT_EQ(ParseMadeFrom({ "f", "made_from: 7\nworkspaces:\n  a:\n    share: 1\n" }), Revision(7));
  EXPECT_EQ(ParseMadeFrom({ "f", "workspaces:\n  a:\n    share: 1\n" }), std::nullopt);
}

} // namespace
} // namespace damasklink
